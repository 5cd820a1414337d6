#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "base/resources.h"
#include "workflow/placement_policy.h"
#include "workflow/worker_pool.h"
#include "workflow/workflow_job.h"

namespace berylgauge::workflow {

struct RoomPlannerOptions {
  /// Runs that are stopped for one task at most.
  std::size_t most_stops = 2;
  /// A run is stopped only after it has been at work for this long, so that no task is moved again and again. A restart
  /// takes 1 to 2 s.
  absl::Duration least_run = absl::Seconds(6);
  /// A task without room elsewhere is stopped only if the step that gains stays below this part of the share that its
  /// own step keeps. Below 1, so that steps that are served nearly alike don't stop each other's tasks.
  double fair_ratio = 0.75;
};

/// A worker, and the runs to stop there so that one more task fits.
struct RoomPlan {
  PoolWorker* worker = nullptr;
  std::vector<TaskRef> stops;
  int losses = 0;  ///< stopped tasks without room elsewhere
};

/// Finds room for a task that lasts and fits nowhere, by stopping tasks that last on one worker.
///
/// Tasks that have room elsewhere are preferred, because they go on there: that joins holes which are too small apart.
/// Others are stopped only for a step that is served clearly less than theirs. `may_miss` and the reserve of short
/// tasks are kept. Pure: it depends on its arguments and on the plans that were accepted before; one planner serves one
/// pass.
class RoomPlanner {
 public:
  /// All arguments must outlive the planner. `candidates` are the workers that may be used.
  RoomPlanner(const PlacementPolicy& policy, const PlacementLimits& limits, const std::vector<PoolWorker*>& candidates,
              const RoomPlannerOptions& options, MonotonicTime now);

  /// The plan that takes least from others; nothing if no worker can be cleared for one more task of the step.
  std::optional<RoomPlan> Plan(const WorkflowStep& step) const;

  /// The plan is carried out: its worker is not planned for again, and the room that its stopped tasks get elsewhere is
  /// taken.
  void Accept(const RoomPlan& plan);

 private:
  /// A run that may be stopped.
  struct Victim {
    TaskRef task;
    Resources held;
    double share_after = 0;  ///< part of its step's tasks that stay placed
    bool may_lose = false;   ///< its step is served so well that it need not have room elsewhere
  };
  using Claims = absl::flat_hash_map<const PoolWorker*, Resources>;

  std::optional<RoomPlan> PlanAt(const WorkflowStep& step, PoolWorker& worker) const;
  std::vector<Victim> VictimsAt(const WorkflowStep& step, const PoolWorker& worker) const;
  bool MayStop(const WorkflowStep& step, TaskRef task) const;
  /// The plan that stops these victims; nothing if one of them has no room elsewhere and may not lose its place.
  std::optional<RoomPlan> PlanWith(const std::vector<const Victim*>& victims, PoolWorker& worker) const;
  /// A worker with room for the task, other than the one that it is on; null if there is none.
  const PoolWorker* FindOther(TaskRef task, const PoolWorker& worker, const Claims& claims) const;

  const PlacementPolicy& m_policy;
  const PlacementLimits& m_limits;
  const std::vector<PoolWorker*>& m_candidates;
  const RoomPlannerOptions m_options;
  const MonotonicTime m_now;
  /// Candidates with their free processors at the begin of the pass, most first, so that a search on a full fleet ends
  /// at once.
  std::vector<std::pair<std::int64_t, const PoolWorker*>> m_by_free_cpu;
  Claims m_claims;  ///< of the plans accepted so far
};

}  // namespace berylgauge::workflow
