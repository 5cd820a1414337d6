#include "workflow/worker_pool.h"

#include <algorithm>

#include "base/absl_string_view.h"

namespace berylgauge::workflow {

PoolWorker* WorkerPool::Find(std::string_view agent) {
  const auto found = m_by_agent.find(ToAbsl(agent));
  return found == m_by_agent.end() ? nullptr : found->second.get();
}

PoolWorker* WorkerPool::FindLife(const WorkerLife& life) {
  const auto found = m_by_worker.find(life.worker);
  if (found == m_by_worker.end() || found->second->life != life) return nullptr;
  return found->second;
}

bool PoolWorker::HasStartSince(MonotonicTime sent_before) const {
  return std::any_of(starting.begin(), starting.end(), [&](const auto& start) { return start.second < sent_before; });
}

PoolWorker& WorkerPool::Add(const std::string& agent) {
  std::unique_ptr<PoolWorker>& worker = m_by_agent[agent];
  if (worker == nullptr) {
    worker = std::make_unique<PoolWorker>();
    worker->agent = agent;
    m_order.push_back(worker.get());
  }
  return *worker;
}

Resources HeldDemand(const StepDefinition& definition) {
  Resources held = definition.demand;
  if (definition.fills_idle_cpu) held.cpu_millis = 0;
  return held;
}

void WorkerPool::Attach(PoolWorker& worker, TaskRef task) {
  const StepDefinition& definition = *task.step->definition;
  const Resources held = HeldDemand(definition);
  if (!worker.runs.emplace(task, held).second) return;
  worker.reserved += held;
  if (definition.fills_idle_cpu) {
    worker.filling_cpu += definition.demand.cpu_millis;
    worker.filling[definition.image] += definition.demand.cpu_millis;
  }
  if (definition.tail_target_ms > 0) {
    ++worker.serving_tasks;
    ServingUse& use = worker.serving[definition.image];
    use.tail_target_ms =
        use.tasks == 0 ? definition.tail_target_ms : std::min(use.tail_target_ms, definition.tail_target_ms);
    ++use.tasks;
    worker.serving_cpu += held.cpu_millis;
  }
}

void WorkerPool::Detach(PoolWorker& worker, TaskRef task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end()) return;
  const StepDefinition& definition = *task.step->definition;
  worker.reserved -= found->second;
  if (definition.fills_idle_cpu) {
    worker.filling_cpu -= definition.demand.cpu_millis;
    std::int64_t& cpu = worker.filling[definition.image];
    cpu -= definition.demand.cpu_millis;
    if (cpu <= 0) worker.filling.erase(definition.image);
  }
  if (definition.tail_target_ms > 0) {
    --worker.serving_tasks;
    const auto use = worker.serving.find(definition.image);
    if (use != worker.serving.end() && --use->second.tasks == 0) worker.serving.erase(use);
    worker.serving_cpu -= found->second.cpu_millis;
  }
  worker.runs.erase(found);
  worker.starting.erase(task);
}

void WorkerPool::Reindex(PoolWorker& worker, const WorkerLife& life) {
  const auto found = m_by_worker.find(worker.life.worker);
  if (found != m_by_worker.end() && found->second == &worker) m_by_worker.erase(found);
  worker.life = life;
  m_by_worker[life.worker] = &worker;
}

}  // namespace berylgauge::workflow
