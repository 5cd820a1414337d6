#include "daemon/entry/attempt_schedule.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace berylgauge {
namespace {

MonotonicTime At(int seconds) { return MonotonicTime(absl::Seconds(seconds)); }
TaskId TaskOf(int i) { return TaskId("task-" + std::to_string(i)); }
WorkerId WorkerOf(int i) { return WorkerId("worker-" + std::to_string(i)); }

/// The same without indexes.
struct Model {
  std::map<TaskId, std::pair<WorkerId, int>> tasks;
  std::map<WorkerId, int> workers;

  std::vector<TaskId> TasksOn(const WorkerId& worker) const {
    std::vector<TaskId> ids;
    for (const auto& [id, attempt] : tasks) {
      if (attempt.first == worker) ids.push_back(id);
    }
    return ids;
  }

  void Remove(const TaskId& id) {
    const auto it = tasks.find(id);
    if (it == tasks.end()) return;
    const WorkerId worker = it->second.first;
    tasks.erase(it);
    if (TasksOn(worker).empty()) workers.erase(worker);
  }
};

template <typename Id>
std::vector<Id> Sorted(std::vector<Id> ids) {
  std::sort(ids.begin(), ids.end());
  return ids;
}

// Guards against attempts that are never looked at again because an index has lost them.
TEST_CASE("the schedule agrees with a list without indexes", "[share][property]") {
  rc::prop("random changes", [] {
    AttemptSchedule schedule;
    Model model;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const int task = *rc::gen::inRange(0, 5);
      const int worker = *rc::gen::inRange(0, 3);
      const int due = *rc::gen::inRange(0, 10);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          model.Remove(TaskOf(task));
          model.tasks[TaskOf(task)] = {WorkerOf(worker), due};
          model.workers.try_emplace(WorkerOf(worker), due);
          schedule.Add(TaskOf(task), WorkerOf(worker), At(due));
          break;
        case 1:
          model.Remove(TaskOf(task));
          schedule.Remove(TaskOf(task));
          break;
        case 2:
          if (model.tasks.contains(TaskOf(task))) model.tasks[TaskOf(task)].second = due;
          schedule.SetDue(TaskOf(task), At(due));
          break;
        case 3:
          if (model.workers.contains(WorkerOf(worker))) model.workers[WorkerOf(worker)] = due;
          schedule.SetWorkerDue(WorkerOf(worker), At(due));
          break;
        default:
          for (auto& [id, attempt] : model.tasks) attempt.second = due;
          schedule.SetAllDue(At(due));
      }
      const int now = *rc::gen::inRange(0, 10);
      std::vector<TaskId> due_tasks;
      for (const auto& [id, attempt] : model.tasks) {
        if (attempt.second <= now) due_tasks.push_back(id);
      }
      std::vector<WorkerId> due_workers;
      for (const auto& [id, at] : model.workers) {
        if (at <= now) due_workers.push_back(id);
      }
      RC_ASSERT(Sorted(schedule.Due(At(now))) == due_tasks);
      RC_ASSERT(Sorted(schedule.DueWorkers(At(now))) == due_workers);
      for (int w = 0; w < 3; ++w) RC_ASSERT(schedule.TasksOn(WorkerOf(w)) == model.TasksOn(WorkerOf(w)));
      RC_ASSERT(schedule.size() == model.tasks.size());
    }
  });
}

}  // namespace
}  // namespace berylgauge
