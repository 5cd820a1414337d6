#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"
#include "workflow/run_bound.h"

namespace berylgauge::workflow {

enum class TaskState {
  kWaiting,
  kPlaced,  ///< a run may exist at the worker
  kDone,
};

/// What is recorded of one task.
struct TaskProgress {
  TaskState state = TaskState::kWaiting;
  int run = 0;                       ///< number of the newest run; 0 before the first
  int failures = 0;                  ///< runs that ended as failed
  std::string worker;                ///< of the newest run while placed
  std::string agent;                 ///< host of that worker
  std::int64_t worker_born = 0;      ///< life of that worker, Unix milliseconds of its start
  std::string checkpoint;            ///< from which the next run resumes; empty for none
  RunBound bound = RunBound::kNone;  ///< of the newest run while placed; the weakest where the record has none
  /// Worker, by its id, and its host, at which a call for a former run may be carried out late; empty for none.
  std::string late_worker;
  std::string late_agent;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

/// CBOR of the progress of a step; tasks that never ran take no space.
std::string EncodeStepProgress(const std::vector<TaskProgress>& tasks);

/// Returns `task_count` entries. Fails with `kCorrupt` for anything that `EncodeStepProgress` did not make.
Result<std::vector<TaskProgress>> DecodeStepProgress(std::string_view bytes, int task_count);

}  // namespace berylgauge::workflow
