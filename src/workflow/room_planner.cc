#include "workflow/room_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "workflow/lasting_order.h"
#include "workflow/lasting_step_state.h"

namespace berylgauge::workflow {
namespace {

double ShareOf(int tasks, const WorkflowStep& step) {
  return static_cast<double>(tasks) / static_cast<double>(step.tasks.size());
}

/// Order of plans: few tasks that lose their place, then few stops, then little that is stopped.
auto CostOf(const RoomPlan& plan) {
  std::int64_t stopped_cpu = 0;
  for (const TaskRef task : plan.stops) stopped_cpu += task.step->definition->demand.cpu_millis;
  return std::tuple(plan.losses, plan.stops.size(), stopped_cpu);
}

bool IsBetter(const std::optional<RoomPlan>& plan, const std::optional<RoomPlan>& best) {
  return plan && (!best || CostOf(*plan) < CostOf(*best));
}

}  // namespace

RoomPlanner::RoomPlanner(const PlacementPolicy& policy, const PlacementLimits& limits,
                         const std::vector<PoolWorker*>& candidates, const RoomPlannerOptions& options,
                         MonotonicTime now)
    : m_policy(policy), m_limits(limits), m_candidates(candidates), m_options(options), m_now(now) {
  for (const PoolWorker* worker : candidates) m_by_free_cpu.emplace_back(worker->Free().cpu_millis, worker);
  std::stable_sort(m_by_free_cpu.begin(), m_by_free_cpu.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
}

std::optional<RoomPlan> RoomPlanner::Plan(const WorkflowStep& step) const {
  std::optional<RoomPlan> best;
  for (PoolWorker* worker : m_candidates) {
    // What is kept or claimed there belongs to another task.
    const bool is_taken = worker->kept != Resources{} || m_claims.contains(worker);
    if (is_taken || m_now - worker->clock_read_at > kListValidity) continue;
    if (!m_policy.IsEligible(step, *worker, m_limits, m_now)) continue;
    // Where there is room, the task waits for something that no stop gives it, such as idle processors.
    if (HeldDemand(*step.definition).FitsIn(worker->Free())) continue;
    std::optional<RoomPlan> plan = PlanAt(step, *worker);
    if (IsBetter(plan, best)) best = std::move(plan);
  }
  return best;
}

void RoomPlanner::Accept(const RoomPlan& plan) {
  m_claims[plan.worker] += plan.worker->capacity;
  for (const TaskRef task : plan.stops) {
    const PoolWorker* other = FindOther(task, *plan.worker, m_claims);
    if (other != nullptr) m_claims[other] += HeldDemand(*task.step->definition);
  }
}

std::optional<RoomPlan> RoomPlanner::PlanAt(const WorkflowStep& step, PoolWorker& worker) const {
  const Resources demand = HeldDemand(*step.definition);
  const std::vector<Victim> victims = VictimsAt(step, worker);
  std::optional<RoomPlan> best;
  for (std::size_t i = 0; i < victims.size(); ++i) {
    const Resources free = worker.Free() + victims[i].held;
    if (m_policy.LeavesReserve(demand, free)) {
      std::optional<RoomPlan> plan = PlanWith({&victims[i]}, worker);
      if (IsBetter(plan, best)) best = std::move(plan);
      continue;
    }
    for (std::size_t j = i + 1; j < victims.size() && m_options.most_stops > 1; ++j) {
      // One step gives one task only, so that the shares that were compared hold.
      if (victims[i].task.step == victims[j].task.step ||
          m_policy.LeavesReserve(demand, worker.Free() + victims[j].held)) {
        continue;
      }
      if (!m_policy.LeavesReserve(demand, free + victims[j].held)) continue;
      std::optional<RoomPlan> plan = PlanWith({&victims[i], &victims[j]}, worker);
      if (IsBetter(plan, best)) best = std::move(plan);
    }
  }
  return best;
}

std::vector<RoomPlanner::Victim> RoomPlanner::VictimsAt(const WorkflowStep& step, const PoolWorker& worker) const {
  const double gained_share = ShareOf(HeldTasks(step) + 1, step);
  std::vector<Victim> victims;
  for (const auto& [task, held] : worker.runs) {
    if (!MayStop(step, task)) continue;
    const double share_after = ShareOf(HeldTasks(*task.step) - 1, *task.step);
    victims.push_back({.task = task,
                       .held = held,
                       .share_after = share_after,
                       .may_lose = gained_share <= m_options.fair_ratio * share_after});
  }
  // Of plans that cost the same the first one is taken: that of the steps that are served best.
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::tie(b.share_after, a.task.step->name, a.task.index) <
           std::tie(a.share_after, b.task.step->name, b.task.index);
  });
  return victims;
}

bool RoomPlanner::MayStop(const WorkflowStep& step, TaskRef task) const {
  const WorkflowStep& other = *task.step;
  const StepDefinition& definition = *other.definition;
  if (&other == &step || !definition.long_running || definition.gang) return false;
  if (other.job->definition.queue.priority < step.job->definition.queue.priority) return false;
  const TaskRuntime& runtime = other.runtimes[static_cast<std::size_t>(task.index)];
  // A start with a call without an answer would keep the task from another worker for 13 s.
  if (!IsAtWork(runtime) || !runtime.is_start_settled || m_now - runtime.started_at < m_options.least_run) return false;
  if (definition.may_miss < 0) return true;
  const auto at_work = std::count_if(other.runtimes.begin(), other.runtimes.end(), IsAtWork);
  return static_cast<std::ptrdiff_t>(other.tasks.size()) - at_work < definition.may_miss;
}

std::optional<RoomPlan> RoomPlanner::PlanWith(const std::vector<const Victim*>& victims, PoolWorker& worker) const {
  RoomPlan plan = {.worker = &worker};
  Claims claims = m_claims;
  for (const Victim* victim : victims) {
    plan.stops.push_back(victim->task);
    if (const PoolWorker* other = FindOther(victim->task, worker, claims)) {
      claims[other] += victim->held;
    } else if (victim->may_lose) {
      ++plan.losses;
    } else {
      return std::nullopt;
    }
  }
  return plan;
}

const PoolWorker* RoomPlanner::FindOther(TaskRef task, const PoolWorker& worker, const Claims& claims) const {
  const Resources held = HeldDemand(*task.step->definition);
  for (const auto& [free_cpu, other] : m_by_free_cpu) {
    if (free_cpu < held.cpu_millis) break;
    if (other == &worker) continue;
    const auto claimed = claims.find(other);
    const Resources taken = claimed == claims.end() ? Resources{} : claimed->second;
    if (!m_policy.LeavesReserve(held + taken, other->Free())) continue;
    if (m_policy.IsEligible(*task.step, *other, m_limits, m_now)) return other;
  }
  return nullptr;
}

}  // namespace berylgauge::workflow
