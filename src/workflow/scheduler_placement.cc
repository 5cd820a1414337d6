#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "base/ids.h"
#include "workflow/scheduler.h"
#include "workflow/work_order.h"
#include "workflow/worker_reach.h"

namespace berylgauge::workflow {
namespace {

/// A task that has waited this long is logged, as often as the second figure says.
constexpr absl::Duration kLongWait = absl::Seconds(3);
constexpr absl::Duration kWaitLogInterval = absl::Seconds(2);
/// Steps that are logged at most in one interval, the most urgent first.
constexpr std::size_t kMaxLoggedWaits = 20;

/// Failed searches that a pass keeps to spare others theirs. Each waiting step is compared with them, so their number
/// bounds the time of a pass; steps beyond have searches of their own.
constexpr std::size_t kMostFailedSearches = 64;

/// Whether a step finds no worker either because another one found none: it competes for the same workers by the same
/// conditions and needs at least as much.
bool FailsLike(const WorkflowStep& step, const WorkflowStep& failed) {
  const StepDefinition& needed = *step.definition;
  const StepDefinition& refused = *failed.definition;
  if (step.job->definition.queue.service != failed.job->definition.queue.service) return false;
  if (refused.fills_idle_cpu != needed.fills_idle_cpu || refused.long_running != needed.long_running) return false;
  // Images disturb serving tasks to a different degree, so each has its own expected speed.
  if (refused.fills_idle_cpu && refused.image != needed.image) return false;
  return refused.demand.FitsIn(needed.demand);
}

/// Whether `FailsLike` can say yes of other steps. Says no for a search that was restricted to some workers or waits
/// for more room than it takes (tasks that last).
bool MaySpeakForOthers(const WorkflowStep& failed) {
  const StepDefinition& refused = *failed.definition;
  return !refused.long_running && refused.required_label.empty() && refused.max_per_worker == 0;
}

}  // namespace

void Scheduler::PlaceWaiting(MonotonicTime now) {
  m_next_retry = InfiniteFuture();
  m_outlooks.clear();
  ReserveForLateCalls();
  RefreshRoomHolds(now);
  for (const PoolWorker* worker : m_workers.workers()) {
    if (worker->avoid_until > now) m_next_retry = std::min(m_next_retry, worker->avoid_until);
  }
  QuarantineFilter filter(m_workers.workers(), m_quarantine, now);
  std::vector<WorkflowStep*> waiting(m_waiting.begin(), m_waiting.end());
  SortByUrgency(waiting, now);
  std::vector<FailedSearch> failed;
  const WorkerReach reach(m_workers.workers());
  std::erase_if(waiting, [&](const WorkflowStep* step) { return !reach.Includes(*step); });
  std::set<std::pair<int, std::string>> lasting_placed;  // priorities and services
  for (WorkflowStep* step : waiting) {
    if (SharesRoom(*step->definition)) {
      // Those that compete are placed together, when the turn of the most urgent one comes.
      const QueuePolicy& queue = step->job->definition.queue;
      const bool is_first = lasting_placed.emplace(queue.priority, queue.service).second;
      if (is_first) PlaceLastingSteps(waiting, queue, filter, now);
      continue;
    }
    const QuarantineAccess access = WidestAccessOf(*step, filter, now);
    const bool is_hopeless =
        m_policy.AnySpeedFrom(*step, now) > now && std::any_of(failed.begin(), failed.end(), [&](const auto& other) {
          return other.access >= access && FailsLike(*step, *other.step);
        });
    if (!is_hopeless) {
      if (step->definition->gang) {
        const bool is_placed = PlaceGang(*step, QuarantineAccess::kNone, filter, now);
        if (!is_placed && access != QuarantineAccess::kNone) PlaceGang(*step, access, filter, now);
      } else {
        PlaceTasks(*step, filter, failed, now);
        UpdateWaiting(*step);
      }
    }
    // After the placements, because each of them lets the others of its job wait for a while.
    if (m_waiting.contains(step)) ScheduleRetry(*step, filter, now);
  }
  m_next_retry = std::min(m_next_retry, filter.NextTrial());
  m_placement_due = false;
}

void Scheduler::ScheduleRetry(const WorkflowStep& step, const QuarantineFilter& filter, MonotonicTime now) {
  if (step.definition->long_running) {
    m_next_retry = std::min(m_next_retry, now + m_options.placement.reserve_patience);
  }
  const MonotonicTime any_speed_from = m_policy.AnySpeedFrom(step, now);
  if (any_speed_from > now) m_next_retry = std::min(m_next_retry, any_speed_from);
  if (PrefersRack(*step.definition)) {
    bool is_waiting = false;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (step.tasks[i].state != TaskState::kWaiting || !IsWaitingForRack(step, static_cast<int>(i))) continue;
      is_waiting = true;
      const MonotonicTime until = step.runtimes[i].locality.decision.wait_until;
      if (until > now) m_next_retry = std::min(m_next_retry, until);
    }
    // The bound of a job without a run begins to hold by time alone, when its runs no longer count as being at work.
    const MonotonicTime bound = step.PatienceEnds(m_options.placement.slow_worker_patience, now);
    if (is_waiting && bound > now) m_next_retry = std::min(m_next_retry, bound);
  }
  if (!filter.HasQuarantined()) return;
  const MonotonicTime ends = QuarantineEndsFor(step, static_cast<int>(step.LongestWaitingTask()), now);
  m_next_retry = std::min(m_next_retry, ends > now ? ends : filter.NextEarlyTrial());
}

