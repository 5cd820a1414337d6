#include "routing/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace berylgauge {

ConcurrencyLimiter::ConcurrencyLimiter(Options options, MonotonicTime now)
    : m_options(options), m_limit(options.initial_limit), m_window_start(now) {}

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

void ConcurrencyLimiter::CloseWindow(MonotonicTime now) {
  bool is_overloaded = m_overloads > 0;
  if (m_samples > 0) {
    const absl::Duration mean = m_latency_sum / m_samples;
    if (m_baseline != absl::InfiniteDuration()) m_baseline *= 1.0 + m_options.baseline_growth;
    m_baseline = std::min(m_baseline, mean);
    is_overloaded = is_overloaded || mean > m_baseline * m_options.tolerance;
  }
  const int current = limit();
  int next = current;
  if (is_overloaded) {
    next = static_cast<int>(std::floor(current * m_options.decrease_factor));
  } else if (m_peak_in_progress * 2 >= current) {
    // An unused limit must not grow, or it would no longer limit anything when the load comes.
    next = current + std::max(1, static_cast<int>(std::sqrt(current)));
  }
  m_limit.store(std::clamp(next, m_options.min_limit, m_options.max_limit), std::memory_order_relaxed);
  m_window_start = now;
  m_latency_sum = absl::ZeroDuration();
  m_samples = 0;
  m_overloads = 0;
  m_peak_in_progress = 0;
}

}  // namespace berylgauge
