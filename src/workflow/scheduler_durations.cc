#include "base/event_log.h"
#include "workflow/scheduler.h"
#include "workflow/work_order.h"

namespace berylgauge::workflow {

void Scheduler::LearnProgress(const PoolWorker& worker, TaskRef task, MonotonicTime now) {
  WorkflowStep& step = *task.step;
  const bool was_learned = step.durations.work > absl::ZeroDuration();
  // An agent repeats the list of a worker that does not answer it, so the list is as old as its clock reading.
  m_durations.Observe(step, task.index,
                      {.percent = step.runtimes[static_cast<std::size_t>(task.index)].percent,
                       .speed = step.SpeedOf(task.index, now),
                       .at = worker.clock_read_at},
                      now);
  NoteLearned(step, was_learned);
}

void Scheduler::LearnDone(TaskRef task, MonotonicTime now) {
  WorkflowStep& step = *task.step;
  const bool was_learned = step.durations.work > absl::ZeroDuration();
  const TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(task.index)];
  const double former_share = runtime.work.share();
  // A run that was never listed was at work from its start on if it had no checkpoint to restore.
  const bool is_unlisted = !runtime.work.has_run() && runtime.stage == RunStage::kRunning &&
                           step.tasks[static_cast<std::size_t>(task.index)].checkpoint.empty();
  if (is_unlisted) {
    m_durations.Observe(step, task.index,
                        {.percent = 0, .speed = step.SpeedOf(task.index, runtime.started_at), .at = runtime.started_at},
                        now);
  }
  m_durations.ObserveDone(step, task.index, now);
  if (runtime.work.share() > former_share) ++m_counts.measured_tasks;
  NoteLearned(step, was_learned);
}

void Scheduler::NoteLearned(WorkflowStep& step, bool was_learned) {
  if (was_learned || step.durations.work <= absl::ZeroDuration()) return;
  ++m_counts.learned_steps;
  LogEvent(LogLevel::kInfo, "duration_learned",
           {{"step", step.name},
            {"image", step.definition->image},
            {"tasks", step.tasks.size()},
            {"estimate_ms", step.definition->estimate_ms},
            {"learned_ms", absl::ToInt64Milliseconds(step.durations.work)},
            {"spread_percent", static_cast<int>(100 * step.durations.spread)}});
}

void Scheduler::RefreshRemaining(MonotonicTime now) {
  if (now < m_next_remaining) return;
  m_next_remaining = now + m_options.remaining_interval;
  for (const auto& [id, job] : m_jobs) {
    if (!job->TakesRuns()) continue;
    for (const auto& [occurrence, steps] : job->occurrences) RefreshRemaining(job->definition, steps, now);
  }
}

void Scheduler::RefreshRemaining(const JobDefinition& job, const std::vector<std::unique_ptr<WorkflowStep>>& steps,
                                 MonotonicTime now) {
  std::vector<absl::Duration> durations;
  durations.reserve(steps.size());
  for (const std::unique_ptr<WorkflowStep>& step : steps) {
    durations.push_back(m_durations.LongestRemainingWork(*step, now));
  }
  const ChainTimes chains = EstimateChains(job, durations);
  for (std::size_t i = 0; i < steps.size(); ++i) {
    WorkflowStep& step = *steps[i];
    const Prospect former = ProspectOf(step, now);
    step.remaining = chains.from_steps[i];
    if (m_waiting.contains(&step) && ProspectOf(step, now) != former) ++m_counts.prospect_changes;
  }
}

}  // namespace berylgauge::workflow
