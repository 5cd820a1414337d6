#pragma once

#include <absl/time/time.h>

#include "base/enum_names.h"
#include "base/monotonic_time.h"
#include "clients/worker_client.h"
#include "schedule/attempt_key.h"

namespace berylgauge {

enum class WorkerCommandKind { kStart, kRenew, kStop, kThrottle, kForget };

inline constexpr auto kWorkerCommandKindNames = MakeEnumNames<WorkerCommandKind>({
    {WorkerCommandKind::kStart, "start"},
    {WorkerCommandKind::kRenew, "renew"},
    {WorkerCommandKind::kStop, "stop"},
    {WorkerCommandKind::kThrottle, "throttle"},
    {WorkerCommandKind::kForget, "forget"},
});

/// A call of `WorkerClient` that the daemon carries out; its result goes back to `AttemptTable::HandleResult`.
struct WorkerCommand {
  WorkerCommandKind kind = WorkerCommandKind::kRenew;
  AttemptKey key;
  WorkerStartOptions start;  ///< for `kStart`
  /// For `kStart`: if the call cannot be sent by then, it is not sent and the result is a failure with
  /// `Verdict::kNotRun`, because the freshness proof does not cover a later start.
  MonotonicTime start_by = InfiniteFuture();
  absl::Duration lease = absl::ZeroDuration();  ///< for `kRenew`
  bool with_checkpoint = false;                 ///< for `kStop`
  int percent = 100;                            ///< for `kThrottle`
};

}  // namespace berylgauge
