#pragma once

#include <string>

#include "base/ids.h"
#include "state/task.h"

namespace berylgauge {

enum class TaskEventKind {
  kSubmitted,  ///< all tasks of the job wait
  kCancelled,  ///< the job of the task; its live attempts have to be stopped
  kPlaced,
  kEnded,
  kParked,
  kJobFinal,  ///< no task of the job can change any more
};

/// An accepted change of a task, for those that judge workers and jobs by what happened on them.
struct TaskEvent {
  TaskEventKind kind = TaskEventKind::kPlaced;
  Offset offset = kNoOffset;  ///< of the batch; several events may have the same
  TaskId task;
  AttemptNumber attempt = 0;
  WorkerId worker;
  AttemptOutcome outcome = AttemptOutcome::kNotRun;  ///< for `kEnded`
  std::string detail;                                ///< for `kEnded`
};

}  // namespace berylgauge
