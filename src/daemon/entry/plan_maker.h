#pragma once

#include "base/failure.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "daemon/entry/plan.h"

namespace berylgauge {

class Clock;
class ConfigStream;
class ShareMap;
class WorkerDirectory;
struct Intent;

/// Computes the plan for an intent from the present state.
class PlanMaker {
 public:
  PlanMaker(const Clock& clock, const ConfigStream& config, const ShareMap& shares, const WorkerDirectory& workers);

  /// Fails with `kNotFound` if the intent names an availability zone or a worker that was never heard or configured.
  Result<Plan> Make(const Intent& intent) const;

 private:
  Result<void> CheckNames(const Intent& intent, MonotonicTime now) const;
  void AddDrain(const Intent& intent, MonotonicTime now, Plan& plan) const;

  const Clock& m_clock;
  const ConfigStream& m_config;
  const ShareMap& m_shares;
  const WorkerDirectory& m_workers;
};

}  // namespace berylgauge
