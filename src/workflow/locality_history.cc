#include "workflow/locality_history.h"

#include <cmath>

namespace berylgauge::workflow {
namespace {

/// Weight, in waits, of what is assumed of a rack without recent ones: as a rule the capacity becomes available.
constexpr double kPriorSuccesses = 3;
constexpr double kPriorFailures = 0.5;
/// An outcome counts for half after this time: a few runs of 1.4 to 2.2 s, after which others hold the rack.
constexpr absl::Duration kHalfLife = absl::Seconds(8);

}  // namespace

void LocalityHistory::Record(const std::string& rack, bool is_success, MonotonicTime now) {
  Outcomes& outcomes = m_outcomes[rack];
  outcomes = Decayed(outcomes, now);
  (is_success ? outcomes.successes : outcomes.failures) += 1;
}

double LocalityHistory::SuccessRate(const std::string& rack, MonotonicTime now) const {
  const auto found = m_outcomes.find(rack);
  const Outcomes outcomes = found == m_outcomes.end() ? Outcomes{} : Decayed(found->second, now);
  const double successes = kPriorSuccesses + outcomes.successes;
  return successes / (successes + kPriorFailures + outcomes.failures);
}

LocalityHistory::Outcomes LocalityHistory::Decayed(const Outcomes& outcomes, MonotonicTime now) {
  const double weight = std::exp2(-absl::FDivDuration(now - outcomes.counted_at, kHalfLife));
  return {.successes = outcomes.successes * weight, .failures = outcomes.failures * weight, .counted_at = now};
}

}  // namespace berylgauge::workflow
