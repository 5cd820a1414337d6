#include "workflow/step_progress.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor_document.h"
#include "base/json_number.h"

namespace berylgauge::workflow {
namespace {

using nlohmann::json;

/// First element of each record; a reader refuses other formats.
constexpr int kFormat = 2;

constexpr int kNoWorker = -1;

/// Absent in rows without a bound.
constexpr std::size_t kBoundColumn = 6;
/// Absent in rows without a late call.
constexpr std::size_t kLateWorkerColumn = 7;

/// Of the runs and failures of a task; half of what fits, so that the next number does too.
constexpr int kMaxCount = 1 << 30;

}  // namespace

std::string EncodeStepProgress(const std::vector<TaskProgress>& tasks) {
  json workers = json::array();
  json rows = json::array();
  const bool all_done =
      std::all_of(tasks.begin(), tasks.end(), [](const TaskProgress& t) { return t.state == TaskState::kDone; });
  for (std::size_t index = 0; index < tasks.size() && !all_done; ++index) {
    const TaskProgress& task = tasks[index];
    if (task.run == 0) continue;
    const auto number_of = [&](json entry) {
      const auto found = std::find(workers.begin(), workers.end(), entry);
      const int number = static_cast<int>(found - workers.begin());
      if (found == workers.end()) workers.push_back(std::move(entry));
      return number;
    };
    int worker = kNoWorker;
    if (task.state == TaskState::kPlaced) worker = number_of({task.worker, task.worker_born, task.agent});
    json row = json::array({index, static_cast<int>(task.state), task.run, task.failures, worker, task.checkpoint});
    const bool is_late = task.state != TaskState::kDone && !task.late_worker.empty();
    const RunBound bound = task.state == TaskState::kPlaced ? task.bound : RunBound::kNone;
    if (bound != RunBound::kNone || is_late) row.push_back(static_cast<int>(bound));
    if (is_late) row.push_back(number_of({task.late_worker, 0, task.late_agent}));
    rows.push_back(std::move(row));
  }
  return ToCbor(json::array({kFormat, all_done, std::move(workers), std::move(rows)}));
}

Result<std::vector<TaskProgress>> DecodeStepProgress(std::string_view bytes, int task_count) {
  using Tasks = std::vector<TaskProgress>;
  return ReadCbor<Tasks>(bytes, "step record", [&](const json& document) -> Result<Tasks> {
    Tasks tasks(static_cast<std::size_t>(std::max(task_count, 0)));
    if (document.at(0) != kFormat) return NotRun(FailureCode::kCorrupt, "step record has an unknown format");
    if (document.at(1).get<bool>()) {
      for (TaskProgress& task : tasks) task.state = TaskState::kDone;
      return tasks;
    }
    const json& workers = document.at(2);
    for (const json& row : document.at(3)) {
      const auto index = ReadInteger<std::size_t>(row.at(0), 0);
      if (index >= tasks.size()) {
        return NotRun(FailureCode::kCorrupt, "step record names a task that does not exist");
      }
      TaskProgress& task = tasks[index];
      task.state = static_cast<TaskState>(ReadInteger<int>(row.at(1), 0, static_cast<int>(TaskState::kDone)));
      task.run = ReadInteger<int>(row.at(2), 0, kMaxCount);
      task.failures = ReadInteger<int>(row.at(3), 0, kMaxCount);
      const int number = ReadInteger<int>(row.at(4), kNoWorker);
      if (number != kNoWorker) {
        const json& worker = workers.at(static_cast<std::size_t>(number));
        worker.at(0).get_to(task.worker);
        task.worker_born = ReadInteger<std::int64_t>(worker.at(1), 0, kMaxExactInteger);
        worker.at(2).get_to(task.agent);
      }
      row.at(5).get_to(task.checkpoint);
      if (row.size() > kBoundColumn) {
        const int bound = ReadInteger<int>(row.at(kBoundColumn), 0, static_cast<int>(RunBound::kGrantedLease));
        task.bound = static_cast<RunBound>(bound);
      }
      if (row.size() > kLateWorkerColumn) {
        const json& worker = workers.at(ReadInteger<std::size_t>(row.at(kLateWorkerColumn), 0));
        worker.at(0).get_to(task.late_worker);
        worker.at(2).get_to(task.late_agent);
      }
    }
    return tasks;
  });
}

}  // namespace berylgauge::workflow
