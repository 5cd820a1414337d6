#include "workflow/placement_policy.h"

#include <algorithm>

namespace berylgauge::workflow {
namespace {

/// Added to the score of a worker outside the rack of the data, or on which the task failed before. Larger than any
/// other term, so that such a worker is the last choice.
constexpr double kLastResortPenalty = 1e6;

/// Added to the score of a worker that gives no lists or leaves a start without an answer: more than any difference in
/// room and speed.
constexpr double kSilencePenalty = 5e5;

constexpr double kMillisPerCore = 1000;
/// Loss that is lost in the swing of the load, and the usual spare rate, as multiples of the rate that is needed.
constexpr double kHarmlessLoss = 0.05;
constexpr double kUsualRate = 2;
constexpr double kNearlyFullSpeed = 0.9;
/// Weights of the expected speed, and of one serving task, against a thousandth of an idle core.
constexpr double kSpeedWeight = 2e5;
/// Cost of the first serving task on a worker, and of one more image beside others, in thousandths of a free core.
constexpr double kCleanWorkerCost = 3e4;
constexpr double kMixedImagesCost = 4e4;
constexpr double kServingWeight = 1e4;
/// Weight of the harm to serving tasks: more than that of all serving tasks of a worker.
constexpr double kHarmWeight = 2e5;

int TasksOfStepOn(const WorkflowStep& step, const PoolWorker& worker) {
  int count = 0;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskProgress& task = step.tasks[i];
    if (task.state == TaskState::kPlaced && task.worker == worker.life.worker) ++count;
  }
  return count;
}

bool HasLabel(const PoolWorker& worker, const std::string& label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

}  // namespace

PoolWorker* PlacementPolicy::Choose(const WorkflowStep& step, int index, const std::vector<PoolWorker*>& workers,
                                    const PlacementLimits& limits, MonotonicTime now) const {
  PoolWorker* best = nullptr;
  double best_score = 0;
  for (PoolWorker* worker : workers) {
    if (!HasRoom(step, index, *worker, now) || !IsEligible(step, *worker, limits, now)) continue;
    const double score = Score(step, index, *worker, now);
    if (best != nullptr && score >= best_score) continue;
    best = worker;
    best_score = score;
  }
  return best;
}

PlacementObstacle PlacementPolicy::EligibilityObstacle(const WorkflowStep& step, const PoolWorker& worker,
                                                       const PlacementLimits& limits, MonotonicTime now) const {
  const StepDefinition& definition = *step.definition;
  if (!worker.reconciled) return PlacementObstacle::kListMissing;
  if (worker.unknown_runs > 0) return PlacementObstacle::kUnknownRun;
  if (worker.condition != WorkerCondition::kReady) return PlacementObstacle::kNotReady;
  if (worker.service != step.job->definition.queue.service) return PlacementObstacle::kOtherService;
  if (now < worker.avoid_until) return PlacementObstacle::kPaused;
  if (limits.evacuated_zones.contains(worker.zone)) return PlacementObstacle::kZoneEvacuated;
  if (!definition.required_label.empty() && !HasLabel(worker, definition.required_label)) {
    return PlacementObstacle::kLabelMissing;
  }
  const bool is_spread = definition.max_per_worker == 0 || TasksOfStepOn(step, worker) < definition.max_per_worker;
  return is_spread ? PlacementObstacle::kNone : PlacementObstacle::kSpread;
}

PlacementObstacle PlacementPolicy::RoomObstacle(const WorkflowStep& step, int index, const PoolWorker& worker,
                                                MonotonicTime now) const {
  const StepDefinition& definition = *step.definition;
  const Resources free = worker.Free();
  Resources demand = definition.demand;
  if (definition.fills_idle_cpu) demand.cpu_millis = 0;
  if (!demand.FitsIn(free)) return PlacementObstacle::kRoom;
  if (definition.fills_idle_cpu) {
    if (FillingSpeed(definition, worker) >= m_options.lowest_filling_speed) return PlacementObstacle::kNone;
    // The expected speed is only an estimate, so it delays the first run of a job but never prevents it.
    Resources spare = demand;
    for (int i = 1; i < m_options.slow_worker_room; ++i) spare += demand;
    const bool takes_worker = spare.FitsIn(free) && now >= AnySpeedFrom(step, now);
    return takes_worker ? PlacementObstacle::kNone : PlacementObstacle::kTooSlow;
  }
  if (!definition.long_running) return PlacementObstacle::kNone;
  const MonotonicTime waiting_since = step.runtimes[static_cast<std::size_t>(index)].waiting_since;
  if (now - waiting_since >= m_options.reserve_patience) return PlacementObstacle::kNone;
  return LeavesReserve(demand, free) ? PlacementObstacle::kNone : PlacementObstacle::kReserved;
}

bool PlacementPolicy::LeavesReserve(const Resources& demand, const Resources& free) const {
  return (demand + Resources{.cpu_millis = m_options.short_task_reserve_cpu}).FitsIn(free);
}

MonotonicTime PlacementPolicy::AnySpeedFrom(const WorkflowStep& step, MonotonicTime now) const {
  if (!step.definition->fills_idle_cpu) return InfiniteFuture();
  return step.PatienceEnds(m_options.slow_worker_patience, now);
}

double PlacementPolicy::FillingSpeed(const StepDefinition& definition, const PoolWorker& worker) const {
  const auto demand = static_cast<double>(std::max<std::int64_t>(definition.demand.cpu_millis, 1));
  double speed = (IdleCpu(worker) - static_cast<double>(worker.filling_cpu)) / demand;
  for (const auto& [image, use] : worker.serving) {
    const ServingOutlook outlook = OutlookOf(image, use, definition, worker);
    if (outlook.loss > 0) speed = std::min(speed, outlook.room / outlook.loss);
  }
  return std::clamp(speed, 0.0, 1.0);
}

double PlacementPolicy::FillingHarm(const StepDefinition& definition, const PoolWorker& worker) const {
  double harm = 0;
  for (const auto& [image, use] : worker.serving) {
    const ServingOutlook outlook = OutlookOf(image, use, definition, worker);
    if (outlook.loss > 0) harm = std::max(harm, outlook.loss / std::max(outlook.room, outlook.loss));
  }
  return harm;
}

PlacementPolicy::ServingOutlook PlacementPolicy::OutlookOf(const std::string& image, const ServingUse& use,
                                                           const StepDefinition& filler,
                                                           const PoolWorker& worker) const {
  const InterferenceTable& table = m_interference.table();
  const double needed = SpareRate(m_options.accepted_tail * use.tail_target_ms);
  const auto loss_beside = [&](const std::string& other, std::int64_t cpu_millis) {
    return table.Get(image, other, use.tail_target_ms) * static_cast<double>(cpu_millis) / kMillisPerCore;
  };
  const double loss = loss_beside(filler.image, filler.demand.cpu_millis);
  if (loss < kHarmlessLoss * needed) return {};
  // Before the first figure a serving task is taken to be under its usual load.
  double rate = use.lowest_soon > 0 ? use.lowest_soon : kUsualRate * needed;
  for (const auto& [other, cpu] : worker.filling) rate -= loss_beside(other, cpu);
  if (use.spare_rate > 0) rate = std::min(rate, use.spare_rate);  // something may disturb more than is known
  return {.room = std::max(rate - needed, 0.0), .loss = loss};
}

double PlacementPolicy::IdleCpu(const PoolWorker& worker) const {
  const auto capacity = static_cast<double>(worker.capacity.cpu_millis);
  const auto serving = static_cast<double>(worker.serving_cpu);
  const double other = static_cast<double>(worker.reserved.cpu_millis) - serving;
  return capacity - other - m_options.serving_use * serving;
}

double PlacementPolicy::Score(const WorkflowStep& step, int index, const PoolWorker& worker, MonotonicTime now) const {
  const StepDefinition& definition = *step.definition;
  double score = 0;
  // What is placed on a silent worker can run elsewhere only after the worker's lease.
  const bool is_silent = worker.HasStartSince(now - m_options.late_start) || now - worker.clock_read_at > kListValidity;
  if (is_silent) score += kSilencePenalty;
  if (!definition.data_rack.empty() && !HasLabel(worker, definition.data_rack)) score += kLastResortPenalty;
  const std::vector<std::string>& avoid = step.runtimes[static_cast<std::size_t>(index)].avoid;
  if (std::find(avoid.begin(), avoid.end(), worker.life.worker) != avoid.end()) score += 2 * kLastResortPenalty;
  const auto free_cpu = static_cast<double>(worker.Free().cpu_millis);
  if (definition.fills_idle_cpu) {
    const double speed = FillingSpeed(definition, worker);
    const double idle = IdleCpu(worker) - static_cast<double>(worker.filling_cpu);
    // At full speed, workers whose serving tasks lose least come first, although their load may leave room for more at
    // present. Among these, workers with most serving tasks: those without are kept for tasks that disturb.
    if (speed >= kNearlyFullSpeed) {
      return score - kSpeedWeight + kHarmWeight * FillingHarm(definition, worker) -
             kServingWeight * worker.serving_tasks - idle;
    }
    return score - kSpeedWeight * speed - idle;
  }
  // Short tasks go where most is free; tasks that last are packed, so that large holes remain for others.
  if (!definition.long_running) return score - free_cpu;
  // A worker that serves few images is disturbed by few kinds of filling tasks.
  if (definition.tail_target_ms > 0 && !worker.serving.contains(definition.image)) {
    score += worker.serving.empty() ? kCleanWorkerCost : kMixedImagesCost * static_cast<double>(worker.serving.size());
  }
  return score + free_cpu;
}

}  // namespace berylgauge::workflow
