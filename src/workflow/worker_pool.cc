#include "workflow/worker_pool.h"

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

PoolWorker& WorkerPool::Add(const std::string& agent) {
  std::unique_ptr<PoolWorker>& worker = m_by_agent[agent];
  if (worker == nullptr) {
    worker = std::make_unique<PoolWorker>();
    worker->agent = agent;
    m_order.push_back(worker.get());
  }
  return *worker;
}

void WorkerPool::Attach(PoolWorker& worker, TaskRef task) {
  const StepDefinition& definition = *task.step->definition;
  Resources held = definition.demand;
  if (definition.fills_idle_cpu) held.cpu_millis = 0;
  if (!worker.runs.emplace(task, held).second) return;
  worker.reserved += held;
  if (definition.fills_idle_cpu) worker.filling_cpu += definition.demand.cpu_millis;
  if (definition.tail_target_ms > 0) {
    ++worker.serving_tasks;
    worker.serving_cpu += held.cpu_millis;
  }
}

void WorkerPool::Detach(PoolWorker& worker, TaskRef task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end()) return;
  const StepDefinition& definition = *task.step->definition;
  worker.reserved -= found->second;
  if (definition.fills_idle_cpu) worker.filling_cpu -= definition.demand.cpu_millis;
  if (definition.tail_target_ms > 0) {
    --worker.serving_tasks;
    worker.serving_cpu -= found->second.cpu_millis;
  }
  worker.runs.erase(found);
}

void WorkerPool::Reindex(PoolWorker& worker, const WorkerLife& life) {
  const auto found = m_by_worker.find(worker.life.worker);
  if (found != m_by_worker.end() && found->second == &worker) m_by_worker.erase(found);
  worker.life = life;
  m_by_worker[life.worker] = &worker;
}

void WorkerPool::ForEach(const std::function<void(PoolWorker& worker)>& visit) {
  for (PoolWorker* worker : m_order) visit(*worker);
}

}  // namespace berylgauge::workflow
