#include "routing/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace berylgauge {

ConcurrencyLimiter::ConcurrencyLimiter(Options options, MonotonicTime now)
    : m_options(options), m_limit(options.initial_limit), m_window_start(now), m_next_probe(now) {}

bool ConcurrencyLimiter::TryAcquire() {
  int current = m_in_progress.load(std::memory_order_relaxed);
  while (current < limit()) {
    if (m_in_progress.compare_exchange_weak(current, current + 1, std::memory_order_acq_rel)) return true;
  }
  return false;
}

void ConcurrencyLimiter::Release(LoadSignal signal, absl::Duration latency, MonotonicTime now) {
  const int in_progress = m_in_progress.fetch_sub(1, std::memory_order_acq_rel);
  const std::lock_guard lock(m_mutex);
  m_peak_in_progress = std::max(m_peak_in_progress, in_progress);
  if (signal == LoadSignal::kLatency) {
    ++m_samples;
    m_latency_sum += latency;
  }
  if (signal == LoadSignal::kOverload) ++m_overloads;
  const bool has_enough = m_samples + m_overloads >= m_options.min_window_samples;
  if (has_enough && now - m_window_start >= m_options.min_window) CloseWindow(now);
}

absl::Duration ConcurrencyLimiter::MeanLatency() const {
  return m_samples == 0 ? absl::InfiniteDuration() : m_latency_sum / m_samples;
}

void ConcurrencyLimiter::SetLimit(int limit) {
  m_limit.store(std::clamp(limit, m_options.min_limit, m_options.max_limit), std::memory_order_relaxed);
}

void ConcurrencyLimiter::AdaptLimit() {
  const int current = limit();
  const absl::Duration mean = MeanLatency();
  m_baseline = std::min(m_baseline, mean);
  const bool is_slow = m_samples > 0 && mean > m_baseline * m_options.tolerance;
  if (m_overloads > 0 || is_slow) {
    SetLimit(static_cast<int>(std::floor(current * m_options.decrease_factor)));
  } else if (m_peak_in_progress * 2 >= current) {
    // An unused limit must not grow, or it would no longer limit anything when the load comes.
    SetLimit(current + std::max(1, static_cast<int>(std::sqrt(current))));
  }
}

void ConcurrencyLimiter::BeginProbe() {
  m_phase = Phase::kSettling;
  m_limit_before_probe = limit();
  SetLimit(static_cast<int>(m_limit_before_probe * m_options.probe_fraction));
}

void ConcurrencyLimiter::EndProbe(MonotonicTime now) {
  m_phase = Phase::kNormal;
  m_next_probe = now + m_options.probe_interval;
  SetLimit(m_limit_before_probe);
}

void ConcurrencyLimiter::ContinueProbe(MonotonicTime now) {
  if (m_overloads > 0) {
    // Overload under a fraction of the limit says enough; there may be no latency to measure either.
    m_limit_before_probe = static_cast<int>(std::floor(m_limit_before_probe * m_options.decrease_factor));
    EndProbe(now);
  } else if (m_phase == Phase::kMeasuring) {
    m_baseline = MeanLatency();
    EndProbe(now);
  } else if (m_peak_in_progress <= limit()) {
    m_phase = Phase::kMeasuring;
  }
}

void ConcurrencyLimiter::CloseWindow(MonotonicTime now) {
  if (m_phase == Phase::kNormal) {
    AdaptLimit();
    if (now >= m_next_probe) BeginProbe();
  } else {
    ContinueProbe(now);
  }
  m_window_start = now;
  m_latency_sum = absl::ZeroDuration();
  m_samples = 0;
  m_overloads = 0;
  m_peak_in_progress = 0;
}

}  // namespace berylgauge
