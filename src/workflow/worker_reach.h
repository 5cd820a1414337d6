#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "workflow/worker_pool.h"
#include "workflow/workflow_job.h"

namespace berylgauge::workflow {

/// Tells in constant time whether any worker, however full or paused, could ever take a task of a step.
///
/// Answers the load of many jobs that nothing can run: without it, each pass of placement searches all workers for each
/// of them.
class WorkerReach {
 public:
  explicit WorkerReach(const std::vector<PoolWorker*>& workers);

  bool Includes(const WorkflowStep& step) const;

 private:
  /// Capacities of which none fits in another one.
  using Capacities = std::vector<Resources>;

  static void Add(Capacities& capacities, const Resources& capacity);

  /// By service, then by label; the empty label stands for all workers of the service.
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, Capacities>> m_capacities;
};

}  // namespace berylgauge::workflow
