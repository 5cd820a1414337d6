#include <algorithm>
#include <utility>

#include "base/doubling_delay.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {

void Scheduler::OnStartAnswer(const std::string& task, int run, const WorkerLife& life, const StartAnswer& answer,
                              MonotonicTime now) {
  const std::optional<TaskRef> ref = FindRun(task, run, life);
  if (!ref) return;
  TaskRuntime& runtime = ref->step->runtimes[static_cast<std::size_t>(ref->index)];
  runtime.is_order_answered = answer.refusal != StartRefusal::kStaleOwner;
  switch (answer.refusal) {
    case StartRefusal::kNone:
      runtime.is_start_settled = answer.is_settled;
      if (answer.is_settled) SettleStart(m_workers.FindLife(life), *ref, now);
      if (runtime.stage == RunStage::kStarting) {
        runtime.stage = RunStage::kRunning;
        runtime.started_at = now;
        runtime.started_clock_ms = answer.clock_ms;
        NoteBegun(m_workers.FindLife(life), *ref);
        NoteAtWork(*ref->step->job, now);
      }
      return;
    case StartRefusal::kUnanswered:
      if (RepeatStart(*ref)) return;
      OrderStop(*ref);
      return;
    case StartRefusal::kEnded:
      OrderStop(*ref);  // tells whether the end is listed
      return;
    case StartRefusal::kStaleOwner:
      return;  // this process is about to learn that it is no longer the owner
    default:
      break;
  }
  ++m_counts.refused_starts;
  LogEvent(
      LogLevel::kInfo, "start_refused",
      {{"task", task}, {"run", run}, {"worker", life.worker}, {"reason", kStartRefusalNames.NameOf(answer.refusal)}});
  if (PoolWorker* worker = m_workers.FindLife(life)) {
    const bool is_unfit = answer.refusal == StartRefusal::kUnhealthy || answer.refusal == StartRefusal::kRoom ||
                          answer.refusal == StartRefusal::kUnreached;
    if (is_unfit) worker->avoid_until = now + m_options.refusal_pause;
  }
  m_late_calls.Remove(task, run);
  LoseRun(*ref, RunLoss::kStartRefused, now);
}

void Scheduler::NoteBegun(PoolWorker* worker, TaskRef task) {
  if (worker != nullptr) worker->starting.erase(task);
  task.step->runtimes[static_cast<std::size_t>(task.index)].has_begun = true;
  WorkflowJob& job = *task.step->job;
  if (job.phase != JobPhase::kQueued) return;
  job.phase = JobPhase::kRunning;
  if (job.phase_changed) return;
  job.phase_changed = true;
  m_changed_jobs.push_back(&job);
}

void Scheduler::SettleStart(const PoolWorker* worker, TaskRef task, MonotonicTime now) {
  const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
  m_late_calls.Remove(task.step->TaskNameOf(task.index), progress.run);
  if (worker == nullptr) return;
  task.step->runtimes[static_cast<std::size_t>(task.index)].is_start_settled = true;
  const RunBound bound = now <= worker->former_lease_until ? RunBound::kLongestLease : RunBound::kGrantedLease;
  RunBound& recorded = task.step->tasks[static_cast<std::size_t>(task.index)].bound;
  if (bound <= recorded) return;
  recorded = bound;
  m_steps_with_new_bounds.insert(task.step);
}

void Scheduler::NoteAtWork(WorkflowJob& job, MonotonicTime at) { job.last_at_work = std::max(job.last_at_work, at); }

void Scheduler::NoteListed(PoolWorker& worker, TaskRef task, const ActiveRun& run, MonotonicTime now) {
  NoteBegun(&worker, task);
  const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
  // Calls without an answer have been carried out in this life by then. Its clock is the time of the list, which may
  // arrive late.
  const bool are_calls_over =
      runtime.stage == RunStage::kRunning && runtime.started_clock_ms > 0 &&
      worker.clock_ms - runtime.started_clock_ms > absl::ToInt64Milliseconds(m_options.late_call_limit);
  if (runtime.is_start_settled || are_calls_over) SettleStart(&worker, task, now);
  const bool stands_still = task.step->definition->fills_idle_cpu && run.measured == 0;
  // An agent repeats the list of a worker that does not answer it.
  if (!stands_still) NoteAtWork(*task.step->job, worker.clock_read_at);
}

void Scheduler::OnStopAnswer(const std::string& task, int run, const WorkerLife& life, bool end_listed,
                             MonotonicTime now) {
  const std::optional<TaskRef> ref = FindRun(task, run, life);
  if (!ref || end_listed) return;
  LoseRun(*ref, RunLoss::kAbsent, now);
}

