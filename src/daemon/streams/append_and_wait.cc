#include "daemon/streams/append_and_wait.h"

#include <chrono>
#include <future>
#include <memory>
#include <utility>

#include "daemon/streams/stream_follower.h"
#include "daemon/streams/stream_writer.h"

namespace berylgauge {

Result<Offset> AppendAndWait(StreamWriter& writer, const StreamFollower& follower, std::vector<nlohmann::json> records,
                             absl::Duration timeout) {
  const auto promise = std::make_shared<std::promise<Result<Offset>>>();
  std::future<Result<Offset>> future = promise->get_future();
  writer.Append(std::move(records), [promise](Result<Offset> offset) { promise->set_value(std::move(offset)); });
  const auto deadline = std::chrono::steady_clock::now() + absl::ToChronoMilliseconds(timeout);
  if (future.wait_until(deadline) != std::future_status::ready) {
    return MayHaveRun(FailureCode::kUnavailable, "the log has not acknowledged the records in time");
  }
  Result<Offset> offset = future.get();
  if (!offset) return offset;
  const absl::Duration left = absl::FromChrono(deadline - std::chrono::steady_clock::now());
  if (!follower.WaitForOffset(*offset, left)) {
    return MayHaveRun(FailureCode::kUnavailable, "the records could not be read back in time");
  }
  return offset;
}

}  // namespace berylgauge
