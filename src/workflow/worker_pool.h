#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_time.h"
#include "workflow/worker_report.h"
#include "workflow/workflow_job.h"

namespace berylgauge::workflow {

/// A task of a step.
struct TaskRef {
  WorkflowStep* step = nullptr;
  int index = 0;

  friend bool operator==(const TaskRef&, const TaskRef&) = default;
  friend bool operator<(const TaskRef& a, const TaskRef& b) {
    return a.step != b.step ? a.step < b.step : a.index < b.index;
  }
};

/// Serving tasks of one image on a worker.
struct ServingUse {
  int tasks = 0;
  int tail_target_ms = 0;  ///< strictest of them
  double spare_rate = 0;   ///< smoothed mean of what they measured (`SpareRate`), 1/s; 0 before the first figure
  double lowest_soon = 0;  ///< that their load is expected to leave them soon (`ServingLoad`), 1/s; 0 likewise
};

/// What a task takes of a worker's resources: those that fill idle processors have none reserved.
Resources HeldDemand(const StepDefinition& definition);

/// What the owner knows of one worker in its present life.
struct PoolWorker {
  std::string agent;  ///< host of its agent
  WorkerLife life;
  Incarnation agent_incarnation = 0;
  WorkerCondition condition = WorkerCondition::kReady;
  std::string service;
  std::string zone;
  std::string rack;  ///< label that names its rack; empty if none does
  std::vector<std::string> labels;
  Resources capacity;
  bool reconciled = false;                          ///< its list of runs was compared with the records
  std::int64_t clock_ms = 0;                        ///< newest reading of its steady clock
  MonotonicTime clock_read_at;                      ///< when that reading arrived here
  std::map<std::string, MonotonicTime> former_ids;  ///< of the host's workers: when another id followed
  /// Until then the worker may hold a lease that a call for its former life has given it.
  MonotonicTime former_lease_until = InfinitePast();
  std::int64_t ends_applied = 0;  ///< number of the last end taken into the state
  std::int64_t ends_durable = 0;  ///< number of the last end whose record is durable
  /// Ends as done that the worker must go on listing, with the tasks of which a late call may begin a run yet.
  std::map<std::int64_t, std::vector<std::string>> held_ends;
  std::map<TaskRef, Resources> runs;          ///< everything that may be present there
  std::map<TaskRef, MonotonicTime> starting;  ///< when the start of a run was sent that is not known to have begun
  Resources reserved;                         ///< of tasks whose processors are counted
  Resources late_reserved;                    ///< the same of runs given up that a late call may begin
  Resources kept;                             ///< for a task that lasts, while runs are stopped for it (`RoomHold`)
  /// Runs in its newest list that are not placed there and still take room; each is being stopped.
  std::size_t unknown_runs = 0;
  std::int64_t filling_cpu = 0;  ///< demand of tasks that fill idle processors
  std::int64_t serving_cpu = 0;  ///< part of `reserved` that belongs to serving tasks
  int serving_tasks = 0;
  std::map<std::string, ServingUse> serving;    ///< by image
  std::map<std::string, std::int64_t> filling;  ///< demand of filling tasks by image, thousandths of a core
  MonotonicTime interference_sent_at = InfinitePast();
  MonotonicTime avoid_until;  ///< refuses or fails starts

  Resources Free() const { return capacity - reserved - late_reserved - kept; }
  /// Whether a start was sent before `sent_before` and the run is not known to have begun.
  bool HasStartSince(MonotonicTime sent_before) const;
};

/// Workers by the host of their agent. A host has one worker at a time.
class WorkerPool {
 public:
  PoolWorker* Find(std::string_view agent);
  /// The worker in this life, or null.
  PoolWorker* FindLife(const WorkerLife& life);
  PoolWorker& Add(const std::string& agent);

  /// Records that `worker` may hold a run of the task.
  void Attach(PoolWorker& worker, TaskRef task);
  /// Frees what the task held.
  void Detach(PoolWorker& worker, TaskRef task);
  /// The worker got another life.
  void Reindex(PoolWorker& worker, const WorkerLife& life);

  const std::vector<PoolWorker*>& workers() const { return m_order; }

 private:
  absl::flat_hash_map<std::string, std::unique_ptr<PoolWorker>> m_by_agent;
  absl::flat_hash_map<std::string, PoolWorker*> m_by_worker;
  std::vector<PoolWorker*> m_order;
};

}  // namespace berylgauge::workflow
