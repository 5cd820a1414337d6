#include "workflow/scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/absl_string_view.h"
#include "base/doubling_delay.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "workflow/job_codec.h"
#include "workflow/job_summary.h"
#include "workflow/step_progress.h"

namespace berylgauge::workflow {
namespace {

/// Longest time between two calls of `Advance`; bounds how late a lapsed lease or a retry is noticed.
constexpr absl::Duration kAdvanceInterval = absl::Milliseconds(250);

/// Time between two searches for finished jobs whose retention is over.
constexpr absl::Duration kRetirementInterval = absl::Seconds(1);

/// Time between two solutions of the interference model, and between two messages of it to one agent.
constexpr absl::Duration kInterferenceInterval = absl::Seconds(1);

/// Weight of a new figure in the smoothed tail latency of the serving tasks of an image on a worker.
constexpr double kTailWeight = 0.15;

/// A run is judged by its speed from this time after its start.
constexpr absl::Duration kSettledAfter = absl::Milliseconds(1200);
/// A paused run counts as running at this speed, so that its remaining time is finite.
constexpr double kLowestSpeed = 0.02;

/// A cancelled or failed job gets no further runs.
bool TakesRuns(const WorkflowJob& job) { return !IsFinal(job.phase); }

/// Whether a step needs at least as much as one that found no room on any worker. Says no where the failed one was
/// restricted to some workers, or waits for more room than it takes (tasks that last).
bool NeedsAtLeast(const StepDefinition& step, const StepDefinition& failed) {
  if (failed.long_running || !failed.required_label.empty() || failed.max_per_worker > 0) return false;
  return failed.fills_idle_cpu == step.fills_idle_cpu && failed.long_running == step.long_running &&
         failed.demand.FitsIn(step.demand);
}

/// Estimated time of the job if nothing ever waits.
absl::Duration LongestChain(const JobDefinition& job) {
  std::vector<std::int64_t> finish_ms(job.steps.size(), 0);
  std::int64_t longest_ms = 0;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    std::int64_t begin_ms = 0;
    for (const int before : job.steps[i].after) {
      begin_ms = std::max(begin_ms, finish_ms[static_cast<std::size_t>(before)]);
    }
    finish_ms[i] = begin_ms + job.steps[i].estimate_ms;
    longest_ms = std::max(longest_ms, finish_ms[i]);
  }
  return absl::Milliseconds(longest_ms);
}

}  // namespace

bool Scheduler::ByUrgency::operator()(const WorkflowStep* a, const WorkflowStep* b) const {
  return std::tie(a->job->definition.queue.priority, a->deadline, a->name) <
         std::tie(b->job->definition.queue.priority, b->deadline, b->name);
}

Scheduler::Scheduler(const SchedulerOptions& options, MonotonicTime now)
    : m_options(options),
      m_claimed_at(now),
      m_quarantine(options.quarantine),
      m_policy(m_interference, options.placement) {}

void Scheduler::AddJob(const std::string& id, const JobIndex::Job& recorded, MonotonicTime now) {
  if (recorded.definition.empty() || m_jobs.contains(id) || m_retire_at.contains(id)) return;
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
  auto owned = std::make_unique<WorkflowJob>();
  WorkflowJob& job = *owned;
  job.definition = std::move(*definition);
  job.accepted_at = now;
  job.phase = recorded.summary.value_or(JobPhase::kQueued);
  if (recorded.cancelled && !IsFinal(job.phase)) job.phase = JobPhase::kCancelled;
  m_jobs.emplace(id, std::move(owned));
  if (job.definition.IsScheduled()) {
    for (const auto& [name, bytes] : recorded.steps) {
      const std::optional<StepName> parsed = StepName::Parse(name);
      if (parsed && !job.occurrences.contains(parsed->occurrence)) {
        AddOccurrence(job, parsed->occurrence, &recorded, now);
        job.next_occurrence = std::max(job.next_occurrence, parsed->occurrence + 1);
      }
    }
    if (TakesRuns(job)) m_scheduled.insert(&job);
  } else {
    job.next_occurrence = 1;
    AddOccurrence(job, 0, &recorded, now);
  }
  m_placement_due = true;
  if (!TakesRuns(job)) EndJob(job, job.phase, now);
}

