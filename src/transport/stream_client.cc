#include "transport/stream_client.h"

#include <future>
#include <memory>
#include <utility>

namespace berylgauge {

Result<StreamResponse> StreamClient::Call(StreamRequest request, absl::Duration timeout) {
  const auto promise = std::make_shared<std::promise<Result<StreamResponse>>>();
  std::future<Result<StreamResponse>> future = promise->get_future();
  Send(std::move(request), timeout,
       [promise](Result<StreamResponse> result) { promise->set_value(std::move(result)); });
  return future.get();
}

}  // namespace berylgauge
