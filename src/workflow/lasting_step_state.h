#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_time.h"

namespace berylgauge::workflow {

struct TaskRuntime;
struct WorkflowStep;

/// How many tasks of one step that lasts are at work, and what the others wait for.
struct LastingStepState {
  std::string name;
  std::string queue;
  std::int64_t size = 0;   ///< `SizeOf` the step
  int tasks = 0;           ///< of the step
  int at_work = 0;         ///< listed with 100 percent
  int over_target = 0;     ///< of those at work: above their `target_ms`
  int starting = 0;        ///< placed, not at work yet
  int waiting = 0;         ///< without a run
  int late_calls = 0;      ///< of those that wait: for a call that may be carried out yet
  int paused = 0;          ///< of those that wait: for the pause after a failure
  absl::Duration longest;  ///< wait of the task that waits longest

  /// Part of the tasks that are at work, 0 to 1.
  double Share() const { return tasks == 0 ? 1 : static_cast<double>(at_work) / tasks; }
};

/// Whether the newest list of its worker shows the present run at full work, and no stop of it is ordered.
bool IsAtWork(const TaskRuntime& runtime);

/// Thousandths of a core that all tasks of the step ask for together; an accelerator counts as 8 cores.
std::int64_t SizeOf(const WorkflowStep& step);

/// State of a step whose tasks last, by the newest lists of the workers. `has_late_call` tells of which of its tasks a
/// call for a former run may be carried out yet.
LastingStepState StateOfLastingStep(const WorkflowStep& step, const std::vector<bool>& has_late_call,
                                    MonotonicTime now);

}  // namespace berylgauge::workflow