std::vector<std::size_t> Scheduler::PlaceableTasks(const WorkflowStep& step, const QuarantineFilter& filter,
                                                   MonotonicTime now) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state != TaskState::kWaiting) continue;
    if (now < step.runtimes[i].not_before) {
      m_next_retry = std::min(m_next_retry, step.runtimes[i].not_before);
    } else if (!HasLateCall(step, static_cast<int>(i))) {
      order.push_back(i);
    }
  }
  // The search ends at the first task that finds no worker, so those that may take most workers come first.
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (step.definition->long_running) return step.runtimes[a].waiting_since < step.runtimes[b].waiting_since;
    return filter.HasQuarantined() && step.tasks[a].failures < step.tasks[b].failures;
  });
  return order;
}

void Scheduler::PlaceTasks(WorkflowStep& step, QuarantineFilter& filter, std::vector<FailedSearch>& failed,
                           MonotonicTime now) {
  for (const std::size_t i : PlaceableTasks(step, filter, now)) {
    const int index = static_cast<int>(i);
    const QuarantineAccess access = AccessOf(step, index, filter, now);
    if (PlaceTask(step, index, access, filter, now)) continue;
    const bool is_kept = failed.size() < kMostFailedSearches && MaySpeakForOthers(step);
    if (is_kept) failed.push_back({.step = &step, .access = access});
    return;
  }
}

bool Scheduler::PlaceTask(WorkflowStep& step, int index, QuarantineAccess access, QuarantineFilter& filter,
                          MonotonicTime now) {
  const QuarantineAccess first =
      MayTry(step, index) ? std::min(access, QuarantineAccess::kTrial) : QuarantineAccess::kNone;
  WorkerChoice choice = ChooseByLocality(step, index, first, filter, now);
  if (choice.is_waiting) return true;
  if (choice.workers.empty() && access != first) choice = ChooseByLocality(step, index, access, filter, now);
  if (choice.is_waiting) return true;
  if (choice.workers.empty()) return false;
  PoolWorker* worker = choice.workers.front();
  Place(step, index, *worker, step.tasks[static_cast<std::size_t>(index)].run + 1, now);
  filter.OnPlaced(*worker);
  return true;
}

MonotonicTime Scheduler::QuarantineEndsFor(const WorkflowStep& step, int index, MonotonicTime now) const {
  const MonotonicTime at_work_until = step.job->AtWorkUntil();
  // Further tasks wait for the runs of the job: their success lets workers back in.
  if (!step.definition->long_running && at_work_until > now) return at_work_until;
  const bool has_failed =
      std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskProgress& task) { return task.failures > 0; });
  const absl::Duration patience = has_failed ? m_options.longest_quarantine_patience : m_options.quarantine_patience;
  if (step.definition->long_running) {
    return step.runtimes[static_cast<std::size_t>(index)].waiting_since + patience;
  }
  // From the end of the job's last run, or its tasks would fail on these workers one right after the other.
  return std::max(step.job->last_at_work + patience, step.PatienceEnds(patience, now));
}

