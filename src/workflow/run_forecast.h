#pragma once

#include "base/monotonic_time.h"
#include "workflow/worker_pool.h"

namespace berylgauge::workflow {

/// When the run on the worker is expected to end: by its progress since its start if there is enough of it, else by
/// its estimate, which is `far_x` times as long outside the rack of its data. `InfiniteFuture()` if no end is expected.
MonotonicTime ExpectedRunEnd(const PoolWorker& worker, TaskRef task, double far_x, MonotonicTime now);

}  // namespace berylgauge::workflow
