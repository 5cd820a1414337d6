#pragma once

#include <vector>

#include "base/monotonic_time.h"
#include "base/resources.h"
#include "workflow/worker_pool.h"
#include "workflow/worker_report.h"

namespace berylgauge::workflow {

/// Room on a worker that is kept for one task of a step while runs are stopped there for it.
struct RoomHold {
  const WorkflowStep* step = nullptr;
  WorkerLife life;
  Resources demand;            ///< of the task
  std::vector<TaskRef> stops;  ///< compared only: their steps may have ended
  MonotonicTime until;
  Resources kept;  ///< part of the demand that no run under stop takes at present

  /// What other tasks must leave free on the worker. What is being stopped there takes its room until its end, so short
  /// tasks may go on to use the rest.
  Resources AmountOn(const PoolWorker& worker) const;
};

}  // namespace berylgauge::workflow
