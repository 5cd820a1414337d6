#include <algorithm>
#include <iterator>
#include <utility>

#include "base/event_log.h"
#include "base/ids.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

/// Time between two solutions of the interference model, and between two messages of it to one agent.
constexpr absl::Duration kInterferenceInterval = absl::Seconds(1);

/// Weight of a new figure in the smoothed spare rate of the serving tasks of an image on a worker.
constexpr double kRateWeight = 0.15;
/// Part of the loss that is expected by the present estimates that counts when the undisturbed rate is derived. Below
/// 1, so that estimates that are too high do not confirm themselves.
constexpr double kCreditedLoss = 0.4;
/// Until this time after its start a run may have no figure although it is at work.
constexpr absl::Duration kFirstFigureAfter = absl::Milliseconds(1200);

/// A run is judged by its speed from this time after its start.
constexpr absl::Duration kSettledAfter = absl::Milliseconds(1200);
/// A paused run counts as running at this speed, so that its remaining time is finite.
constexpr double kLowestSpeed = 0.02;

}  // namespace

void Scheduler::OnReport(const std::string& agent, const WorkerReport& report, MonotonicTime now) {
  NoteLateCalls(agent, report, now);  // before the ends, which they may hold
  for (const PastEnds& past : report.past_ends) ApplyPastEnds(past, now);
  if (report.life.worker.empty()) {
    // The agent waits for the first lists of a life, so orders for a former one would have no effect.
    if (PoolWorker* known = m_workers.Find(agent)) known->reconciled = false;
    if (report.is_announced_gone) LoseOrphansOfGoneWorker(agent, report, now);
    return;
  }
  PoolWorker& worker = m_workers.Add(agent);
  // The worker has given its lists in this life, so it is the newest one, whatever its time of birth.
  if (worker.life != report.life) StartLife(worker, report, now);
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
  if (worker.capacity != report.capacity || worker.labels != report.labels) m_placement_due = true;
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
    HoldEnd(worker, end, report, now);
    ApplyEnd(report.life, end, now);
  }
  if (report.condition == WorkerCondition::kGone) {
    SettleAnsweredCalls(agent, report, now);
    LoseSettledRuns(worker, now);
    worker.reconciled = false;
    return;
  }
  if (!report.has_runs) return;
  if (!worker.reconciled) {
    CompareRuns(worker, report, now);
    worker.reconciled = report.has_all_ends;
    m_placement_due = true;
  } else {
    NoteProgress(worker, report, now);
  }
  if (report.has_all_ends) SettleAnsweredCalls(agent, report, now);
  if (worker.condition == WorkerCondition::kDraining) MoveLastingTasks(worker);
}

void Scheduler::OnWorkerUnknown(const WorkerLife& life) {
  if (PoolWorker* worker = m_workers.FindLife(life)) worker->reconciled = false;
}

