#include <algorithm>

#include "workflow/scheduler.h"

namespace berylgauge::workflow {

void Scheduler::NoteCapacityDecision(const WorkflowStep& step, const PoolWorker& worker) {
  const StepDefinition& definition = *step.definition;
  if (!definition.fills_idle_cpu) return;
  const bool is_unknown = std::any_of(worker.serving.begin(), worker.serving.end(), [&](const auto& serving) {
    return !m_interference.table().IsKnown(serving.first, definition.image);
  });
  if (is_unknown) ++(m_policy.IsProbing(definition.image, worker) ? m_counts.crowded_probes : m_counts.probes);
}

}  // namespace berylgauge::workflow
