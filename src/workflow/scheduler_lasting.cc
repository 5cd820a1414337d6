#include <absl/strings/str_join.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "workflow/lasting_order.h"
#include "workflow/lasting_shares.h"
#include "workflow/lasting_step_state.h"
#include "workflow/room_planner.h"
#include "workflow/scheduler.h"
#include "workflow/worker_reach.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kLastingCheckInterval = absl::Seconds(2);
constexpr double kPerMille = 1000;

/// Room is taken for ample while steps ask for at most this part of what is free on all workers together: the rest is
/// in pieces that are too small, and in the reserve of short tasks.
constexpr double kAmpleShare = 0.7;

/// Steps for which room is searched in one pass, because each search looks at all runs.
constexpr std::size_t kMostRoomSearches = 16;

std::int64_t PerMille(double share) { return static_cast<std::int64_t>(share * kPerMille); }

void LogLastingStep(const WorkflowStep& step, const LastingStepState& state) {
  const StepDefinition& definition = *step.definition;
  LogEvent(LogLevel::kInfo, "lasting_step",
           {{"step", state.name},
            {"queue", state.queue},
            {"tasks", state.tasks},
            {"at_work", state.at_work},
            {"over_target", state.over_target},
            {"starting", state.starting},
            {"waiting", state.waiting},
            {"late_call", state.late_calls},
            {"paused", state.paused},
            {"waited_ms", absl::ToInt64Milliseconds(state.longest)},
            {"cpu", definition.demand.cpu_millis},
            {"memory", definition.demand.memory_mb},
            {"max_per_worker", definition.max_per_worker},
            {"may_miss", definition.may_miss}});
}

}  // namespace

void Scheduler::PlaceLastingSteps(const std::vector<WorkflowStep*>& waiting, const QueuePolicy& queue,
                                  QuarantineFilter& filter, MonotonicTime now) {
  std::vector<WorkflowStep*> steps;
  std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(steps), [&](const WorkflowStep* step) {
    const QueuePolicy& other = step->job->definition.queue;
    return SharesRoom(*step->definition) && other.priority == queue.priority && other.service == queue.service;
  });
  std::vector<std::vector<std::size_t>> tasks;
  Resources asked;
  for (const WorkflowStep* step : steps) {
    tasks.push_back(PlaceableTasks(*step, filter, now));
    for (std::size_t i = 0; i < tasks.back().size(); ++i) asked += HeldDemand(*step->definition);
  }
  LastingOrder order(IsAmple(asked, queue.service, now) ? LastingTurns::kWholeSteps : LastingTurns::kSingleTasks);
  for (std::size_t i = 0; i < steps.size(); ++i) order.Add(*steps[i], std::move(tasks[i]));
  while (!order.IsEmpty()) {
    const auto [step, index] = order.Next();
    if (PlaceLastingTask(*step, index, filter, now)) {
      order.Advance(step->tasks[static_cast<std::size_t>(index)].state == TaskState::kPlaced);
    } else {
      order.DropStep();
    }
  }
  for (WorkflowStep* step : steps) {
    UpdateWaiting(*step);
    if (m_waiting.contains(step)) ScheduleRetry(*step, filter, now);
  }
}

bool Scheduler::PlaceLastingTask(WorkflowStep& step, int index, QuarantineFilter& filter, MonotonicTime now) {
  // A step has one hold at most; the search may use that room.
  const auto hold = std::find_if(m_room_holds.begin(), m_room_holds.end(),
                                 [&](const RoomHold& other) { return other.step == &step; });
  PoolWorker* holder = hold == m_room_holds.end() ? nullptr : m_workers.FindLife(hold->life);
  if (holder != nullptr) holder->kept -= hold->kept;
  const bool is_settled = PlaceTask(step, index, AccessOf(step, index, filter, now), filter, now);
  if (holder == nullptr) return is_settled;
  if (step.tasks[static_cast<std::size_t>(index)].state == TaskState::kPlaced) {
    m_room_holds.erase(hold);
  } else {
    holder->kept += hold->kept;
  }
  return is_settled;
}

