#include <algorithm>

#include "base/event_log.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

/// From this time after its start the half-second figure of a run shows its use at work, without start and restore.
constexpr absl::Duration kSettledAfter = absl::Milliseconds(1200);
/// A filler task that could use more gets less than this share of its demand; the rest is noise of the figure.
constexpr double kSaturatedShare = 0.85;
/// The agent slows filler tasks below this loss, as a share of the rate at the target for each core, only after several
/// missed targets in a row (`PaceOptions::light_loss_share`).
constexpr double kLightLossShare = 0.04;
constexpr absl::Duration kCapacityLogInterval = absl::Seconds(10);

}  // namespace

bool Scheduler::IsUnthrottled(const StepDefinition& filler, const PoolWorker& worker) const {
  const InterferenceTable& table = m_interference.table();
  return std::all_of(worker.serving.begin(), worker.serving.end(), [&](const auto& serving) {
    const auto& [image, use] = serving;
    const double target_rate = SpareRate(use.tail_target_ms);
    const bool is_light = table.IsKnown(image, filler.image) &&
                          table.Get(image, filler.image, use.tail_target_ms) < kLightLossShare * target_rate;
    return is_light && use.spare_rate >= target_rate;
  });
}

void Scheduler::LearnIdleCpu(PoolWorker& worker, MonotonicTime now) {
  worker.idle_cpu.Decay(now);
  if (worker.serving_cpu <= 0) return;
  bool is_complete = true;
  bool is_saturated = false;
  std::int64_t filling_use = 0;
  for (const auto& [task, held] : worker.runs) {
    const StepDefinition& definition = *task.step->definition;
    if (!definition.fills_idle_cpu) continue;
    const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
    filling_use += runtime.measured;
    const bool is_settled = runtime.stage == RunStage::kRunning && now - runtime.started_at >= kSettledAfter;
    if (!is_settled) {
      is_complete = false;
      continue;
    }
    const double full_use = kSaturatedShare * static_cast<double>(definition.demand.cpu_millis);
    const bool is_short_of_cpu = runtime.measured > 0 && static_cast<double>(runtime.measured) < full_use;
    is_saturated = is_saturated || (is_short_of_cpu && IsUnthrottled(definition, worker));
  }
  if (filling_use == 0) return;
  const std::int64_t other = worker.reserved.cpu_millis - worker.serving_cpu;
  const auto left = static_cast<double>(worker.capacity.cpu_millis - other - filling_use);
  const double share = left / static_cast<double>(worker.serving_cpu);
  if (is_saturated && is_complete) {
    worker.idle_cpu.AddShare(share, now);
  } else {
    worker.idle_cpu.AddUpperBound(share, m_options.placement.serving_use, now);
  }
}

void Scheduler::NoteCapacityDecision(const WorkflowStep& step, int index, const PoolWorker& worker) {
  const StepDefinition& definition = *step.definition;
  if (definition.fills_idle_cpu) {
    const bool is_unknown = std::any_of(worker.serving.begin(), worker.serving.end(), [&](const auto& serving) {
      return !m_interference.table().IsKnown(serving.first, definition.image);
    });
    if (is_unknown) ++(m_policy.IsProbing(definition.image, worker) ? m_counts.crowded_probes : m_counts.probes);
    return;
  }
  if (definition.tail_target_ms == 0) return;
  if (worker.serving.empty()) ++m_counts.first_servings;
  if (!m_filling_capacity.HasDemand()) return;
  const bool is_new_image = !worker.serving.contains(definition.image);
  LogEvent(
      LogLevel::kInfo, "serving_placed",
      {{"task", step.TaskNameOf(index)},
       {"image", definition.image},
       {"worker", worker.life.worker},
       {"new_image", is_new_image},
       {"images", worker.serving.size()},
       {"filling_capacity", static_cast<std::int64_t>(m_filling_capacity.Of(m_policy.FillingRoomOf(worker)))},
       {"disturbing_percent", static_cast<std::int64_t>(100 * m_filling_capacity.DisturbingShare(definition.image))}});
}

void Scheduler::LogFillingCapacity(MonotonicTime now) {
  if (now < m_next_capacity_log || !m_filling_capacity.HasDemand()) return;
  m_next_capacity_log = now + kCapacityLogInterval;
  double capacity = 0;
  double idle = 0;
  std::size_t without_serving = 0;
  double used_share = 0;
  std::size_t with_serving = 0;
  for (const PoolWorker* worker : m_workers.workers()) {
    capacity += m_filling_capacity.Of(m_policy.FillingRoomOf(*worker));
    idle += m_policy.IdleCpu(*worker);
    if (worker->serving.empty()) {
      ++without_serving;
      continue;
    }
    ++with_serving;
    used_share += worker->idle_cpu.ServingShare(m_options.placement.serving_use);
  }
  LogEvent(LogLevel::kInfo, "filling_capacity",
           {{"cpu", static_cast<std::int64_t>(capacity)},
            {"idle_cpu", static_cast<std::int64_t>(idle)},
            {"workers_without_serving", without_serving},
            {"serving_use_percent",
             with_serving == 0 ? 0 : static_cast<std::int64_t>(100 * used_share / static_cast<double>(with_serving))},
            {"known_pairs", m_interference.table().size()}});
}

}  // namespace berylgauge::workflow