void Scheduler::StartLife(PoolWorker& worker, const WorkerReport& report, MonotonicTime now) {
  const bool is_same_worker = worker.life.worker == report.life.worker;
  // A worker with another id refuses the calls for the former one.
  if (!is_same_worker) {
    OnLateCallsOver(m_late_calls.RemoveOtherWorkers(worker.agent, report.life.worker));
    LoseAllRuns(worker, RunLoss::kOtherLife, now);
    m_quarantine.Forget(WorkerId(worker.life.worker));
  }
  // Calls for a former life had no effect since the life was confirmed. Whether there was a former life is not known
  // where this owner meets the host's worker for the first time.
  const bool is_first = worker.life.worker.empty();
  if (!is_same_worker && !is_first) worker.former_ids[worker.life.worker] = now;
  std::erase_if(worker.former_ids,
                [&](const auto& former) { return now - former.second > LongestRunAfterOrder(RunBound::kNone); });
  const bool may_hold_former_lease = is_same_worker || is_first || worker.former_ids.contains(report.life.worker);
  worker.former_lease_until = may_hold_former_lease ? now + m_options.longest_lease * m_options.clock_tolerance -
                                                          absl::Milliseconds(report.confirmed_ms)
                                                    : InfinitePast();
  m_workers.Reindex(worker, report.life);
  std::vector<TaskRef> former_runs;
  for (const auto& [task, held] : worker.runs) former_runs.push_back(task);
  for (const TaskRef task : former_runs) CarryOver(worker, task, now);
  const MonotonicTime out_since = m_quarantine.OutSince(WorkerId(report.life.worker));
  m_quarantine.Forget(WorkerId(report.life.worker));
  if (out_since != InfiniteFuture()) LogReadmission(report.life.worker, out_since, ReadmissionReason::kNewLife, now);
  worker.condition = WorkerCondition::kReady;
  worker.service = report.service;
  worker.zone = report.zone;
  worker.reconciled = false;
  worker.clock_ms = 0;
  worker.clock_read_at = now;
  worker.ends_applied = 0;
  worker.ends_durable = 0;
  worker.held_ends.clear();
  worker.unknown_runs = 0;
  worker.avoid_until = MonotonicTime();
  LogEvent(LogLevel::kInfo, "worker_life",
           {{"worker", report.life.worker},
            {"born", report.life.born},
            {"agent", worker.agent},
            {"zone", worker.zone},
            {"clock_ms", report.worker_clock_ms},
            {"former_lease_ms", RemainingFormerLeaseMs(worker, now)}});
  LoseOrphansOfHost(worker.agent, report.life.worker, now);
  const auto orphans = m_orphans.find(report.life.worker);
  if (orphans == m_orphans.end()) return;
  const std::vector<TaskRef> tasks = std::move(orphans->second);
  m_orphans.erase(orphans);
  for (const TaskRef task : tasks) {
    m_workers.Attach(worker, task);
    if (task.step->tasks[static_cast<std::size_t>(task.index)].worker_born == report.life.born) continue;
    CarryOver(worker, task, now);
  }
}

void Scheduler::CarryOver(PoolWorker& worker, TaskRef task, MonotonicTime now) {
  TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
  TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
  progress.worker_born = worker.life.born;
  progress.bound = RunBound::kNone;
  if (runtime.stage == RunStage::kRecording) {
    LoseRun(task, RunLoss::kOtherLife, now);  // nothing was sent
    return;
  }
  // A run that was to be stopped is stopped in this life, too; see `CompareRuns`.
  if (runtime.stage != RunStage::kStopping) runtime.stage = RunStage::kCarriedOver;
  runtime.is_start_settled = false;
  runtime.percent = 0;
  worker.starting.erase(task);
  MarkChanged(*task.step);
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
  for (const TaskRef task : lost) LoseRun(task, RunLoss::kFormerWorkerReplaced, now);
}

void Scheduler::LoseOrphansOfGoneWorker(const std::string& agent, const WorkerReport& report, MonotonicTime now) {
  SettleAnsweredCalls(agent, report, now);
  std::vector<TaskRef> lost;
  for (const auto& [worker, tasks] : m_orphans) {
    if (worker != report.announced.worker) continue;
    std::copy_if(tasks.begin(), tasks.end(), std::back_inserter(lost), [&](TaskRef task) {
      const std::size_t i = static_cast<std::size_t>(task.index);
      return task.step->tasks[i].agent == agent && task.step->runtimes[i].is_start_settled;
    });
  }
  for (const TaskRef task : lost) LoseRun(task, RunLoss::kWorkerGone, now);
  absl::erase_if(m_orphans, [](const auto& entry) { return entry.second.empty(); });
}

void Scheduler::LoseAllRuns(PoolWorker& worker, RunLoss reason, MonotonicTime now) {
  std::vector<TaskRef> tasks;
  for (const auto& [task, held] : worker.runs) tasks.push_back(task);
  LoseRuns(worker, tasks, reason, now);
}

void Scheduler::LoseSettledRuns(PoolWorker& worker, MonotonicTime now) {
  std::vector<TaskRef> tasks;
  for (const auto& [task, held] : worker.runs) {
    const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    if (runtime.is_start_settled || runtime.stage == RunStage::kRecording) tasks.push_back(task);
  }
  LoseRuns(worker, tasks, RunLoss::kWorkerGone, now);
}