void Scheduler::RefreshRoomHolds(MonotonicTime now) {
  std::erase_if(m_room_holds, [&](const RoomHold& hold) {
    const PoolWorker* worker = m_workers.FindLife(hold.life);
    return now >= hold.until || worker == nullptr || worker->condition != WorkerCondition::kReady ||
           !hold.step->job->TakesRuns() || !hold.step->HasWaitingTask();
  });
  for (PoolWorker* worker : m_workers.workers()) worker->kept = {};
  for (RoomHold& hold : m_room_holds) {
    PoolWorker* worker = m_workers.FindLife(hold.life);
    hold.kept = hold.AmountOn(*worker);
    worker->kept += hold.kept;
    m_next_retry = std::min(m_next_retry, hold.until);
  }
}

void Scheduler::MakeRoom(MonotonicTime now) {
  if (now < m_next_room_check) return;
  m_next_room_check = now + m_options.room_interval;
  const auto share =
      static_cast<std::size_t>(m_options.room_holds_per_worker * static_cast<double>(m_workers.workers().size()));
  const std::size_t most = std::max(m_options.least_room_holds, share);
  if (m_room_holds.size() >= most) return;
  const QuarantineFilter filter(m_workers.workers(), m_quarantine, now);
  const WorkerReach reach(m_workers.workers());
  LastingOrder order(LastingTurns::kSingleTasks);
  for (WorkflowStep* step : m_waiting) {
    const bool has_hold =
        std::any_of(m_room_holds.begin(), m_room_holds.end(), [&](const RoomHold& hold) { return hold.step == step; });
    if (!SharesRoom(*step->definition) || has_hold || !reach.Includes(*step)) continue;
    std::vector<std::size_t> waiting = PlaceableTasks(*step, filter, now);
    std::erase_if(waiting,
                  [&](std::size_t i) { return now - step->runtimes[i].waiting_since < m_options.room_patience; });
    order.Add(*step, std::move(waiting));
  }
  RoomPlanner planner(m_policy, m_limits, filter.Candidates(QuarantineAccess::kNone), m_options.room, now);
  std::size_t searches = 0;
  while (!order.IsEmpty() && m_room_holds.size() < most && searches++ < kMostRoomSearches) {
    const auto [step, index] = order.Next();
    const std::optional<RoomPlan> plan = planner.Plan(*step);
    order.DropStep();
    if (!plan) continue;
    planner.Accept(*plan);
    MakeRoomFor(*step, index, *plan, now);
  }
}

void Scheduler::MakeRoomFor(WorkflowStep& step, int index, const RoomPlan& plan, MonotonicTime now) {
  ++m_counts.rooms_made;
  m_counts.room_losses += static_cast<std::uint64_t>(plan.losses);
  m_counts.room_moves += plan.stops.size() - static_cast<std::size_t>(plan.losses);
  std::vector<std::string> stopped;
  for (const TaskRef task : plan.stops) {
    stopped.push_back(task.step->TaskNameOf(task.index));
    OrderStop(task);
  }
  LogEvent(
      LogLevel::kInfo, "room_made",
      {{"task", step.TaskNameOf(index)},
       {"waited_ms", absl::ToInt64Milliseconds(now - step.runtimes[static_cast<std::size_t>(index)].waiting_since)},
       {"held", HeldTasks(step)},
       {"tasks", step.tasks.size()},
       {"worker", plan.worker->life.worker},
       {"free_cpu", plan.worker->Free().cpu_millis},
       {"stopped", absl::StrJoin(stopped, ",")},
       {"losses", plan.losses}});
  m_room_holds.push_back({.step = &step,
                          .life = plan.worker->life,
                          .demand = HeldDemand(*step.definition),
                          .stops = plan.stops,
                          .until = now + m_options.longest_room_hold,
                          .kept = {}});
  RefreshRoomHolds(now);
}

