#include "workflow/serving_load.h"

#include <algorithm>
#include <cmath>

namespace berylgauge::workflow {
namespace {

/// The rate is taken to fall by this share in a second if no task shows that it does not: loads change in seconds.
constexpr double kDecayPerSecond = 0.2;
/// The trend is taken over at least this time, because figures of half a second overlap.
constexpr double kTrendSeconds = 1.0;
constexpr double kTrendWeight = 0.5;
/// How far ahead a rising load is expected to rise on.
constexpr double kLookaheadSeconds = 3;
/// The lowest rate is forgotten at this share of the distance in a second.
constexpr double kTroughRecoveryPerSecond = 0.03;

double DecayFor(double seconds) { return std::exp(-kDecayPerSecond * seconds); }

}  // namespace

void ServingLoad::Add(double spare_rate, MonotonicTime now) {
  if (m_rate == 0) {
    m_rate = m_trough = m_trend_rate = spare_rate;
    m_updated_at = m_trend_at = now;
    return;
  }
  const double elapsed = absl::ToDoubleSeconds(now - m_updated_at);
  m_rate = std::max(spare_rate, m_rate * DecayFor(elapsed));
  m_trough = std::min(m_rate, m_trough + (m_rate - m_trough) * std::min(1.0, kTroughRecoveryPerSecond * elapsed));
  m_updated_at = now;
  const double trend_seconds = absl::ToDoubleSeconds(now - m_trend_at);
  if (trend_seconds < kTrendSeconds) return;
  m_trend += kTrendWeight * ((m_rate - m_trend_rate) / trend_seconds - m_trend);
  m_trend_rate = m_rate;
  m_trend_at = now;
}

double ServingLoad::Undisturbed(MonotonicTime now) const {
  return m_rate * DecayFor(std::max(0.0, absl::ToDoubleSeconds(now - m_updated_at)));
}

double ServingLoad::LowestSoon(MonotonicTime now) const {
  const double rate = Undisturbed(now);
  const double ahead = rate + m_trend * kLookaheadSeconds;
  return std::clamp(ahead, std::min(m_trough, rate), rate);
}

}  // namespace berylgauge::workflow