void Scheduler::LoseRuns(PoolWorker& worker, const std::vector<TaskRef>& tasks, RunLoss reason, MonotonicTime now) {
  if (!tasks.empty()) {
    LogEvent(LogLevel::kInfo, "worker_runs_lost",
             {{"worker", worker.life.worker},
              {"born", worker.life.born},
              {"runs", tasks.size()},
              {"kept", worker.runs.size() - tasks.size()},
              {"clock_age_ms", absl::ToInt64Milliseconds(now - worker.clock_read_at)}});
  }
  for (const TaskRef task : tasks) LoseRun(task, reason, now);
}

void Scheduler::CompareRuns(PoolWorker& worker, const WorkerReport& report, MonotonicTime now) {
  absl::flat_hash_set<std::string> expected;
  std::vector<TaskRef> to_stop;
  std::vector<TaskRef> not_begun;
  for (const auto& [task, held] : worker.runs) {
    const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
    TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    const std::string name = task.step->TaskNameOf(task.index);
    const auto listed = std::find_if(report.runs.begin(), report.runs.end(),
                                     [&](const ActiveRun& run) { return run.task == name && run.run == progress.run; });
    if (runtime.stage == RunStage::kStopping) {
      // While an agent does not know its worker's life, it answers stops without a result.
      runtime.stage = RunStage::kUnknown;
      to_stop.push_back(task);
    }
    if (listed != report.runs.end()) {
      expected.insert(name);
      NoteListed(worker, task, *listed, now);
      if (runtime.stage == RunStage::kUnknown || runtime.stage == RunStage::kCarriedOver) {
        runtime.stage = RunStage::kRunning;
        runtime.started_at = now;
        runtime.started_clock_ms = report.worker_clock_ms;
      }
      runtime.checkpoint = listed->checkpoint;
      // Cancelled while no owner acted.
      if (!task.step->job->TakesRuns()) to_stop.push_back(task);
      continue;
    }
    if (!report.has_all_ends) continue;  // its end may stand behind those that are listed
    if (runtime.stage == RunStage::kCarriedOver) {
      // The fence token of the present life keeps every call for the former one from having an effect any more.
      not_begun.push_back(task);
      continue;
    }
    const bool must_be_listed =
        runtime.stage == RunStage::kUnknown ||
        (runtime.stage == RunStage::kRunning && runtime.started_clock_ms < report.worker_clock_ms);
    if (must_be_listed) to_stop.push_back(task);
  }
  for (const TaskRef task : to_stop) OrderStop(task);
  LoseRuns(worker, not_begun, RunLoss::kOtherLife, now);
  worker.unknown_runs = 0;
  for (const ActiveRun& run : report.runs) {
    if (!expected.contains(run.task) && !AdoptRun(worker, run, now)) StopUnknownRun(worker, run);
  }
}

void Scheduler::NoteProgress(PoolWorker& worker, const WorkerReport& report, MonotonicTime now) {
  absl::flat_hash_map<std::string, const ActiveRun*> listed;
  for (const ActiveRun& run : report.runs) listed.emplace(run.task, &run);
  std::vector<TaskRef> missing;
  for (const auto& [task, held] : worker.runs) {
    const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
    TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    if (runtime.stage != RunStage::kStopping) {
      runtime.stopping_since = InfiniteFuture();
    } else if (runtime.stopping_since == InfiniteFuture()) {
      runtime.stopping_since = now;
    } else if (now - runtime.stopping_since >= m_options.stop_repeat) {
      // The agent answers a stop without a result while it takes the worker for gone.
      runtime.stage = RunStage::kUnknown;
      runtime.stopping_since = InfiniteFuture();
      missing.push_back(task);
    }
    const auto found = listed.find(task.step->TaskNameOf(task.index));
    if (found == listed.end() || found->second->run != progress.run) {
      const bool must_be_listed = runtime.stage == RunStage::kRunning && report.has_all_ends &&
                                  runtime.started_clock_ms < report.worker_clock_ms;
      if (must_be_listed) missing.push_back(task);
      continue;
    }
    const ActiveRun& run = *found->second;
    listed.erase(found);
    NoteListed(worker, task, run, now);
    // A task that lasts never ends as done, so being at work is its success.
    const bool is_newly_at_work = run.percent == 100 && runtime.percent != 100 && task.step->definition->long_running;
    if (is_newly_at_work) RecordWorkerSuccess(worker.life.worker, ReadmissionReason::kRunAtWork, now);
    runtime.percent = run.percent;
    runtime.measured = run.measured;
    if (!run.checkpoint.empty()) runtime.checkpoint = run.checkpoint;
  }
  LearnInterference(worker, now);
  // An end that is on its way arrives in the same report or a later one; asking costs one call.
  for (const TaskRef task : missing) OrderStop(task);
  if (std::exchange(worker.unknown_runs, 0) > listed.size()) m_placement_due = true;
  for (const auto& [name, run] : listed) {
    if (!AdoptRun(worker, *run, now)) StopUnknownRun(worker, *run);
  }
}

