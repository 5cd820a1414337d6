#include "workflow/scheduler.h"

#include <algorithm>
#include <utility>

#include "base/absl_string_view.h"
#include "base/doubling_delay.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "workflow/job_codec.h"
#include "workflow/job_summary.h"
#include "workflow/step_progress.h"
#include "workflow/work_order.h"

namespace berylgauge::workflow {
namespace {

/// Longest time between two calls of `Advance`; bounds how late a lapsed lease or a retry is noticed.
constexpr absl::Duration kAdvanceInterval = absl::Milliseconds(250);

/// A job that is done within this many times its objective still counts for something.
constexpr int kLateObjectives = 3;

/// Time between two searches for finished jobs whose retention is over.
constexpr absl::Duration kRetirementInterval = absl::Seconds(1);

}  // namespace

Scheduler::Scheduler(const SchedulerOptions& options, MonotonicTime now)
    : m_options(options),
      m_claimed_at(now),
      m_quarantine(options.quarantine),
      m_policy(m_interference, options.placement),
      m_locality(options.locality) {}

void Scheduler::SetLimits(PlacementLimits limits) {
  m_limits = std::move(limits);
  m_placement_due = true;  // a zone may have been taken back
}

void Scheduler::AddJob(const std::string& id, const JobIndex::Job& recorded, MonotonicTime now,
                       std::int64_t unix_now_ms) {
  if (m_jobs.contains(id)) return;
  if (m_retire_at.contains(id) || m_retiring.contains(id)) {
    if (recorded.cancelled) KeepCancelled(id, recorded, now);
    return;
  }
  if (recorded.definition.empty()) {
    if (recorded.cancelled) {
      KeepCancelled(id, recorded, now);
      return;
    }
    // A former owner was lost after it had retired the job and before it had removed the summary.
    if (recorded.summary && IsFinal(*recorded.summary)) m_removed_keys.push_back(id);
    return;
  }
  const bool ended = recorded.cancelled || (recorded.summary && IsFinal(*recorded.summary));
  if (ended && recorded.steps.empty()) {
    m_retire_at.emplace(id, now + m_options.retention);
    return;
  }
  Result<JobDefinition> definition = DecodeJob(recorded.definition);
  if (!definition) {
    LogEvent(LogLevel::kError, "job_unreadable", {{"job", id}, {"reason", definition.error().message}});
    return;
  }
  if (definition->id != id) {
    LogEvent(LogLevel::kError, "job_unreadable", {{"job", id}, {"reason", "record is of job " + definition->id}});
    return;
  }
  auto owned = std::make_unique<WorkflowJob>();
  WorkflowJob& job = *owned;
  job.definition = std::move(*definition);
  job.accepted_at = now - AgeOf(job.definition.accepted_unix_ms, unix_now_ms);
  job.phase = recorded.summary.value_or(JobPhase::kQueued);
  if (recorded.cancelled && !IsFinal(job.phase)) job.phase = JobPhase::kCancelled;
  m_jobs.emplace(id, std::move(owned));
  if (job.definition.IsScheduled()) {
    for (const auto& [name, bytes] : recorded.steps) {
      const std::optional<StepName> parsed = StepName::Parse(name);
      const bool is_of_job = parsed && parsed->occurrence < job.definition.occurrences;
      if (is_of_job && !job.occurrences.contains(parsed->occurrence)) {
        const absl::Duration age = AgeOf(job.definition.DueUnixMs(parsed->occurrence), unix_now_ms);
        AddOccurrence(job, parsed->occurrence, &recorded, now - age, now);
        job.next_occurrence = std::max(job.next_occurrence, parsed->occurrence + 1);
      }
    }
    // Those that waited while a later one was placed have no record.
    for (std::int64_t occurrence = 0; occurrence < job.next_occurrence; ++occurrence) {
      if (job.occurrences.contains(occurrence)) continue;
      const absl::Duration age = AgeOf(job.definition.DueUnixMs(occurrence), unix_now_ms);
      AddOccurrence(job, occurrence, nullptr, now - age, now);
    }
    if (job.TakesRuns()) m_scheduled.insert(&job);
  } else {
    job.next_occurrence = 1;
    AddOccurrence(job, 0, &recorded, job.accepted_at, now);
  }
  m_placement_due = true;
  if (!job.TakesRuns()) EndJob(job, job.phase, now);
}

void Scheduler::KeepCancelled(const std::string& id, const JobIndex::Job& recorded, MonotonicTime now) {
  LogEvent(LogLevel::kInfo, recorded.definition.empty() ? "cancellation_without_job" : "job_stored_after_cancellation",
           {{"job", id}, {"kept_ms", absl::ToInt64Milliseconds(m_options.retention)}});
  m_retiring.erase(id);
  m_retire_at[id] = now + m_options.retention;
}

void Scheduler::AddOccurrence(WorkflowJob& job, std::int64_t occurrence, const JobIndex::Job* recorded,
                              MonotonicTime begun, MonotonicTime now) {
  const JobDefinition& definition = job.definition;
  const ChainTimes chains = EstimateChains(definition);
  const absl::Duration objective =
      definition.queue.stretch * chains.whole + absl::Milliseconds(definition.queue.target_latency_ms);
  std::vector<std::unique_ptr<WorkflowStep>>& steps = job.occurrences[occurrence];
  for (std::size_t number = 0; number < definition.steps.size(); ++number) {
    auto step = std::make_unique<WorkflowStep>();
    step->job = &job;
    step->occurrence = occurrence;
    step->number = static_cast<int>(number);
    step->definition = &definition.steps[number];
    step->name = StepName{.job = definition.id, .occurrence = occurrence, .step = step->number}.ToString();
    step->deadline = begun + objective;
    step->late_until = begun + kLateObjectives * objective;
    step->remaining = chains.from_steps[number];
    const int count = step->definition->task_count;
    step->tasks.resize(static_cast<std::size_t>(count));
    step->runtimes.resize(static_cast<std::size_t>(count));
    if (recorded != nullptr) {
      const auto found = recorded->steps.find(step->name);
      if (found != recorded->steps.end()) {
        Result<std::vector<TaskProgress>> tasks = DecodeStepProgress(found->second, count);
        if (tasks) {
          step->tasks = std::move(*tasks);
        } else {
          LogEvent(LogLevel::kError, "step_unreadable", {{"step", step->name}, {"reason", tasks.error().message}});
        }
      }
    }
    for (int index = 0; index < count; ++index) {
      step->runtimes[static_cast<std::size_t>(index)].waiting_since = now;
      const TaskProgress& task = step->tasks[static_cast<std::size_t>(index)];
      if (task.state == TaskState::kDone) ++step->done;
      if (task.state == TaskState::kWaiting) ++job.waiting;
      if (task.state != TaskState::kDone) AdoptLateCalls({.step = step.get(), .index = index});
      if (task.state != TaskState::kPlaced) continue;
      ++job.placed;
      TaskRuntime& runtime = step->runtimes[static_cast<std::size_t>(index)];
      runtime.stage = RunStage::kUnknown;
      runtime.is_start_settled = task.bound != RunBound::kNone;
      runtime.is_order_answered = true;  // agents refuse orders of former owners
      runtime.ordered_at = m_claimed_at + m_options.former_owner_grants;
      m_orphans[task.worker].push_back({.step = step.get(), .index = index});
    }
    steps.push_back(std::move(step));
  }
  RefreshReadySteps(steps, now);
}

void Scheduler::RefreshReadySteps(std::vector<std::unique_ptr<WorkflowStep>>& steps, MonotonicTime now) {
  for (const std::unique_ptr<WorkflowStep>& step : steps) {
    const bool was_ready = step->ready;
    step->ready = std::all_of(step->definition->after.begin(), step->definition->after.end(),
                              [&](int before) { return steps[static_cast<std::size_t>(before)]->IsDone(); });
    if (step->ready && !was_ready) {
      for (TaskRuntime& runtime : step->runtimes) runtime.waiting_since = now;
    }
    UpdateWaiting(*step);
  }
}

void Scheduler::UpdateWaiting(WorkflowStep& step) {
  const bool waits = step.ready && step.job->TakesRuns() && step.HasWaitingTask();
  if (waits) {
    m_waiting.insert(&step);
    m_placement_due = true;
  } else {
    m_waiting.erase(&step);
  }
}

void Scheduler::CancelJob(std::string_view id, MonotonicTime now) {
  const auto found = m_jobs.find(ToAbsl(id));
  if (found == m_jobs.end() || !found->second->TakesRuns()) return;
  LogEvent(LogLevel::kInfo, "job_cancelled", {{"job", found->first}, {"placed", found->second->placed}});
  EndJob(*found->second, JobPhase::kCancelled, now);
}

void Scheduler::EndJob(WorkflowJob& job, JobPhase phase, MonotonicTime now) {
  if (job.phase != phase) {
    job.phase = phase;
    if (phase != JobPhase::kCancelled && !job.phase_changed) {
      job.phase_changed = true;
      m_changed_jobs.push_back(&job);
    }
    if (phase == JobPhase::kDone) ++m_counts.jobs_done;
    if (phase == JobPhase::kFailed) ++m_counts.jobs_failed;
  }
  m_scheduled.erase(&job);
  for (auto& [occurrence, steps] : job.occurrences) {
    for (const std::unique_ptr<WorkflowStep>& step : steps) {
      UpdateWaiting(*step);
      for (std::size_t i = 0; i < step->tasks.size(); ++i) {
        if (step->tasks[i].state == TaskState::kPlaced) OrderStop({.step = step.get(), .index = static_cast<int>(i)});
      }
    }
  }
  ForgetIfIdle(job, now);
}

void Scheduler::ForgetIfIdle(WorkflowJob& job, MonotonicTime now) {
  if (job.TakesRuns() || job.placed > 0) return;
  const std::string id = job.definition.id;
  LogEvent(LogLevel::kInfo, "job_ended",
           {{"job", id},
            {"queue", job.definition.queue.name},
            {"phase", kJobPhaseNames.NameOf(job.phase)},
            {"ms", absl::ToInt64Milliseconds(now - job.accepted_at)}});
  for (const auto& [occurrence, steps] : job.occurrences) {
    for (const std::unique_ptr<WorkflowStep>& step : steps) {
      m_removed_keys.push_back(step->name);
      std::erase(m_changed_steps, step.get());
      m_steps_with_new_bounds.erase(step.get());
      std::erase_if(m_room_holds, [&](const RoomHold& hold) { return hold.step == step.get(); });
    }
  }
  std::erase(m_changed_jobs, &job);
  m_final_records.emplace_back(id, EncodeJobSummary(job.phase));
  m_retire_at[id] = now + m_options.retention;
  m_jobs.erase(id);
}

WorkflowStep* Scheduler::FindStep(const StepName& name) {
  const auto job = m_jobs.find(name.job);
  if (job == m_jobs.end()) return nullptr;
  const auto steps = job->second->occurrences.find(name.occurrence);
  if (steps == job->second->occurrences.end()) return nullptr;
  const auto number = static_cast<std::size_t>(name.step);
  return number < steps->second.size() ? steps->second[number].get() : nullptr;
}

std::optional<TaskRef> Scheduler::FindTask(const std::string& task) {
  const std::optional<TaskName> name = TaskName::Parse(task);
  WorkflowStep* step = name ? FindStep(name->step) : nullptr;
  if (step == nullptr || name->index >= static_cast<int>(step->tasks.size())) return std::nullopt;
  return TaskRef{.step = step, .index = name->index};
}

std::optional<TaskRef> Scheduler::FindNewestRun(const std::string& task, int run) {
  const std::optional<TaskRef> ref = FindTask(task);
  if (!ref) return std::nullopt;
  const TaskProgress& progress = ref->step->tasks[static_cast<std::size_t>(ref->index)];
  return progress.state == TaskState::kPlaced && progress.run == run ? ref : std::nullopt;
}

std::optional<TaskRef> Scheduler::FindRun(const std::string& task, int run, const WorkerLife& life) {
  const std::optional<TaskRef> ref = FindNewestRun(task, run);
  if (!ref) return std::nullopt;
  const TaskProgress& progress = ref->step->tasks[static_cast<std::size_t>(ref->index)];
  return progress.worker == life.worker && progress.worker_born == life.born ? ref : std::nullopt;
}

void Scheduler::Advance(MonotonicTime now, std::int64_t unix_now_ms) {
  LapseLeases(now);
  LapseFormerWorkers(now);
  ExpireLateCalls(now);
  CreateDueOccurrences(now, unix_now_ms);
  RetireJobs(now);
  RecordBounds(now);
  RefreshInterference(now);
  MoveSlowFillers(now);
  if (m_placement_due || now >= m_next_retry) PlaceWaiting(now);
  MakeRoom(now);
  LogLongWaits(now);
  NoteLastingSteps(now);
}

void Scheduler::CreateDueOccurrences(MonotonicTime now, std::int64_t unix_now_ms) {
  std::vector<WorkflowJob*> complete;
  if (m_scheduled.empty()) return;
  int waiting = 0;
  for (const auto& [id, job] : m_jobs) waiting += job->waiting;
  for (WorkflowJob* job : m_scheduled) {
    const JobDefinition& definition = job->definition;
    const auto has_room = [&] { return waiting < m_options.most_waiting_tasks || job->waiting == 0; };
    while (job->next_occurrence < definition.occurrences && job->TakesOccurrence() && has_room() &&
           unix_now_ms >= definition.DueUnixMs(job->next_occurrence)) {
      waiting -= job->waiting;
      AddOccurrence(*job, job->next_occurrence++, nullptr, now, now);
      waiting += job->waiting;
    }
    if (job->next_occurrence >= definition.occurrences) complete.push_back(job);
  }
  for (WorkflowJob* job : complete) m_scheduled.erase(job);
}

void Scheduler::RetireJobs(MonotonicTime now) {
  if (now < m_next_retirement) return;
  // The end of each retired job must be stored, because nothing else of the job remains.
  if (m_batch || !m_final_records.empty()) return;
  m_next_retirement = now + kRetirementInterval;
  std::vector<std::pair<MonotonicTime, std::string>> due;
  for (const auto& [id, at] : m_retire_at) {
    if (at <= now) due.emplace_back(at, id);
  }
  if (due.size() > m_options.most_retirements) {
    const auto end = due.begin() + static_cast<std::ptrdiff_t>(m_options.most_retirements);
    std::nth_element(due.begin(), end, due.end());
    due.erase(end, due.end());
  }
  for (auto& [at, id] : due) {
    m_retire_at.erase(id);
    m_retiring.insert(id);
    m_retired_jobs.push_back(std::move(id));
  }
}

std::vector<std::string> Scheduler::TakeRetiredJobs() { return std::exchange(m_retired_jobs, {}); }

void Scheduler::OnSubmissionRemoved(const std::string& job) {
  if (m_retiring.erase(job) > 0) m_removed_keys.push_back(job);
}

void Scheduler::OnSubmissionNotRemoved(const std::string& job, MonotonicTime now) {
  if (m_retiring.erase(job) > 0) m_retire_at[job] = now + m_options.removal_retry;
}

const Batch* Scheduler::TakeBatch(MonotonicTime now) {
  if (m_batch) return nullptr;
  Batch batch;
  absl::flat_hash_set<std::string> deferred;
  std::vector<WorkflowStep*> next_steps;
  std::size_t bytes = 0;
  for (WorkflowStep* step : m_changed_steps) {
    if (bytes >= m_options.max_batch_bytes) {
      deferred.insert(step->name);
      next_steps.push_back(step);
      continue;
    }
    step->changed = false;
    m_steps_with_new_bounds.erase(step);
    batch.records.emplace_back(step->name, EncodeStepProgress(step->tasks));
    bytes += step->name.size() + batch.records.back().second.size();
  }
  m_changed_steps = std::move(next_steps);
  for (WorkflowJob* job : m_changed_jobs) {
    job->phase_changed = false;
    batch.records.emplace_back(job->definition.id, EncodeJobSummary(job->phase));
  }
  m_changed_jobs.clear();
  // The summary stands before the removals, so that no reader sees a job that has neither.
  for (auto& record : std::exchange(m_final_records, {})) batch.records.push_back(std::move(record));
  for (std::string& key : std::exchange(m_removed_keys, {})) batch.records.emplace_back(std::move(key), "");
  for (StartOrder& start : std::exchange(m_new_starts, {})) {
    const std::string step = start.task.substr(0, start.task.rfind('.'));
    (deferred.contains(step) ? m_new_starts : batch.starts).push_back(std::move(start));
  }
  for (const PoolWorker* worker : m_workers.workers()) {
    // The record of an end may be among the deferred ones.
    if (!deferred.empty() || worker->ends_applied <= worker->ends_durable) continue;
    batch.acknowledgements.push_back({.life = worker->life, .number = worker->ends_applied});
  }
  m_batch = std::move(batch);
  if (!m_batch->records.empty()) return &*m_batch;
  OnBatchDurable(now);  // nothing to store: the ends change no record
  return nullptr;
}

Batch Scheduler::OnBatchDurable(MonotonicTime now) {
  if (!m_batch) return {};
  Batch batch = std::move(*m_batch);
  m_batch.reset();
  for (const EndAcknowledgement& ack : batch.acknowledgements) {
    PoolWorker* worker = m_workers.FindLife(ack.life);
    if (worker != nullptr) worker->ends_durable = std::max(worker->ends_durable, ack.number);
  }
  LoseForbiddenStarts(batch.starts, now);
  std::vector<StartOrder> allowed;
  for (StartOrder& order : batch.starts) {
    const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
    if (!ref) continue;
    TaskRuntime& runtime = ref->step->runtimes[static_cast<std::size_t>(ref->index)];
    runtime.stage = RunStage::kStarting;
    runtime.is_start_settled = false;
    ExpectCall(*ref, order, now);
    runtime.started_at = now;  // until the answer tells better
    if (PoolWorker* worker = m_workers.FindLife(order.life)) worker->starting[*ref] = now;
    allowed.push_back(std::move(order));
  }
  batch.starts = std::move(allowed);
  return batch;
}

void Scheduler::LoseForbiddenStarts(const std::vector<StartOrder>& starts, MonotonicTime now) {
  bool has_lost = true;
  while (has_lost) {  // a start that is forbidden forbids those of the other members of its gang
    has_lost = false;
    for (const StartOrder& order : starts) {
      const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
      if (!ref || MaySend(order)) continue;
      LoseRun(*ref, RunLoss::kStartForbidden, now);
      has_lost = true;
    }
  }
}

bool Scheduler::MaySend(const StartOrder& order) {
  const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
  const PoolWorker* worker = m_workers.FindLife(order.life);
  if (!ref || worker == nullptr) return false;
  if (!ref->step->job->TakesRuns()) return false;
  // Alone it would wait for the others in vain.
  const std::vector<TaskProgress>& tasks = ref->step->tasks;
  const bool is_whole = !ref->step->definition->gang ||
                        std::all_of(tasks.begin(), tasks.end(),
                                    [](const TaskProgress& task) { return task.state == TaskState::kPlaced; });
  if (!is_whole) return false;
  return worker->condition == WorkerCondition::kReady && !m_limits.evacuated_zones.contains(worker->zone);
}

void Scheduler::OnStartSent(const StartOrder& order, MonotonicTime now) {
  const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
  if (ref) ExpectCall(*ref, order, now);
}

bool Scheduler::IsStarting(const StartOrder& order) {
  const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
  return ref && ref->step->runtimes[static_cast<std::size_t>(ref->index)].stage == RunStage::kStarting;
}

bool Scheduler::IsStopping(const StopOrder& order) {
  const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
  return ref && ref->step->runtimes[static_cast<std::size_t>(ref->index)].stage == RunStage::kStopping;
}

const JobDefinition* Scheduler::FindJob(std::string_view id) const {
  const auto found = m_jobs.find(ToAbsl(id));
  return found == m_jobs.end() ? nullptr : &found->second->definition;
}

std::vector<StopOrder> Scheduler::TakeStops() { return std::exchange(m_stops, {}); }

std::int64_t Scheduler::LeaseEndFor(const PoolWorker& worker) const {
  return worker.clock_ms == 0 ? 0 : worker.clock_ms + absl::ToInt64Milliseconds(m_options.lease);
}

MonotonicTime Scheduler::NextDeadline(MonotonicTime now) const {
  return std::min(now + kAdvanceInterval, std::max(now, m_next_retry));
}

std::size_t Scheduler::WaitingTasks() const {
  std::size_t count = 0;
  for (const WorkflowStep* step : m_waiting) {
    count +=
        static_cast<std::size_t>(std::count_if(step->tasks.begin(), step->tasks.end(), [](const TaskProgress& task) {
          return task.state == TaskState::kWaiting;
        }));
  }
  return count;
}

absl::Duration Scheduler::LongestWait(MonotonicTime now) const {
  absl::Duration longest = absl::ZeroDuration();
  for (const WorkflowStep* step : m_waiting) {
    for (std::size_t i = 0; i < step->tasks.size(); ++i) {
      if (step->tasks[i].state != TaskState::kWaiting) continue;
      longest = std::max(longest, now - step->runtimes[i].waiting_since);
    }
  }
  return longest;
}

std::size_t Scheduler::QuarantinedWorkers() const {
  const std::vector<PoolWorker*>& workers = m_workers.workers();
  return static_cast<std::size_t>(std::count_if(workers.begin(), workers.end(), [&](const PoolWorker* worker) {
    return m_quarantine.OutSince(WorkerId(worker->life.worker)) != InfiniteFuture();
  }));
}

std::size_t Scheduler::PlacedTasks() const {
  std::size_t count = 0;
  for (const auto& [id, job] : m_jobs) count += static_cast<std::size_t>(job->placed);
  return count;
}

}  // namespace berylgauge::workflow
