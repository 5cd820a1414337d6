#include "workflow/lasting_step_state.h"

#include <algorithm>
#include <cstddef>

#include "workflow/workflow_job.h"

namespace berylgauge::workflow {
namespace {

constexpr std::int64_t kMillisPerAccelerator = 8000;
constexpr int kWholePercent = 100;

}  // namespace

bool IsAtWork(const TaskRuntime& runtime) {
  return runtime.stage == RunStage::kRunning && runtime.has_begun && runtime.percent == kWholePercent;
}

std::int64_t SizeOf(const WorkflowStep& step) {
  const Resources& demand = step.definition->demand;
  return static_cast<std::int64_t>(step.tasks.size()) *
         (demand.cpu_millis + kMillisPerAccelerator * demand.accelerators);
}

LastingStepState StateOfLastingStep(const WorkflowStep& step, const std::vector<bool>& has_late_call,
                                    MonotonicTime now) {
  LastingStepState state{.name = step.name,
                         .queue = step.job->definition.queue.name,
                         .size = SizeOf(step),
                         .tasks = static_cast<int>(step.tasks.size())};
  const int target_ms = step.definition->tail_target_ms;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskRuntime& runtime = step.runtimes[i];
    if (step.tasks[i].state == TaskState::kPlaced) {
      ++(IsAtWork(runtime) ? state.at_work : state.starting);
      if (IsAtWork(runtime) && target_ms > 0 && runtime.measured > target_ms) ++state.over_target;
    } else if (step.tasks[i].state == TaskState::kWaiting) {
      ++state.waiting;
      state.longest = std::max(state.longest, now - runtime.waiting_since);
      if (has_late_call[i]) {
        ++state.late_calls;
      } else if (now < runtime.not_before) {
        ++state.paused;
      }
    }
  }
  return state;
}

}  // namespace berylgauge::workflow
