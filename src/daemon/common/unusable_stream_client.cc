#include "daemon/common/unusable_stream_client.h"

namespace berylgauge {

void UnusableStreamClient::Send(StreamRequest /*request*/, absl::Duration /*timeout*/, Callback callback) {
  callback(NotRun(FailureCode::kUnavailable, "the peer cannot be reached"));
}

}  // namespace berylgauge
