#pragma once

#include "transport/stream_client.h"

namespace berylgauge {

/// Stands for a peer that cannot be reached; fails every request with `not run`.
class UnusableStreamClient final : public StreamClient {
 public:
  void Send(StreamRequest request, absl::Duration timeout, Callback callback) override;
};

}  // namespace berylgauge
