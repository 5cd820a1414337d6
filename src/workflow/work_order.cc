#include "workflow/work_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "workflow/workflow_job.h"

namespace berylgauge::workflow {
namespace {

/// Longer ages come from a stepped clock.
constexpr absl::Duration kLongestAge = absl::Minutes(10);
/// A step lacks few tasks if no more than this share of them, or this number, waits.
constexpr int kFewDivisor = 4;
constexpr int kFewTasks = 2;

/// How much of a step's work is lacking before it counts for something; less comes first.
enum class Lack {
  kFewTasks,
  kBegunJob,
  kNewJob,
};

Lack LackOf(const WorkflowStep& step) {
  // It counts from its first moment on.
  if (step.definition->long_running) return Lack::kFewTasks;
  const auto count = static_cast<int>(step.tasks.size());
  const auto waiting =
      static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(),
                                     [](const TaskProgress& task) { return task.state == TaskState::kWaiting; }));
  if (waiting < count && waiting <= std::max(count / kFewDivisor, kFewTasks)) return Lack::kFewTasks;
  // Its turn has come only after other steps of the same occurrence.
  const bool has_begun = waiting < count || !step.definition->after.empty();
  return has_begun ? Lack::kBegunJob : Lack::kNewJob;
}

}  // namespace

ChainTimes EstimateChains(const JobDefinition& job) {
  std::vector<absl::Duration> declared;
  declared.reserve(job.steps.size());
  for (const StepDefinition& step : job.steps) declared.push_back(absl::Milliseconds(step.estimate_ms));
  return EstimateChains(job, declared);
}

ChainTimes EstimateChains(const JobDefinition& job, const std::vector<absl::Duration>& durations) {
  ChainTimes times;
  times.from_steps.assign(job.steps.size(), absl::ZeroDuration());
  for (std::size_t i = job.steps.size(); i-- > 0;) {
    // So far the longest chain of the steps that come after this one.
    times.from_steps[i] += durations[i];
    times.whole = std::max(times.whole, times.from_steps[i]);
    for (const int before : job.steps[i].after) {
      absl::Duration& earlier = times.from_steps[static_cast<std::size_t>(before)];
      earlier = std::max(earlier, times.from_steps[i]);
    }
  }
  return times;
}

absl::Duration AgeOf(std::int64_t begun_unix_ms, std::int64_t unix_now_ms) {
  if (begun_unix_ms == 0) return absl::ZeroDuration();
  return std::clamp(absl::Milliseconds(unix_now_ms - begun_unix_ms), absl::ZeroDuration(), kLongestAge);
}

Prospect ProspectOf(const WorkflowStep& step, MonotonicTime now) {
  // It counts for as long as it runs.
  if (step.definition->long_running) return Prospect::kInTime;
  const MonotonicTime end = now + step.remaining;
  if (end <= step.deadline) return Prospect::kInTime;
  return end <= step.late_until ? Prospect::kLate : Prospect::kExpired;
}

bool IsAged(const WorkflowStep& step, MonotonicTime now) {
  if (step.definition->long_running || step.job->placed > 0) return false;
  return now - step.runtimes[step.LongestWaitingTask()].waiting_since >= kAgedAfter;
}

void SortByUrgency(std::span<WorkflowStep*> steps, AgedFirst aged, MonotonicTime now) {
  struct Row {
    int priority;
    MonotonicTime aged_since;  ///< `InfiniteFuture()` unless the step comes first for its age
    Prospect prospect;
    Lack lack;                 ///< the same for all that have expired
    absl::Duration remaining;  ///< zero unless in time
    MonotonicTime deadline;
    WorkflowStep* step;
  };
  std::vector<Row> rows;
  rows.reserve(steps.size());
  for (WorkflowStep* step : steps) {
    const bool comes_first = aged == AgedFirst::kYes && IsAged(*step, now);
    const Prospect prospect = ProspectOf(*step, now);
    rows.push_back(
        {.priority = step->job->definition.queue.priority,
         .aged_since = comes_first ? step->runtimes[step->LongestWaitingTask()].waiting_since : InfiniteFuture(),
         .prospect = prospect,
         .lack = prospect == Prospect::kExpired ? Lack::kNewJob : LackOf(*step),
         .remaining = prospect == Prospect::kInTime ? step->remaining : absl::ZeroDuration(),
         .deadline = step->deadline,
         .step = step});
  }
  const auto key = [](const Row& row) {
    return std::tie(row.priority, row.aged_since, row.prospect, row.lack, row.remaining, row.deadline, row.step->name);
  };
  std::sort(rows.begin(), rows.end(), [&](const Row& a, const Row& b) { return key(a) < key(b); });
  for (std::size_t i = 0; i < rows.size(); ++i) steps[i] = rows[i].step;
}

}  // namespace berylgauge::workflow
