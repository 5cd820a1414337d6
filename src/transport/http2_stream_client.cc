#include "transport/http2_stream_client.h"

#include <utility>

#include "transport/client_dispatcher.h"
#include "transport/event_loop.h"

namespace berylgauge {

Http2StreamClient::Http2StreamClient(EventLoop& loop, std::shared_ptr<ClientDispatcher> dispatcher)
    : m_loop(loop), m_dispatcher(std::move(dispatcher)) {}

Http2StreamClient::~Http2StreamClient() {
  m_loop.RunSync([this] { m_dispatcher->Close(); });
}

void Http2StreamClient::Send(StreamRequest request, absl::Duration timeout, Callback callback) {
  m_dispatcher->Submit(std::move(request), timeout, std::move(callback));
}

}  // namespace berylgauge
