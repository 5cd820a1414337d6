#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/monotonic_time.h"

namespace berylgauge {

/// When the live attempts of a share, and the workers that hold them, have to be looked at next.
///
/// Each change costs O(log attempts), so that a step of the owner costs what is due and not what runs.
class AttemptSchedule {
 public:
  void Clear();

  /// Adds the live attempt of a task, or moves it to another worker. The attempt, and a worker that was not known, are
  /// due at `due`.
  void Add(const TaskId& task, const WorkerId& worker, MonotonicTime due);
  void Remove(const TaskId& task);

  /// Sets when the attempt of a known task is due.
  void SetDue(const TaskId& task, MonotonicTime due);
  /// Makes the attempts of all tasks due.
  void SetAllDue(MonotonicTime due);
  /// Sets when a worker that holds attempts is due.
  void SetWorkerDue(const WorkerId& worker, MonotonicTime due);

  /// Tasks and workers that are due. They are due again in the next call unless a later time is set.
  std::vector<TaskId> Due(MonotonicTime now) const;
  std::vector<WorkerId> DueWorkers(MonotonicTime now) const;

  /// Tasks with a live attempt on the worker.
  std::vector<TaskId> TasksOn(const WorkerId& worker) const;
  std::size_t size() const { return m_tasks.size(); }

 private:
  struct Attempt {
    WorkerId worker;
    MonotonicTime due;
  };
  struct Worker {
    std::set<TaskId> tasks;
    MonotonicTime due;
  };

  std::map<TaskId, Attempt> m_tasks;
  std::map<WorkerId, Worker> m_workers;
  std::set<std::pair<absl::Duration, TaskId>> m_due;
  std::set<std::pair<absl::Duration, WorkerId>> m_due_workers;
};

}  // namespace berylgauge
