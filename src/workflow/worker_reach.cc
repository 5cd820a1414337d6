#include "workflow/worker_reach.h"

#include <algorithm>

namespace berylgauge::workflow {

WorkerReach::WorkerReach(const std::vector<PoolWorker*>& workers) {
  for (const PoolWorker* worker : workers) {
    absl::flat_hash_map<std::string, Capacities>& by_label = m_capacities[worker->service];
    Add(by_label[""], worker->capacity);
    for (const std::string& label : worker->labels) Add(by_label[label], worker->capacity);
  }
}

void WorkerReach::Add(Capacities& capacities, const Resources& capacity) {
  const auto includes = [&](const Resources& other) { return capacity.FitsIn(other); };
  if (std::any_of(capacities.begin(), capacities.end(), includes)) return;
  std::erase_if(capacities, [&](const Resources& other) { return other.FitsIn(capacity); });
  capacities.push_back(capacity);
}

bool WorkerReach::Includes(const WorkflowStep& step) const {
  const auto of_service = m_capacities.find(step.job->definition.queue.service);
  if (of_service == m_capacities.end()) return false;
  const auto of_label = of_service->second.find(step.definition->required_label);
  if (of_label == of_service->second.end()) return false;
  Resources demand = step.definition->demand;
  if (step.definition->fills_idle_cpu) demand.cpu_millis = 0;
  return std::any_of(of_label->second.begin(), of_label->second.end(),
                     [&](const Resources& capacity) { return demand.FitsIn(capacity); });
}

}  // namespace berylgauge::workflow