void Scheduler::ApplyEnd(const WorkerLife& life, const RunEnd& end, MonotonicTime now) {
  const std::optional<TaskRef> ref = FindRun(end.task, end.run, life);
  if (!ref) {
    if (ApplyLateDone(end, now)) return;
    ++m_counts.ends_unmatched;
    LogUnmatchedEnd(life, end);
    return;
  }
  NoteBegun(m_workers.FindLife(life), *ref);
  FinishRun(*ref, end.kind, end.checkpoint, now);
}

bool Scheduler::ApplyLateDone(const RunEnd& end, MonotonicTime now) {
  const std::optional<TaskName> name = TaskName::Parse(end.task);
  WorkflowStep* step = name && end.kind == RunEndKind::kDone ? FindStep(name->step) : nullptr;
  if (step == nullptr || name->index >= static_cast<int>(step->tasks.size())) return false;
  TaskProgress& task = step->tasks[static_cast<std::size_t>(name->index)];
  const bool is_newest = task.state == TaskState::kWaiting && task.run == end.run;
  const bool ends_task = !step->definition->long_running && !step->definition->gang && step->job->TakesRuns();
  if (!is_newest || !ends_task) return false;
  LogEvent(LogLevel::kWarning, "late_end_applied", {{"task", end.task}, {"run", end.run}, {"number", end.number}});
  ++m_counts.ends_done;
  task.state = TaskState::kDone;
  ++step->done;
  --step->job->waiting;
  MarkChanged(*step);
  AfterTaskDone(*step, now);
  return true;
}

void Scheduler::ApplyPastEnds(const PastEnds& past, MonotonicTime now) {
  for (const RunEnd& end : past.ends) {
    const std::optional<TaskRef> ref = FindRun(end.task, end.run, past.life);
    if (!ref) {
      ApplyLateDone(end, now);  // else it was taken before: such ends are reported for a while
      continue;
    }
    // A call without an answer may have begun the run again in the next life, whose first lists decide then.
    const bool is_settled = ref->step->runtimes[static_cast<std::size_t>(ref->index)].is_start_settled;
    if (end.kind != RunEndKind::kDone && !is_settled) continue;
    LogEvent(LogLevel::kInfo, "past_end_applied",
             {{"task", end.task}, {"run", end.run}, {"worker", past.life.worker}, {"born", past.life.born}});
    NoteBegun(m_workers.FindLife(past.life), *ref);
    FinishRun(*ref, end.kind, end.checkpoint, now);
  }
}

void Scheduler::LogUnmatchedEnd(const WorkerLife& life, const RunEnd& end) {
  const std::optional<TaskProgress> known = RecordedProgress(end.task);
  const TaskProgress recorded = known.value_or(TaskProgress{});
  LogEvent(LogLevel::kInfo, "end_unmatched",
           {{"task", end.task},
            {"run", end.run},
            {"worker", life.worker},
            {"born", life.born},
            {"end", kRunEndKindNames.NameOf(end.kind)},
            {"number", end.number},
            {"job_known", known.has_value()},
            {"recorded_run", recorded.run},
            {"recorded_worker", recorded.worker}});
}

std::optional<TaskProgress> Scheduler::RecordedProgress(const std::string& task) {
  const std::optional<TaskRef> ref = FindTask(task);
  if (!ref) return std::nullopt;
  return ref->step->tasks[static_cast<std::size_t>(ref->index)];
}

void Scheduler::FinishRun(TaskRef task, RunEndKind kind, const std::string& checkpoint, MonotonicTime now) {
  WorkflowStep& step = *task.step;
  WorkflowJob& job = *step.job;
  const std::string worker = step.tasks[static_cast<std::size_t>(task.index)].worker;
  LogEvent(LogLevel::kInfo, "run_ended",
           {{"task", step.TaskNameOf(task.index)},
            {"run", step.tasks[static_cast<std::size_t>(task.index)].run},
            {"worker", worker},
            {"end", kRunEndKindNames.NameOf(kind)},
            {"ms", absl::ToInt64Milliseconds(now - step.runtimes[static_cast<std::size_t>(task.index)].started_at)},
            {"estimate_ms", step.definition->estimate_ms}});
  Release(task, checkpoint, now);
  if (kind == RunEndKind::kDone || kind == RunEndKind::kFailed) NoteAtWork(job, now);
  if (kind == RunEndKind::kDone) {
    ++m_counts.ends_done;
    RecordWorkerSuccess(worker, ReadmissionReason::kRunDone, now);
  } else if (kind == RunEndKind::kFailed) {
    ++m_counts.ends_failed;
    RecordWorkerFailure(worker, job, now);
    step.runtimes[static_cast<std::size_t>(task.index)].avoid.push_back(worker);
  } else {
    ++m_counts.ends_other;
    m_quarantine.RecordTrialAborted(WorkerId(worker));
  }
  if (step.definition->gang) {
    SettleGang(step, task.index, kind, now);
  } else if (kind == RunEndKind::kDone && !step.definition->long_running) {
    step.tasks[static_cast<std::size_t>(task.index)].state = TaskState::kDone;
    ++step.done;
    --job.waiting;
  } else if (kind == RunEndKind::kFailed) {
    CountFailure(task, now);
  }
  MarkChanged(step);
  AfterTaskDone(step, now);
}

