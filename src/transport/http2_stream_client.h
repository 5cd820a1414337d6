#pragma once

#include <memory>

#include "transport/stream_client.h"

namespace berylgauge {

class ClientDispatcher;
class EventLoop;

/// `StreamClient` over HTTP/2; forwards to a dispatcher on the loop's thread.
class Http2StreamClient final : public StreamClient {
 public:
  Http2StreamClient(EventLoop& loop, std::shared_ptr<ClientDispatcher> dispatcher);
  ~Http2StreamClient() override;

  void Send(StreamRequest request, absl::Duration timeout, Callback callback) override;

 private:
  EventLoop& m_loop;
  const std::shared_ptr<ClientDispatcher> m_dispatcher;
};

}  // namespace berylgauge