QuarantineAccess Scheduler::AccessOf(const WorkflowStep& step, int index, const QuarantineFilter& filter,
                                     MonotonicTime now) const {
  if (!filter.HasQuarantined()) return QuarantineAccess::kNone;
  const std::string& service = step.job->definition.queue.service;
  if (now >= QuarantineEndsFor(step, index, now)) {
    // In a full service the workers that are out get one task at a time, or they would fail most of those that wait.
    const bool is_trial_only = !step.definition->long_running && !filter.IsMostlyFree(service) &&
                               filter.ExtentIn(service) == QuarantineExtent::kFew;
    return is_trial_only ? QuarantineAccess::kEarly : QuarantineAccess::kAll;
  }
  return MayTry(step, index) ? QuarantineAccess::kTrial : QuarantineAccess::kNone;
}

bool Scheduler::MayTry(const WorkflowStep& step, int index) {
  if (step.definition->gang) return false;  // its members would be several trials
  const int failures = step.tasks[static_cast<std::size_t>(index)].failures;
  return step.definition->long_running || failures + 1 < step.job->definition.queue.max_attempts;
}

QuarantineAccess Scheduler::WidestAccessOf(const WorkflowStep& step, const QuarantineFilter& filter,
                                           MonotonicTime now) const {
  if (!filter.HasQuarantined()) return QuarantineAccess::kNone;
  // Access grows with the wait of tasks that last; that of the others differs by their failures alone.
  std::size_t widest = step.LongestWaitingTask();
  for (std::size_t i = 0; i < step.tasks.size() && !step.definition->long_running; ++i) {
    const bool has_failed_less = step.tasks[i].failures < step.tasks[widest].failures;
    if (step.tasks[i].state == TaskState::kWaiting && has_failed_less) widest = i;
  }
  return AccessOf(step, static_cast<int>(widest), filter, now);
}

void Scheduler::LogLongWaits(MonotonicTime now) {
  if (now < m_next_wait_check) return;
  m_next_wait_check = now + kWaitLogInterval;
  const QuarantineFilter filter(m_workers.workers(), m_quarantine, now);
  std::vector<WorkflowStep*> waiting(m_waiting.begin(), m_waiting.end());
  std::erase_if(waiting, [&](const WorkflowStep* step) {
    return now - step->runtimes[step->LongestWaitingTask()].waiting_since < kLongWait;
  });
  SortByUrgency(waiting, now);
  if (waiting.size() > kMaxLoggedWaits) waiting.resize(kMaxLoggedWaits);
  for (const WorkflowStep* step : waiting) {
    const std::size_t i = step->LongestWaitingTask();
    std::map<std::string, int> workers;
    const QuarantineAccess access = AccessOf(*step, static_cast<int>(i), filter, now);
    for (const PoolWorker* worker : m_workers.workers()) {
      if (filter.AccessNeededFor(*worker) > access) {
        ++workers["quarantined"];
        continue;
      }
      PlacementObstacle obstacle = m_policy.EligibilityObstacle(*step, *worker, m_limits, now);
      if (HasLateCall(*step, static_cast<int>(i))) obstacle = PlacementObstacle::kLateCall;
      if (obstacle == PlacementObstacle::kNone) {
        obstacle = m_policy.RoomObstacle(*step, static_cast<int>(i), *worker, now);
      }
      ++workers[std::string(kPlacementObstacleNames.NameOf(obstacle))];
    }
    LogEvent(LogLevel::kInfo, "task_waiting",
             {{"task", step->TaskNameOf(static_cast<int>(i))},
              {"waited_ms", absl::ToInt64Milliseconds(now - step->runtimes[i].waiting_since)},
              {"paused_ms", std::max<std::int64_t>(0, absl::ToInt64Milliseconds(step->runtimes[i].not_before - now))},
              {"prospect", kProspectNames.NameOf(ProspectOf(*step, now))},
              {"placed_of_job", step->job->placed},
              {"cpu", step->definition->demand.cpu_millis},
              {"memory", step->definition->demand.memory_mb},
              {"fills", step->definition->fills_idle_cpu},
              {"workers", absl::StrJoin(workers, ",", absl::PairFormatter(":"))}});
  }
}