void Scheduler::CountFailure(TaskRef task, MonotonicTime now) {
  WorkflowStep& step = *task.step;
  TaskProgress& progress = step.tasks[static_cast<std::size_t>(task.index)];
  ++progress.failures;
  step.runtimes[static_cast<std::size_t>(task.index)].not_before =
      now + DoublingDelay(progress.failures, m_options.first_retry_pause, m_options.longest_retry_pause);
}

void Scheduler::SettleGang(WorkflowStep& step, int ended_index, RunEndKind kind, MonotonicTime now) {
  if (kind == RunEndKind::kDone && !step.definition->long_running) {
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (step.tasks[i].state == TaskState::kPlaced) Release({.step = &step, .index = static_cast<int>(i)}, {}, now);
      step.tasks[i].state = TaskState::kDone;
    }
    step.job->waiting -= static_cast<int>(step.tasks.size());
    step.done = static_cast<int>(step.tasks.size());
    return;
  }
  const TaskProgress& ended = step.tasks[static_cast<std::size_t>(ended_index)];
  // The first member carries the count, because a failed run of the gang counts once.
  if (kind == RunEndKind::kFailed && step.failed_gang_run != ended.run) {
    step.failed_gang_run = ended.run;
    CountFailure({.step = &step, .index = 0}, now);
  }
  if (!ended.checkpoint.empty()) {
    for (TaskProgress& task : step.tasks) task.checkpoint = ended.checkpoint;
  }
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state == TaskState::kPlaced) OrderStop({.step = &step, .index = static_cast<int>(i)});
  }
}

void Scheduler::LoseRun(TaskRef task, RunLoss reason, MonotonicTime now) {
  WorkflowStep& step = *task.step;
  const TaskProgress& progress = step.tasks[static_cast<std::size_t>(task.index)];
  const TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(task.index)];
  const PoolWorker* worker = m_workers.FindLife({.worker = progress.worker, .born = progress.worker_born});
  const MonotonicTime silent_since = worker == nullptr ? m_claimed_at : worker->clock_read_at;
  ++m_counts.ends_lost;
  ++m_counts.lost_runs[static_cast<std::size_t>(reason)];
  LogEvent(LogLevel::kInfo, "run_lost",
           {{"task", step.TaskNameOf(task.index)},
            {"run", progress.run},
            {"worker", progress.worker},
            {"born", progress.worker_born},
            {"reason", kRunLossNames.NameOf(reason)},
            {"begun", runtime.has_begun},
            {"settled", runtime.is_start_settled},
            {"bound", kRunBoundNames.NameOf(progress.bound)},
            {"late_call", m_late_calls.Has(step.TaskNameOf(task.index), progress.run)},
            {"silent_ms", absl::ToInt64Milliseconds(now - silent_since)},
            {"former_lease_ms", worker == nullptr ? 0 : RemainingFormerLeaseMs(*worker, now)}});
  m_quarantine.RecordTrialAborted(WorkerId(progress.worker));
  Release(task, {}, now);
  if (step.definition->gang) SettleGang(step, task.index, RunEndKind::kLapsed, now);
  MarkChanged(step);
  AfterTaskDone(step, now);
}

void Scheduler::RecordWorkerFailure(const std::string& worker, const WorkflowJob& job, MonotonicTime now) {
  const WorkerId id(worker);
  const bool was_out = m_quarantine.OutSince(id) != InfiniteFuture();
  if (!m_quarantine.RecordFailure(id, JobId(job.definition.id), now)) return;
  if (!was_out) ++m_counts.quarantines;
  const std::vector<JobId> evidence = m_quarantine.Evidence(id);
  LogEvent(LogLevel::kWarning, "worker_quarantined",
           {{"worker", worker},
            {"failed_trial", was_out},
            {"last_job", job.definition.id},
            {"failed_jobs", evidence.size()},
            {"pause_ms", absl::ToInt64Milliseconds(m_quarantine.TrialAt(id, now) - now)},
            {"quarantined_workers", QuarantinedWorkers()},
            {"workers", m_workers.workers().size()}});
}