void Scheduler::StopUnknownRun(PoolWorker& worker, const ActiveRun& run) {
  const TaskProgress recorded = RecordedProgress(run.task).value_or(TaskProgress{});
  ++m_counts.unknown_runs;
  ++worker.unknown_runs;
  LogEvent(LogLevel::kWarning, "unknown_run",
           {{"task", run.task},
            {"run", run.run},
            {"worker", worker.life.worker},
            {"born", worker.life.born},
            {"recorded_run", recorded.run},
            {"recorded_worker", recorded.worker}});
  m_stops.push_back({.agent = worker.agent, .life = worker.life, .task = run.task, .run = run.run});
}

std::int64_t Scheduler::RemainingFormerLeaseMs(const PoolWorker& worker, MonotonicTime now) {
  return worker.former_lease_until <= now ? 0 : absl::ToInt64Milliseconds(worker.former_lease_until - now);
}

void Scheduler::RecordBounds(MonotonicTime now) {
  if (now < m_next_bound_record || m_steps_with_new_bounds.empty()) return;
  m_next_bound_record = now + m_options.bound_interval;
  for (WorkflowStep* step : std::exchange(m_steps_with_new_bounds, {})) MarkChanged(*step);
}

double Scheduler::KnownLoss(const StepDefinition& serving, const InterferenceModel::FillingUse& use) const {
  double loss = 0;
  for (const auto& [image, cores] : use) {
    loss += m_interference.table().Get(serving.image, image, serving.tail_target_ms) * cores;
  }
  return loss;
}

void Scheduler::LearnInterference(PoolWorker& worker, MonotonicTime now) {
  if (worker.serving_tasks == 0) return;
  InterferenceModel::FillingUse use;
  bool is_use_known = true;
  for (const auto& [task, held] : worker.runs) {
    if (!task.step->definition->fills_idle_cpu) continue;
    const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    // A run disturbs for half a second before its first figure.
    if (runtime.measured == 0 && now - runtime.started_at < kFirstFigureAfter) is_use_known = false;
    use[task.step->definition->image] += static_cast<double>(runtime.measured) / 1000;
  }
  for (auto& [image, serving] : worker.serving) serving.lowest_soon = 0;
  for (const auto& [task, held] : worker.runs) {
    const StepDefinition& definition = *task.step->definition;
    const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    const bool is_at_work = definition.tail_target_ms > 0 && runtime.percent == 100 && runtime.measured > 0;
    if (!is_at_work) continue;
    ServingLoad& load = task.step->serving_load;
    const double rate = SpareRate(static_cast<double>(runtime.measured));
    const double known_loss = KnownLoss(definition, use);
    load.Add(rate + kCreditedLoss * known_loss, now);
    if (is_use_known) {
      m_interference.AddSample({.serving_image = definition.image,
                                .tail_target_ms = definition.tail_target_ms,
                                .lost_rate = load.Undisturbed(now) - rate,
                                .use = use},
                               now);
    }
    ServingUse& serving = worker.serving[definition.image];
    serving.spare_rate += (serving.spare_rate == 0 ? 1 : kRateWeight) * (rate - serving.spare_rate);
    const double lowest = load.LowestSoon(now);
    serving.lowest_soon = serving.lowest_soon == 0 ? lowest : std::min(serving.lowest_soon, lowest);
  }
}

void Scheduler::RefreshInterference(MonotonicTime now) {
  if (now - m_interference_refreshed_at < kInterferenceInterval) return;
  m_interference_refreshed_at = now;
  m_interference.Refresh();
}

