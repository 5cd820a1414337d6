#include "workflow/work_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "workflow/workflow_job.h"

namespace berylgauge::workflow {
namespace {

/// Longer ages come from a stepped clock.
constexpr absl::Duration kLongestAge = absl::Minutes(10);

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

void SortByUrgency(std::vector<WorkflowStep*>& steps, MonotonicTime now) {
  struct Row {
    int priority;
    Prospect prospect;
    MonotonicTime deadline;
    WorkflowStep* step;
  };
  std::vector<Row> rows;
  rows.reserve(steps.size());
  for (WorkflowStep* step : steps) {
    rows.push_back({step->job->definition.queue.priority, ProspectOf(*step, now), step->deadline, step});
  }
  std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) {
    return std::tie(a.priority, a.prospect, a.deadline, a.step->name) <
           std::tie(b.priority, b.prospect, b.deadline, b.step->name);
  });
  for (std::size_t i = 0; i < rows.size(); ++i) steps[i] = rows[i].step;
}

}  // namespace berylgauge::workflow