void Scheduler::RecordWorkerSuccess(const std::string& worker, ReadmissionReason reason, MonotonicTime now) {
  const MonotonicTime out_since = m_quarantine.OutSince(WorkerId(worker));
  if (!m_quarantine.RecordSuccess(WorkerId(worker))) return;
  m_placement_due = true;
  LogReadmission(worker, out_since, reason, now);
}

void Scheduler::LogReadmission(const std::string& worker, MonotonicTime out_since, ReadmissionReason reason,
                               MonotonicTime now) {
  ++m_counts.readmissions;
  LogEvent(LogLevel::kInfo, "worker_readmitted",
           {{"worker", worker},
            {"reason", kReadmissionReasonNames.NameOf(reason)},
            {"out_ms", absl::ToInt64Milliseconds(now - out_since)},
            {"quarantined_workers", QuarantinedWorkers()},
            {"workers", m_workers.workers().size()}});
}

void Scheduler::Release(TaskRef task, const std::string& checkpoint, MonotonicTime now) {
  WorkflowStep& step = *task.step;
  TaskProgress& progress = step.tasks[static_cast<std::size_t>(task.index)];
  TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(task.index)];
  PoolWorker* worker = m_workers.FindLife({.worker = progress.worker, .born = progress.worker_born});
  if (worker != nullptr) m_workers.Detach(*worker, task);
  const auto orphans = m_orphans.find(progress.worker);
  if (orphans != m_orphans.end()) std::erase(orphans->second, task);
  const std::string& saved = checkpoint.empty() ? runtime.checkpoint : checkpoint;
  if (step.definition->saves_progress && !saved.empty()) progress.checkpoint = saved;
  progress.state = TaskState::kWaiting;
  if (const LateCall* late = m_late_calls.FindAny(step.TaskNameOf(task.index))) {
    progress.late_worker = late->worker;
    progress.late_agent = late->agent;
  }
  progress.worker.clear();
  progress.worker_born = 0;
  progress.agent.clear();
  runtime.stage = RunStage::kNone;
  // A start without effect ends no wait.
  if (std::exchange(runtime.has_begun, false)) {
    runtime.waiting_since = now;
  } else {
    step.job->last_placed = InfinitePast();
  }
  runtime.checkpoint.clear();
  runtime.percent = 0;
  --step.job->placed;
  ++step.job->waiting;
  m_placement_due = true;
}

void Scheduler::AfterTaskDone(WorkflowStep& step, MonotonicTime now) {
  WorkflowJob& job = *step.job;
  if (!job.TakesRuns()) {
    ForgetIfIdle(job, now);
    return;
  }
  const int limit = job.definition.queue.max_attempts;
  const bool exhausted = !step.definition->long_running &&
                         std::any_of(step.tasks.begin(), step.tasks.end(), [&](const TaskProgress& task) {
                           return task.state == TaskState::kWaiting && task.failures >= limit;
                         });
  if (exhausted) {
    LogEvent(LogLevel::kInfo, "job_failed", {{"job", job.definition.id}, {"step", step.name}, {"attempts", limit}});
    EndJob(job, JobPhase::kFailed, now);
    return;
  }
  UpdateWaiting(step);
  if (!step.IsDone()) return;
  RefreshReadySteps(job.occurrences[step.occurrence], now);
  if (job.definition.IsScheduled() && job.next_occurrence < job.definition.occurrences) return;
  for (const auto& [occurrence, steps] : job.occurrences) {
    for (const std::unique_ptr<WorkflowStep>& other : steps) {
      if (!other->IsDone()) return;
    }
  }
  EndJob(job, JobPhase::kDone, now);
}

void Scheduler::OrderStop(TaskRef task) {
  const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
  TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
  // Nothing was sent yet; the record of the placement is superseded by the next one.
  if (runtime.stage == RunStage::kRecording || runtime.stage == RunStage::kStopping) return;
  const PoolWorker* worker = m_workers.FindLife({.worker = progress.worker, .born = progress.worker_born});
  if (worker == nullptr) return;  // an orphan; ordered when its worker reports
  runtime.stage = RunStage::kStopping;
  m_stops.push_back(
      {.agent = worker->agent, .life = worker->life, .task = task.step->TaskNameOf(task.index), .run = progress.run});
}

void Scheduler::MarkChanged(WorkflowStep& step) {
  if (step.changed) return;
  step.changed = true;
  m_changed_steps.push_back(&step);
}

}  // namespace berylgauge::workflow
