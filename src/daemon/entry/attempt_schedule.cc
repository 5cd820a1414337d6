#include "daemon/entry/attempt_schedule.h"

namespace berylgauge {
namespace {

template <typename Id>
std::vector<Id> UpTo(const std::set<std::pair<absl::Duration, Id>>& due, MonotonicTime now) {
  std::vector<Id> ids;
  for (const auto& [at, id] : due) {
    if (at > now.SinceBoot()) break;
    ids.push_back(id);
  }
  return ids;
}

}  // namespace

void AttemptSchedule::Clear() {
  m_tasks.clear();
  m_workers.clear();
  m_due.clear();
  m_due_workers.clear();
}

void AttemptSchedule::Add(const TaskId& task, const WorkerId& worker, MonotonicTime due) {
  Remove(task);
  m_tasks[task] = {.worker = worker, .due = due};
  m_due.emplace(due.SinceBoot(), task);
  const auto [it, inserted] = m_workers.try_emplace(worker, Worker{.tasks = {}, .due = due});
  it->second.tasks.insert(task);
  if (inserted) m_due_workers.emplace(due.SinceBoot(), worker);
}

void AttemptSchedule::Remove(const TaskId& task) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end()) return;
  m_due.erase({it->second.due.SinceBoot(), task});
  const auto worker = m_workers.find(it->second.worker);
  worker->second.tasks.erase(task);
  if (worker->second.tasks.empty()) {
    m_due_workers.erase({worker->second.due.SinceBoot(), worker->first});
    m_workers.erase(worker);
  }
  m_tasks.erase(it);
}

void AttemptSchedule::SetDue(const TaskId& task, MonotonicTime due) {
  const auto it = m_tasks.find(task);
  if (it == m_tasks.end()) return;
  m_due.erase({it->second.due.SinceBoot(), task});
  it->second.due = due;
  m_due.emplace(due.SinceBoot(), task);
}

void AttemptSchedule::SetAllDue(MonotonicTime due) {
  m_due.clear();
  for (auto& [task, attempt] : m_tasks) {
    attempt.due = due;
    m_due.emplace(due.SinceBoot(), task);
  }
}

void AttemptSchedule::SetWorkerDue(const WorkerId& worker, MonotonicTime due) {
  const auto it = m_workers.find(worker);
  if (it == m_workers.end()) return;
  m_due_workers.erase({it->second.due.SinceBoot(), worker});
  it->second.due = due;
  m_due_workers.emplace(due.SinceBoot(), worker);
}

std::vector<TaskId> AttemptSchedule::Due(MonotonicTime now) const { return UpTo(m_due, now); }

std::vector<WorkerId> AttemptSchedule::DueWorkers(MonotonicTime now) const { return UpTo(m_due_workers, now); }

std::vector<TaskId> AttemptSchedule::TasksOn(const WorkerId& worker) const {
  const auto it = m_workers.find(worker);
  if (it == m_workers.end()) return {};
  return {it->second.tasks.begin(), it->second.tasks.end()};
}

}  // namespace berylgauge