bool Scheduler::PlaceGang(WorkflowStep& step, QuarantineAccess access, QuarantineFilter& filter, MonotonicTime now) {
  // The search with less access has found workers, and the gang waits for better ones.
  if (access != QuarantineAccess::kNone && IsWaitingForRack(step, 0)) return false;
  int run = 0;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state != TaskState::kWaiting) return false;
    if (now < step.runtimes[i].not_before) {
      m_next_retry = std::min(m_next_retry, step.runtimes[i].not_before);
      return false;
    }
    if (HasLateCall(step, static_cast<int>(i))) return false;
    run = std::max(run, step.tasks[i].run + 1);
  }
  const WorkerChoice choice = ChooseByLocality(step, 0, access, filter, now);
  if (choice.workers.empty()) return false;
  for (std::size_t i = 0; i < choice.workers.size(); ++i) {
    step.runtimes[i].locality = step.runtimes[0].locality;
    Place(step, static_cast<int>(i), *choice.workers[i], run, now);
  }
  for (const PoolWorker* worker : choice.workers) filter.OnPlaced(*worker);
  UpdateWaiting(step);
  return true;
}

void Scheduler::Assign(TaskRef task, PoolWorker& worker, int run) {
  TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
  progress.state = TaskState::kPlaced;
  progress.run = run;
  progress.worker = worker.life.worker;
  progress.worker_born = worker.life.born;
  progress.agent = worker.agent;
  progress.bound = RunBound::kNone;
  progress.late_worker.clear();
  progress.late_agent.clear();
  m_workers.Attach(worker, task);
  ++task.step->job->placed;
  --task.step->job->waiting;
}

void Scheduler::Place(WorkflowStep& step, int index, PoolWorker& worker, int run, MonotonicTime now) {
  const auto i = static_cast<std::size_t>(index);
  Assign({.step = &step, .index = index}, worker, run);
  step.runtimes[i].start_repeats = 0;
  step.runtimes[i].stage = RunStage::kRecording;
  const bool is_out = m_quarantine.OutSince(WorkerId(worker.life.worker)) != InfiniteFuture();
  if (is_out) ++m_counts.trials;
  m_quarantine.RecordPlaced(WorkerId(worker.life.worker), now);
  step.job->last_placed = now;
  ++m_counts.placements;
  CountLocality(step, index, worker, now);
  const LocalityWait& locality = step.runtimes[i].locality;
  LogEvent(LogLevel::kInfo, "run_placed",
           {{"task", step.TaskNameOf(index)},
            {"run", run},
            {"image", step.definition->image},
            {"worker", worker.life.worker},
            {"quarantined", is_out},
            {"waited_ms", absl::ToInt64Milliseconds(now - step.runtimes[i].waiting_since)},
            {"locality", kLocalityChoiceNames.NameOf(locality.decision.choice)},
            {"locality_wait_ms", absl::ToInt64Milliseconds(locality.WaitedAt(now))},
            {"locality_reason", kLocalityReasonNames.NameOf(locality.decision.reason)},
            {"free_cpu", worker.Free().cpu_millis},
            {"filling_cpu", worker.filling_cpu},
            {"serving", worker.serving_tasks}});
  MarkChanged(step);
  m_new_starts.push_back(MakeStartOrder({.step = &step, .index = index}));
}

StartOrder Scheduler::MakeStartOrder(TaskRef task) {
  const StepDefinition& definition = *task.step->definition;
  const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
  return {.agent = progress.agent,
          .life = {.worker = progress.worker, .born = progress.worker_born},
          .job = task.step->job->definition.id,
          .task = task.step->TaskNameOf(task.index),
          .run = progress.run,
          .checkpoint = progress.checkpoint,
          .fills_idle_cpu = definition.fills_idle_cpu,
          .tail_target_ms = definition.tail_target_ms,
          .demand_cpu = definition.demand.cpu_millis,
          .image = definition.image,
          .ticket = {}};
}

}  // namespace berylgauge::workflow