void Scheduler::NoteLastingSteps(MonotonicTime now) {
  if (now < m_next_lasting_check) return;
  m_next_lasting_check = now + kLastingCheckInterval;
  std::vector<LastingStepState> states;
  absl::flat_hash_map<std::string, LoggedLastingStep> logged;
  for (const auto& [id, job] : m_jobs) {
    if (!job->TakesRuns()) continue;
    for (const auto& [occurrence, steps] : job->occurrences) {
      for (const std::unique_ptr<WorkflowStep>& step : steps) {
        if (!step->definition->long_running || !step->ready) continue;
        states.push_back(StateOf(*step, now));
        const LastingStepState& state = states.back();
        const LoggedLastingStep present{.at_work = state.at_work, .waiting = state.waiting};
        const auto former = m_logged_lasting_steps.find(state.name);
        if (former == m_logged_lasting_steps.end() || former->second != present) LogLastingStep(*step, state);
        logged.emplace(state.name, present);
      }
    }
  }
  m_logged_lasting_steps = std::move(logged);
  std::map<std::string, LastingShares> shares = SharesByQueue(states);
  // A queue without such steps any more is shown as served, not with its last figure.
  for (const auto& [queue, former] : m_lasting_shares) shares.try_emplace(queue);
  m_lasting_shares = std::move(shares);
  LogLastingShares(now);
}

LastingStepState Scheduler::StateOf(const WorkflowStep& step, MonotonicTime now) const {
  std::vector<bool> has_late_call(step.tasks.size());
  for (std::size_t i = 0; i < has_late_call.size(); ++i) has_late_call[i] = HasLateCall(step, static_cast<int>(i));
  return StateOfLastingStep(step, has_late_call, now);
}

bool Scheduler::TakesRuns(const PoolWorker& worker, MonotonicTime now) const {
  return worker.reconciled && worker.condition == WorkerCondition::kReady && now >= worker.avoid_until &&
         !m_limits.evacuated_zones.contains(worker.zone);
}

bool Scheduler::IsAmple(const Resources& asked, const std::string& service, MonotonicTime now) const {
  Resources free;
  for (const PoolWorker* worker : m_workers.workers()) {
    if (worker->service == service && TakesRuns(*worker, now)) free += worker->Free();
  }
  const auto is_ample = [](std::int64_t amount, std::int64_t in_all) {
    return static_cast<double>(amount) <= kAmpleShare * static_cast<double>(in_all);
  };
  return is_ample(asked.cpu_millis, free.cpu_millis) && is_ample(asked.memory_mb, free.memory_mb) &&
         is_ample(asked.accelerators, free.accelerators);
}

void Scheduler::LogLastingShares(MonotonicTime now) const {
  Resources free;
  Resources largest;
  for (const PoolWorker* worker : m_workers.workers()) {
    if (!TakesRuns(*worker, now)) continue;
    free += worker->Free();
    largest.cpu_millis = std::max(largest.cpu_millis, worker->Free().cpu_millis);
    largest.memory_mb = std::max(largest.memory_mb, worker->Free().memory_mb);
  }
  for (const auto& [queue, shares] : m_lasting_shares) {
    if (shares.steps == 0) continue;
    LogEvent(LogLevel::kInfo, "lasting_shares",
             {{"queue", queue},
              {"steps", shares.steps},
              {"all", PerMille(shares.all)},
              {"largest_tenth", PerMille(shares.largest_tenth)},
              {"next_fifth", PerMille(shares.next_fifth)},
              {"least", PerMille(shares.least)},
              {"least_step", shares.least_step},
              {"free_cpu", free.cpu_millis},
              {"largest_free_cpu", largest.cpu_millis},
              {"free_memory", free.memory_mb},
              {"largest_free_memory", largest.memory_mb}});
  }
}

}  // namespace berylgauge::workflow
