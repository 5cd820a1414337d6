#pragma once

#include <absl/time/time.h>

#include "base/monotonic_time.h"
#include "workflow/locality_policy.h"

namespace berylgauge::workflow {

/// What the owner has decided for a task that prefers a rack, until its next run has begun and ended.
struct LocalityWait {
  /// `TaskRuntime::waiting_since` of the wait in which it was decided; at another one nothing was decided yet.
  MonotonicTime task_waiting_since = InfinitePast();
  bool is_waiting = false;  ///< a far worker had room at the last decision, and the task was not placed
  MonotonicTime begun_at = InfiniteFuture();  ///< when it was first decided to wait
  MonotonicTime until = InfiniteFuture();     ///< as decided then
  bool is_counted = false;                    ///< its outcome was counted
  LocalityDecision decision;                  ///< the newest

  bool HasWaited() const { return begun_at != InfiniteFuture(); }
  absl::Duration WaitedAt(MonotonicTime now) const { return HasWaited() ? now - begun_at : absl::ZeroDuration(); }
};

}  // namespace berylgauge::workflow
