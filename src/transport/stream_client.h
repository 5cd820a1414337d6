#pragma once

#include <absl/time/time.h>

#include <functional>

#include "base/failure.h"
#include "transport/message_types.h"

namespace berylgauge {

/// Connection to one peer; connects on first use and again after a break.
class StreamClient {
 public:
  /// Called exactly once, on the event loop's thread, and must not block.
  using Callback = std::function<void(Result<StreamResponse>)>;

  virtual ~StreamClient() = default;

  /// Sends a request without waiting. The failure's verdict is `kNotRun` if no byte of the request was sent or the
  /// peer said that it did not process the stream (GOAWAY or REFUSED_STREAM), else `kMayHaveRun`. An answer whose
  /// length differs from its content-length is a failure with `kMayHaveRun`.
  virtual void Send(StreamRequest request, absl::Duration timeout, Callback callback) = 0;

  /// Sends a request and waits for its answer.
  Result<StreamResponse> Call(StreamRequest request, absl::Duration timeout);
};

}  // namespace berylgauge
