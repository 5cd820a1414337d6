#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

#include "schedule/drain_plan.h"
#include "schedule/placer.h"
#include "schedule/worker_view.h"

namespace berylgauge {

struct DrainPlannerOptions {
  PlacerOptions placer;
  /// Steps that run at the same time. Limits how much capacity and how many replicas are in transition at once.
  std::size_t wave_size = 20;
  absl::Duration wave_interval = absl::Seconds(5);  ///< planned time for each wave
};

/// Plans how an availability zone or a worker is emptied.
///
/// Services first get a place elsewhere, if necessary by eviction of batch work there; then batch attempts are
/// checkpointed and moved within the capacity that is left, the most important first; the rest waits.
class DrainPlanner {
 public:
  explicit DrainPlanner(DrainPlannerOptions options = {});

  /// `workers` and `attempts` are all that is known; `booked` of a worker contains its attempts.
  DrainPlan Plan(const std::vector<WorkerView>& workers, const std::vector<RunningAttempt>& attempts,
                 const DrainTarget& target, absl::BitGenRef random) const;

 private:
  DrainPlannerOptions m_options;
};

}  // namespace berylgauge