void Scheduler::AddOccurrence(WorkflowJob& job, std::int64_t occurrence, const JobIndex::Job* recorded,
                              MonotonicTime now) {
  const JobDefinition& definition = job.definition;
  const absl::Duration objective =
      definition.queue.stretch * LongestChain(definition) + absl::Milliseconds(definition.queue.target_latency_ms);
  std::vector<std::unique_ptr<WorkflowStep>>& steps = job.occurrences[occurrence];
  for (std::size_t number = 0; number < definition.steps.size(); ++number) {
    auto step = std::make_unique<WorkflowStep>();
    step->job = &job;
    step->occurrence = occurrence;
    step->number = static_cast<int>(number);
    step->definition = &definition.steps[number];
    step->name = StepName{.job = definition.id, .occurrence = occurrence, .step = step->number}.ToString();
    step->deadline = now + objective;
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
      if (task.state != TaskState::kPlaced) continue;
      ++job.placed;
      step->runtimes[static_cast<std::size_t>(index)].stage = RunStage::kUnknown;
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
  const bool waits = step.ready && TakesRuns(*step.job) &&
                     std::any_of(step.tasks.begin(), step.tasks.end(),
                                 [](const TaskProgress& task) { return task.state == TaskState::kWaiting; });
  if (waits) {
    m_waiting.insert(&step);
    m_placement_due = true;
  } else {
    m_waiting.erase(&step);
  }
}

void Scheduler::CancelJob(std::string_view id, MonotonicTime now) {
  const auto found = m_jobs.find(ToAbsl(id));
  if (found == m_jobs.end() || !TakesRuns(*found->second)) return;
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
  if (TakesRuns(job) || job.placed > 0) return;
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

std::optional<TaskRef> Scheduler::FindRun(const std::string& task, int run, const WorkerLife& life) {
  const std::optional<TaskName> name = TaskName::Parse(task);
  if (!name) return std::nullopt;
  WorkflowStep* step = FindStep(name->step);
  if (step == nullptr || name->index >= static_cast<int>(step->tasks.size())) return std::nullopt;
  const TaskProgress& progress = step->tasks[static_cast<std::size_t>(name->index)];
  const bool matches = progress.state == TaskState::kPlaced && progress.run == run && progress.worker == life.worker &&
                       progress.worker_born == life.born;
  if (!matches) return std::nullopt;
  return TaskRef{.step = step, .index = name->index};
}

// ---- Workers

void Scheduler::OnReport(const std::string& agent, const WorkerReport& report, MonotonicTime now) {
  if (report.life.worker.empty()) return;
  PoolWorker& worker = m_workers.Add(agent);
  if (worker.life != report.life) {
    const bool is_older = worker.life.worker == report.life.worker && report.life.born < worker.life.born;
    if (is_older) return;
    StartLife(worker, report, now);
  }
  if (worker.agent_incarnation != report.agent_incarnation) {
    worker.agent_incarnation = report.agent_incarnation;
    worker.reconciled = false;
  }
  if (worker.condition != report.condition) {
    LogEvent(LogLevel::kInfo, "worker_condition",
             {{"worker", worker.life.worker},
              {"born", worker.life.born},
              {"agent", agent},
              {"condition", kWorkerConditionNames.NameOf(report.condition)},
              {"remaining_ms", report.remaining_ms},
              {"runs", worker.runs.size()}});
    worker.condition = report.condition;
    m_placement_due = true;
  }
  worker.capacity = report.capacity;
  worker.labels = report.labels;
  worker.rack = report.rack;
  if (report.worker_clock_ms > worker.clock_ms) {
    worker.clock_ms = report.worker_clock_ms;
    worker.clock_read_at = now;
  }
  for (const RunEnd& end : report.ends) {
    if (end.number <= worker.ends_applied) continue;
    worker.ends_applied = end.number;
    ApplyEnd(report.life, end, now);
  }
  if (report.condition == WorkerCondition::kGone) {
    LoseAllRuns(worker, now);
    worker.reconciled = false;
    return;
  }
  if (!report.has_runs) return;
  if (!worker.reconciled) {
    CompareRuns(worker, report, now);
    worker.reconciled = true;
    m_placement_due = true;
  } else {
    NoteProgress(worker, report);
  }
  if (worker.condition == WorkerCondition::kDraining) MoveLastingTasks(worker);
}

void Scheduler::StartLife(PoolWorker& worker, const WorkerReport& report, MonotonicTime now) {
  LoseAllRuns(worker, now);
  m_workers.Reindex(worker, report.life);
  m_quarantine.Forget(WorkerId(report.life.worker));
  worker.condition = WorkerCondition::kReady;
  worker.service = report.service;
  worker.zone = report.zone;
  worker.reconciled = false;
  worker.clock_ms = 0;
  worker.clock_read_at = now;
  worker.ends_applied = 0;
  worker.ends_durable = 0;
  worker.avoid_until = MonotonicTime();
  LogEvent(
      LogLevel::kInfo, "worker_life",
      {{"worker", report.life.worker}, {"born", report.life.born}, {"agent", worker.agent}, {"zone", worker.zone}});
  LoseOrphansOfHost(worker.agent, report.life.worker, now);
  const auto orphans = m_orphans.find(report.life.worker);
  if (orphans == m_orphans.end()) return;
  const std::vector<TaskRef> tasks = std::move(orphans->second);
  m_orphans.erase(orphans);
  for (const TaskRef task : tasks) {
    const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
    m_workers.Attach(worker, task);
    if (progress.worker_born != report.life.born) LoseRun(task, now);
  }
}

void Scheduler::LoseOrphansOfHost(const std::string& agent, const std::string& present_worker, MonotonicTime now) {
  std::vector<TaskRef> lost;
  for (const auto& [worker, tasks] : m_orphans) {
    if (worker == present_worker) continue;
    for (const TaskRef task : tasks) {
      if (task.step->tasks[static_cast<std::size_t>(task.index)].agent == agent) lost.push_back(task);
    }
  }
  if (lost.empty()) return;
  // A host has one worker at a time, so the one that the former owner used is gone.
  LogEvent(LogLevel::kInfo, "former_worker_replaced",
           {{"agent", agent}, {"worker", present_worker}, {"runs", lost.size()}});
  for (const TaskRef task : lost) LoseRun(task, now);
}

void Scheduler::LoseAllRuns(PoolWorker& worker, MonotonicTime now) {
  std::vector<TaskRef> tasks;
  for (const auto& [task, held] : worker.runs) tasks.push_back(task);
  if (!tasks.empty()) {
    LogEvent(LogLevel::kInfo, "worker_runs_lost",
             {{"worker", worker.life.worker},
              {"born", worker.life.born},
              {"runs", tasks.size()},
              {"clock_age_ms", absl::ToInt64Milliseconds(now - worker.clock_read_at)}});
  }
  for (const TaskRef task : tasks) LoseRun(task, now);
}

void Scheduler::CompareRuns(PoolWorker& worker, const WorkerReport& report, MonotonicTime now) {
  absl::flat_hash_set<std::string> expected;
  std::vector<TaskRef> to_stop;
  for (const auto& [task, held] : worker.runs) {
    const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
    TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    const std::string name = task.step->TaskNameOf(task.index);
    const auto listed = std::find_if(report.runs.begin(), report.runs.end(),
                                     [&](const ActiveRun& run) { return run.task == name && run.run == progress.run; });
    if (listed != report.runs.end()) {
      expected.insert(name);
      if (runtime.stage == RunStage::kUnknown) {
        runtime.stage = RunStage::kRunning;
        runtime.started_at = now;
        runtime.started_clock_ms = report.worker_clock_ms;
      }
      runtime.checkpoint = listed->checkpoint;
      // Cancelled while no owner acted.
      if (!TakesRuns(*task.step->job)) to_stop.push_back(task);
      continue;
    }
    const bool must_be_listed =
        runtime.stage == RunStage::kUnknown ||
        (runtime.stage == RunStage::kRunning && runtime.started_clock_ms < report.worker_clock_ms);
    if (must_be_listed) to_stop.push_back(task);
  }
  for (const TaskRef task : to_stop) OrderStop(task);
  for (const ActiveRun& run : report.runs) {
    if (expected.contains(run.task)) continue;
    LogEvent(LogLevel::kWarning, "unknown_run", {{"task", run.task}, {"run", run.run}, {"worker", worker.life.worker}});
    m_stops.push_back({.agent = worker.agent, .life = worker.life, .task = run.task, .run = run.run});
  }
}

void Scheduler::NoteProgress(PoolWorker& worker, const WorkerReport& report) {
  absl::flat_hash_map<std::string, const ActiveRun*> listed;
  for (const ActiveRun& run : report.runs) listed.emplace(run.task, &run);
  std::vector<TaskRef> missing;
  for (const auto& [task, held] : worker.runs) {
    const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
    TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    const auto found = listed.find(task.step->TaskNameOf(task.index));
    if (found == listed.end() || found->second->run != progress.run) {
      if (runtime.stage == RunStage::kRunning && runtime.started_clock_ms < report.worker_clock_ms) {
        missing.push_back(task);
      }
      continue;
    }
    const ActiveRun& run = *found->second;
    listed.erase(found);
    if (run.percent != runtime.percent) runtime.percent = run.percent;
    runtime.measured = run.measured;
    if (!run.checkpoint.empty()) runtime.checkpoint = run.checkpoint;
  }
  LearnInterference(worker);
  // An end that is on its way arrives in the same report or a later one; asking costs one call.
  for (const TaskRef task : missing) OrderStop(task);
  for (const auto& [name, run] : listed) {
    LogEvent(LogLevel::kWarning, "unknown_run", {{"task", name}, {"run", run->run}, {"worker", worker.life.worker}});
    m_stops.push_back({.agent = worker.agent, .life = worker.life, .task = run->task, .run = run->run});
  }
}

void Scheduler::LearnInterference(PoolWorker& worker) {
  if (worker.serving_tasks == 0) return;
  InterferenceModel::FillingUse use;
  for (const auto& [task, held] : worker.runs) {
    if (!task.step->definition->fills_idle_cpu) continue;
    const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    use[task.step->definition->image] += static_cast<double>(runtime.measured) / 1000;
  }
  for (const auto& [task, held] : worker.runs) {
    const StepDefinition& definition = *task.step->definition;
    const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    const bool is_at_work = definition.tail_target_ms > 0 && runtime.percent == 100 && runtime.measured > 0;
    if (!is_at_work) continue;
    const auto tail = static_cast<double>(runtime.measured);
    m_interference.AddSample(definition.image, tail, use);
    ServingUse& serving = worker.serving[definition.image];
    serving.tail_ms += (serving.tail_ms == 0 ? 1 : kTailWeight) * (tail - serving.tail_ms);
  }
}

std::vector<InterferenceEntry> Scheduler::TakeInterferenceFor(std::string_view agent, MonotonicTime now) {
  PoolWorker* worker = m_workers.Find(agent);
  if (worker == nullptr || worker->serving_tasks == 0 || worker->filling_cpu == 0) return {};
  if (now - worker->interference_sent_at < kInterferenceInterval) return {};
  worker->interference_sent_at = now;
  std::vector<InterferenceEntry> entries;
  for (const auto& [image, use] : worker->serving) {
    for (const auto& [filler, cpu] : worker->filling) {
      entries.push_back(
          {.serving_image = image, .filling_image = filler, .ms_per_core = m_interference.table().Get(image, filler)});
    }
  }
  return entries;
}

void Scheduler::MoveLastingTasks(PoolWorker& worker) {
  std::vector<TaskRef> lasting;
  for (const auto& [task, held] : worker.runs) {
    if (task.step->definition->long_running) lasting.push_back(task);
  }
  for (const TaskRef task : lasting) OrderStop(task);
}

void Scheduler::MoveSlowFillers(MonotonicTime now) {
  if (now < m_next_move) return;
  m_next_move = now + m_options.move_interval;
  std::vector<TaskRef> moved;
  for (const PoolWorker* worker : m_workers.workers()) {
    if (worker->serving.empty() || worker->filling.empty()) continue;
    for (const auto& [task, held] : worker->runs) {
      if (moved.size() >= m_options.max_moves) break;
      if (IsWorthMoving(*worker, task, now)) moved.push_back(task);
    }
  }
  for (const TaskRef task : moved) {
    const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    ++m_counts.moves;
    LogEvent(LogLevel::kInfo, "run_moved",
             {{"task", task.step->TaskNameOf(task.index)},
              {"worker", task.step->tasks[static_cast<std::size_t>(task.index)].worker},
              {"cpu", runtime.measured},
              {"demand", task.step->definition->demand.cpu_millis},
              {"percent", runtime.percent}});
    OrderStop(task);
  }
}

bool Scheduler::IsWorthMoving(const PoolWorker& worker, TaskRef task, MonotonicTime now) const {
  const StepDefinition& definition = *task.step->definition;
  const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
  if (!definition.fills_idle_cpu || !definition.saves_progress || definition.gang) return false;
  // Two figures of half a second after the start, so that the start itself does not count as slow.
  if (runtime.stage != RunStage::kRunning || now - runtime.started_at < kSettledAfter) return false;
  const auto demand = static_cast<double>(std::max<std::int64_t>(definition.demand.cpu_millis, 1));
  const double speed = std::max(static_cast<double>(runtime.measured) / demand, kLowestSpeed);
  if (speed >= m_options.slow_filling_speed) return false;
  const absl::Duration whole = absl::Milliseconds(definition.estimate_ms);
  const absl::Duration remaining = (1 - std::min(runtime.percent, 100) / 100.0) * whole;
  const absl::Duration allowed = remaining / speed - m_options.move_cost - m_options.least_gain;
  for (const PoolWorker* other : m_workers.workers()) {
    if (other == &worker || !m_policy.IsEligible(*task.step, *other, m_limits, now)) continue;
    if (!m_policy.HasRoom(*task.step, task.index, *other, now)) continue;
    const double other_speed = m_policy.FillingSpeed(definition, *other);
    if (other_speed >= m_options.good_filling_speed && remaining / other_speed < allowed) return true;
  }
  return false;
}

void Scheduler::LapseLeases(MonotonicTime now) {
  const absl::Duration limit = m_options.lease * m_options.clock_tolerance;
  for (PoolWorker* worker : m_workers.workers()) {
    if (now - worker->clock_read_at <= limit) continue;
    LoseAllRuns(*worker, now);
    worker->reconciled = false;
  }
}

void Scheduler::LapseFormerWorkers(MonotonicTime now) {
  if (m_orphans.empty()) return;
  if (now - m_claimed_at <= m_options.former_owner_grants + m_options.lease * m_options.clock_tolerance) return;
  auto orphans = std::exchange(m_orphans, {});
  for (const auto& [worker, tasks] : orphans) {
    LogEvent(LogLevel::kInfo, "former_worker_lapsed", {{"worker", worker}, {"runs", tasks.size()}});
    for (const TaskRef task : tasks) LoseRun(task, now);
  }
}

// ---- Runs

void Scheduler::OnStartAnswer(const std::string& task, int run, const WorkerLife& life, const StartAnswer& answer,
                              MonotonicTime now) {
  const std::optional<TaskRef> ref = FindRun(task, run, life);
  if (!ref) return;
  TaskRuntime& runtime = ref->step->runtimes[static_cast<std::size_t>(ref->index)];
  switch (answer.refusal) {
    case StartRefusal::kNone:
      if (runtime.stage == RunStage::kStarting) {
        runtime.stage = RunStage::kRunning;
        runtime.started_at = now;
        runtime.started_clock_ms = answer.clock_ms;
      }
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
    const bool is_unfit = answer.refusal == StartRefusal::kUnhealthy || answer.refusal == StartRefusal::kRoom;
    if (is_unfit) worker->avoid_until = now + m_options.refusal_pause;
  }
  LoseRun(*ref, now);
}

void Scheduler::OnStopAnswer(const std::string& task, int run, const WorkerLife& life, bool end_listed,
                             MonotonicTime now) {
  const std::optional<TaskRef> ref = FindRun(task, run, life);
  if (!ref || end_listed) return;
  LoseRun(*ref, now);
}

void Scheduler::ApplyEnd(const WorkerLife& life, const RunEnd& end, MonotonicTime now) {
  const std::optional<TaskRef> ref = FindRun(end.task, end.run, life);
  if (!ref) return;
  FinishRun(*ref, end.kind, end.checkpoint, now);
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
  if (kind == RunEndKind::kDone) {
    ++m_counts.ends_done;
    m_quarantine.RecordSuccess(WorkerId(worker));
  } else if (kind == RunEndKind::kFailed) {
    ++m_counts.ends_failed;
    const bool out = m_quarantine.RecordFailure(WorkerId(worker), JobId(job.definition.id), now);
    if (out) LogEvent(LogLevel::kWarning, "worker_quarantined", {{"worker", worker}});
    step.runtimes[static_cast<std::size_t>(task.index)].avoid.push_back(worker);
  } else {
    ++m_counts.ends_other;
  }
  if (step.definition->gang) {
    SettleGang(step, task.index, kind, now);
  } else if (kind == RunEndKind::kDone && !step.definition->long_running) {
    step.tasks[static_cast<std::size_t>(task.index)].state = TaskState::kDone;
    ++step.done;
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

void Scheduler::LoseRun(TaskRef task, MonotonicTime now) {
  WorkflowStep& step = *task.step;
  ++m_counts.ends_lost;
  Release(task, {}, now);
  if (step.definition->gang) SettleGang(step, task.index, RunEndKind::kLapsed, now);
  MarkChanged(step);
  AfterTaskDone(step, now);
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
  progress.worker.clear();
  progress.worker_born = 0;
  progress.agent.clear();
  runtime.stage = RunStage::kNone;
  runtime.waiting_since = now;
  runtime.checkpoint.clear();
  runtime.percent = 0;
  --step.job->placed;
  m_placement_due = true;
}

void Scheduler::AfterTaskDone(WorkflowStep& step, MonotonicTime now) {
  WorkflowJob& job = *step.job;
  if (!TakesRuns(job)) {
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

// ---- Placement

void Scheduler::Advance(MonotonicTime now, std::int64_t unix_now_ms) {
  LapseLeases(now);
  LapseFormerWorkers(now);
  CreateDueOccurrences(now, unix_now_ms);
  RetireJobs(now);
  if (now - m_interference_refreshed_at >= kInterferenceInterval) {
    m_interference_refreshed_at = now;
    m_interference.Refresh();
  }
  MoveSlowFillers(now);
  if (!m_placement_due && now < m_next_retry) return;
  m_placement_due = false;
  PlaceWaiting(now);
}

void Scheduler::CreateDueOccurrences(MonotonicTime now, std::int64_t unix_now_ms) {
  std::vector<WorkflowJob*> complete;
  for (WorkflowJob* job : m_scheduled) {
    const JobDefinition& definition = job->definition;
    while (job->next_occurrence < definition.occurrences &&
           unix_now_ms >= definition.first_due_unix_ms + job->next_occurrence * definition.interval_ms) {
      AddOccurrence(*job, job->next_occurrence++, nullptr, now);
    }
    if (job->next_occurrence >= definition.occurrences) complete.push_back(job);
  }
  for (WorkflowJob* job : complete) m_scheduled.erase(job);
}

void Scheduler::PlaceWaiting(MonotonicTime now) {
  m_next_retry = InfiniteFuture();
  std::vector<PoolWorker*> candidates;
  for (PoolWorker* worker : m_workers.workers()) {
    if (worker->avoid_until > now) m_next_retry = std::min(m_next_retry, worker->avoid_until);
    if (m_quarantine.MayPlace(WorkerId(worker->life.worker), now)) candidates.push_back(worker);
  }
  const std::vector<WorkflowStep*> waiting(m_waiting.begin(), m_waiting.end());
  std::vector<const StepDefinition*> failed;
  for (WorkflowStep* step : waiting) {
    const bool is_hopeless = std::any_of(failed.begin(), failed.end(), [&](const StepDefinition* other) {
      return NeedsAtLeast(*step->definition, *other);
    });
    if (is_hopeless) continue;
    if (step->definition->gang) {
      PlaceGang(*step, candidates, now);
      continue;
    }
    for (std::size_t i = 0; i < step->tasks.size(); ++i) {
      TaskRuntime& runtime = step->runtimes[i];
      if (step->tasks[i].state != TaskState::kWaiting) continue;
      if (now < runtime.not_before) {
        m_next_retry = std::min(m_next_retry, runtime.not_before);
        continue;
      }
      PoolWorker* worker = m_policy.Choose(*step, static_cast<int>(i), candidates, m_limits, now);
      if (worker == nullptr) {
        if (step->definition->long_running) {
          m_next_retry = std::min(m_next_retry, now + m_options.placement.reserve_patience);
        }
        failed.push_back(step->definition);
        break;
      }
      Place(*step, static_cast<int>(i), *worker, step->tasks[i].run + 1, now);
    }
    UpdateWaiting(*step);
  }
  m_placement_due = false;
}

bool Scheduler::PlaceGang(WorkflowStep& step, const std::vector<PoolWorker*>& candidates, MonotonicTime now) {
  int run = 0;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state != TaskState::kWaiting) return false;
    if (now < step.runtimes[i].not_before) {
      m_next_retry = std::min(m_next_retry, step.runtimes[i].not_before);
      return false;
    }
    run = std::max(run, step.tasks[i].run + 1);
  }
  std::vector<std::vector<PoolWorker*>> groups;
  if (step.definition->same_rack) {
    std::map<std::string, std::vector<PoolWorker*>> racks;
    for (PoolWorker* worker : candidates) racks[worker->rack].push_back(worker);
    for (auto& [rack, workers] : racks) groups.push_back(std::move(workers));
  }
  // Spread over racks a gang is slower, but better than never.
  groups.push_back(candidates);
  for (const std::vector<PoolWorker*>& group : groups) {
    std::vector<PoolWorker*> chosen;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      PoolWorker* worker = m_policy.Choose(step, static_cast<int>(i), group, m_limits, now);
      if (worker == nullptr) break;
      // Attached at once, so that the next member sees what is left.
      m_workers.Attach(*worker, {.step = &step, .index = static_cast<int>(i)});
      step.tasks[i].worker = worker->life.worker;
      step.tasks[i].state = TaskState::kPlaced;
      chosen.push_back(worker);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      m_workers.Detach(*chosen[i], {.step = &step, .index = static_cast<int>(i)});
      step.tasks[i].worker.clear();
      step.tasks[i].state = TaskState::kWaiting;
    }
    if (chosen.size() < step.tasks.size()) continue;
    for (std::size_t i = 0; i < chosen.size(); ++i) Place(step, static_cast<int>(i), *chosen[i], run, now);
    UpdateWaiting(step);
    return true;
  }
  return false;
}

void Scheduler::Place(WorkflowStep& step, int index, PoolWorker& worker, int run, MonotonicTime now) {
  const auto i = static_cast<std::size_t>(index);
  TaskProgress& progress = step.tasks[i];
  progress.state = TaskState::kPlaced;
  progress.run = run;
  progress.worker = worker.life.worker;
  progress.worker_born = worker.life.born;
  progress.agent = worker.agent;
  step.runtimes[i].stage = RunStage::kRecording;
  m_workers.Attach(worker, {.step = &step, .index = index});
  m_quarantine.RecordPlaced(WorkerId(worker.life.worker), now);
  WorkflowJob& job = *step.job;
  ++job.placed;
  if (job.phase == JobPhase::kQueued) {
    job.phase = JobPhase::kRunning;
    if (!job.phase_changed) {
      job.phase_changed = true;
      m_changed_jobs.push_back(&job);
    }
  }
  ++m_counts.placements;
  LogEvent(LogLevel::kInfo, "run_placed",
           {{"task", step.TaskNameOf(index)},
            {"run", run},
            {"worker", worker.life.worker},
            {"waited_ms", absl::ToInt64Milliseconds(now - step.runtimes[i].waiting_since)},
            {"free_cpu", worker.Free().cpu_millis},
            {"filling_cpu", worker.filling_cpu},
            {"serving", worker.serving_tasks}});
  MarkChanged(step);
  m_new_starts.push_back({.agent = worker.agent,
                          .life = worker.life,
                          .job = job.definition.id,
                          .task = step.TaskNameOf(index),
                          .run = run,
                          .checkpoint = progress.checkpoint,
                          .fills_idle_cpu = step.definition->fills_idle_cpu,
                          .tail_target_ms = step.definition->tail_target_ms,
                          .demand_cpu = step.definition->demand.cpu_millis,
                          .image = step.definition->image,
                          .ticket = {}});
}

void Scheduler::RetireJobs(MonotonicTime now) {
  if (now < m_next_retirement) return;
  m_next_retirement = now + kRetirementInterval;
  std::vector<std::string> retired;
  for (const auto& [id, at] : m_retire_at) {
    if (at <= now) retired.push_back(id);
  }
  for (std::string& id : retired) {
    m_retire_at.erase(id);
    m_removed_keys.push_back(id);
    m_retired_jobs.push_back(std::move(id));
  }
}

// ---- Batches

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
  batch.retired_jobs = std::exchange(m_retired_jobs, {});
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
  std::vector<StartOrder> allowed;
  for (StartOrder& order : batch.starts) {
    const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
    if (!ref) continue;
    if (!MaySend(order)) {
      LoseRun(*ref, now);
      continue;
    }
    TaskRuntime& runtime = ref->step->runtimes[static_cast<std::size_t>(ref->index)];
    runtime.stage = RunStage::kStarting;
    runtime.started_at = now;  // until the answer tells better
    allowed.push_back(std::move(order));
  }
  batch.starts = std::move(allowed);
  return batch;
}

bool Scheduler::MaySend(const StartOrder& order) {
  const std::optional<TaskRef> ref = FindRun(order.task, order.run, order.life);
  const PoolWorker* worker = m_workers.FindLife(order.life);
  if (!ref || worker == nullptr) return false;
  if (!TakesRuns(*ref->step->job)) return false;
  return worker->condition == WorkerCondition::kReady && !m_limits.evacuated_zones.contains(worker->zone);
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

std::size_t Scheduler::PlacedTasks() const {
  std::size_t count = 0;
  for (const auto& [id, job] : m_jobs) count += static_cast<std::size_t>(job->placed);
  return count;
}

}  // namespace berylgauge::workflow
