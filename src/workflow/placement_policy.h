#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "workflow/interference_model.h"
#include "workflow/placement_obstacle.h"
#include "workflow/worker_pool.h"

namespace berylgauge::workflow {

/// What restricts placement at present, beyond the state of the workers.
struct PlacementLimits {
  absl::flat_hash_set<std::string> evacuated_zones;  ///< nothing is placed there
};

struct PlacementOptions {
  /// Processor time that tasks that last leave free on each worker, so that short tasks do not wait for them. Two
  /// typical short tasks of both sites fit (240 thousandths each), with room for their spread.
  std::int64_t short_task_reserve_cpu = 1200;
  /// A task that lasts takes the reserve after it has waited this long: it must run where there is any room, within
  /// seconds.
  absl::Duration reserve_patience = absl::Milliseconds(1200);
  /// Share of their demand that serving tasks use on average; filling tasks get the rest.
  double serving_use = 0.5;
  /// Least speed, as a share of full speed, at which a filling task is placed; it waits for a better worker otherwise.
  double lowest_filling_speed = 0.35;
  /// A filling task that lasts, or whose job has no run, takes a slower worker after it has waited this long; with the
  /// placement itself it stays under the 3 s for which the platform accepts that a job has no run while there is room.
  absl::Duration slow_worker_patience = absl::Seconds(2);
  /// A slower worker is taken only if it has this many times the demand free, so that other work is not kept out.
  int slow_worker_room = 2;
  /// A start without an answer for this long makes its worker the last choice. An answer usually takes under 20 ms.
  absl::Duration late_start = absl::Milliseconds(300);
  /// Share of the target of a serving task up to which predicted interference is accepted.
  double accepted_tail = 0.85;
};

/// Chooses the worker for a task. Pure: it depends on its arguments only.
class PlacementPolicy {
 public:
  /// `interference` must outlive the policy.
  PlacementPolicy(const InterferenceModel& interference, const PlacementOptions& options)
      : m_interference(interference), m_options(options) {}

  /// The best worker for one more task of the step, or null if none may run it now.
  PoolWorker* Choose(const WorkflowStep& step, int index, const std::vector<PoolWorker*>& workers,
                     const PlacementLimits& limits, MonotonicTime now) const;

  /// Whether the worker may run the task at all at present, whatever its load.
  bool IsEligible(const WorkflowStep& step, const PoolWorker& worker, const PlacementLimits& limits,
                  MonotonicTime now) const {
    return EligibilityObstacle(step, worker, limits, now) == PlacementObstacle::kNone;
  }

  /// Whether the worker has room for one more task of the step.
  bool HasRoom(const WorkflowStep& step, int index, const PoolWorker& worker, MonotonicTime now) const {
    return RoomObstacle(step, index, worker, now) == PlacementObstacle::kNone;
  }

  /// Whether the demand fits in what is free and leaves the reserve of short tasks.
  bool LeavesReserve(const Resources& demand, const Resources& free) const;

  /// What keeps the worker from running the task, whatever its load.
  PlacementObstacle EligibilityObstacle(const WorkflowStep& step, const PoolWorker& worker,
                                        const PlacementLimits& limits, MonotonicTime now) const;

  /// What of the worker's load keeps it from running one more task of the step.
  PlacementObstacle RoomObstacle(const WorkflowStep& step, int index, const PoolWorker& worker,
                                 MonotonicTime now) const;

  /// When the step's tasks may take a worker that is slower than it should be, `InfiniteFuture()` if never; see
  /// `WorkflowStep::PatienceEnds`.
  MonotonicTime AnySpeedFrom(const WorkflowStep& step, MonotonicTime now) const;

  /// Expected speed of one more filling task, 0 to 1: what idle processors and the targets of serving tasks allow.
  double FillingSpeed(const StepDefinition& definition, const PoolWorker& worker) const;

  /// The largest part of what a serving image there can spare of its spare rate that one more filling task would take,
  /// 0 to 1; 0 for one that harms nobody.
  double FillingHarm(const StepDefinition& definition, const PoolWorker& worker) const;

  /// Processors that tasks with counted demand are expected to leave idle, in thousandths of a core.
  double IdleCpu(const PoolWorker& worker) const;

 private:
  /// What one more filling task would do to the serving tasks of one image, 1/s.
  struct ServingOutlook {
    double room = 0;  ///< spare rate above the one that is needed
    double loss = 0;  ///< that the filling task would take at full speed
  };

  ServingOutlook OutlookOf(const std::string& image, const ServingUse& use, const StepDefinition& filler,
                           const PoolWorker& worker) const;
  double Score(const WorkflowStep& step, int index, const PoolWorker& worker, MonotonicTime now) const;

  const InterferenceModel& m_interference;
  PlacementOptions m_options;
};

}  // namespace berylgauge::workflow
