#include "workflow/idle_cpu_model.h"

#include <algorithm>
#include <cmath>

namespace berylgauge::workflow {
namespace {

/// Longer than the 14 s in which the load of serving tasks swings, so that the spread covers the whole swing.
constexpr absl::Duration kHalfLife = absl::Seconds(20);
/// Weight of the initial share, in seconds of figures: values of one filler task (1.4 to 2.2 s) weigh about as much.
constexpr double kInitialWeight = 2;
/// Time that one figure stands for at most: reports are about half a second apart, and late ones tell no more.
constexpr double kMaxSeconds = 1;
/// Upper bounds count less than values. They come when the load is low and would pull the estimate below its mean.
constexpr double kBoundWeight = 0.3;
/// Part of the standard deviation that is added to the mean.
constexpr double kSpreadPart = 0.5;

}  // namespace

void IdleCpuModel::Decay(MonotonicTime now) {
  const absl::Duration age = std::max(now - m_decayed_at, absl::ZeroDuration());
  m_decayed_at = now;
  if (m_weight == 0) return;
  const double kept = std::exp2(-absl::FDivDuration(age, kHalfLife));
  m_weight *= kept;
  m_sum *= kept;
  m_squares *= kept;
}

double IdleCpuModel::TakeSeconds(MonotonicTime now) {
  const double seconds = std::clamp(absl::ToDoubleSeconds(now - m_added_at), 0.0, kMaxSeconds);
  m_added_at = now;
  return seconds;
}

void IdleCpuModel::AddShare(double share, MonotonicTime now) {
  Decay(now);
  Add(std::clamp(share, 0.0, 1.0), TakeSeconds(now));
}

void IdleCpuModel::AddUpperBound(double share, double initial_share, MonotonicTime now) {
  Decay(now);
  if (share >= Mean(initial_share)) return;
  Add(std::max(share, 0.0), kBoundWeight * TakeSeconds(now));
}

void IdleCpuModel::Add(double share, double weight) {
  m_weight += weight;
  m_sum += weight * share;
  m_squares += weight * share * share;
}

double IdleCpuModel::Mean(double initial_share) const {
  return (m_sum + kInitialWeight * initial_share) / (m_weight + kInitialWeight);
}

double IdleCpuModel::ServingShare(double initial_share) const {
  if (m_weight == 0) return initial_share;
  const double mean = Mean(initial_share);
  const double learned = m_sum / m_weight;
  const double variance = std::max(m_squares / m_weight - learned * learned, 0.0);
  // The spread is as uncertain as the mean while there are few values.
  const double trust = m_weight / (m_weight + kInitialWeight);
  return std::clamp(mean + trust * kSpreadPart * std::sqrt(variance), 0.0, 1.0);
}

}  // namespace berylgauge::workflow