std::vector<InterferenceEntry> Scheduler::TakeInterferenceFor(std::string_view agent, MonotonicTime now) {
  PoolWorker* worker = m_workers.Find(agent);
  if (worker == nullptr || worker->serving_tasks == 0 || worker->filling_cpu == 0) return {};
  if (now - worker->interference_sent_at < kInterferenceInterval) return {};
  worker->interference_sent_at = now;
  std::vector<InterferenceEntry> entries;
  for (const auto& [image, use] : worker->serving) {
    for (const auto& [filler, cpu] : worker->filling) {
      entries.push_back({.serving_image = image,
                         .filling_image = filler,
                         .loss_per_core = m_interference.table().Get(image, filler, use.tail_target_ms)});
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
  const auto share =
      static_cast<std::size_t>(m_options.moves_per_worker * static_cast<double>(m_workers.workers().size()));
  const std::size_t most = std::max(m_options.least_moves, share);
  std::vector<TaskRef> moved;
  for (const PoolWorker* worker : m_workers.workers()) {
    if (worker->serving.empty() || worker->filling.empty()) continue;
    for (const auto& [task, held] : worker->runs) {
      if (moved.size() >= most) break;
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
  if (HasLateCall(*task.step, task.index)) return false;  // it would have to come back to its worker
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
    if (m_quarantine.OutSince(WorkerId(other->life.worker)) != InfiniteFuture()) continue;
    const double other_speed = m_policy.FillingSpeed(definition, *other);
    if (other_speed >= m_options.good_filling_speed && remaining / other_speed < allowed) return true;
  }
  return false;
}

void Scheduler::LapseLeases(MonotonicTime now) {
  for (PoolWorker* worker : m_workers.workers()) {
    const absl::Duration silence = now - worker->clock_read_at;
    if (silence <= LongestRunAfterOrder(RunBound::kGrantedLease)) continue;
    worker->reconciled = false;
    const bool is_former_lease_over = now > worker->former_lease_until;
    std::vector<TaskRef> lapsed;
    for (const auto& [task, held] : worker->runs) {
      TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
      const bool was_sent = runtime.stage != RunStage::kRecording;
      const bool is_late_start_over = now - runtime.ordered_at > LongestRunAfterOrder(RunBound::kNone);
      const bool is_lapsed = is_former_lease_over && (runtime.is_start_settled || is_late_start_over);
      if (is_lapsed || !was_sent) lapsed.push_back(task);
      // A call that is made from now on could be carried out after the run was given up.
      if (runtime.stage == RunStage::kStarting) runtime.stage = RunStage::kUnknown;
    }
    LoseRuns(*worker, lapsed, RunLoss::kLeaseLapsed, now);
  }
}

absl::Duration Scheduler::LongestRunAfterOrder(RunBound bound) const {
  const absl::Duration longest_lease = m_options.longest_lease * m_options.clock_tolerance;
  switch (bound) {
    case RunBound::kNone:
      // The start is carried out late, then a call that extends the lease of the life that took it.
      return 2 * m_options.late_call_limit + longest_lease;
    case RunBound::kLongestLease:
      return longest_lease;
    case RunBound::kGrantedLease:
      break;
  }
  return m_options.lease * m_options.clock_tolerance;
}

void Scheduler::LapseFormerWorkers(MonotonicTime now) {
  // The last grant or order of a former owner counts as the last sign of its workers.
  const absl::Duration silence = now - m_claimed_at - m_options.former_owner_grants;
  if (m_orphans.empty() || silence <= LongestRunAfterOrder(RunBound::kGrantedLease)) return;
  std::vector<TaskRef> lapsed;
  for (const auto& [worker, tasks] : m_orphans) {
    const std::size_t before = lapsed.size();
    std::copy_if(tasks.begin(), tasks.end(), std::back_inserter(lapsed), [&](TaskRef task) {
      return silence > LongestRunAfterOrder(task.step->tasks[static_cast<std::size_t>(task.index)].bound);
    });
    if (lapsed.size() == before) continue;
    LogEvent(LogLevel::kInfo, "former_worker_lapsed",
             {{"worker", worker}, {"runs", lapsed.size() - before}, {"kept", tasks.size() - (lapsed.size() - before)}});
  }
  for (const TaskRef task : lapsed) LoseRun(task, RunLoss::kFormerLeaseLapsed, now);
  absl::erase_if(m_orphans, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace berylgauge::workflow
