#include "routing/endpoint_state.h"

#include <algorithm>

namespace berylgauge {
namespace {

/// Weight of a new latency in the mean: 1/8, so that about the last 20 requests count.
constexpr std::int64_t kLatencyDivisor = 8;

std::int64_t ToNanoseconds(MonotonicTime time) { return absl::ToInt64Nanoseconds(time.SinceBoot()); }

}  // namespace

MonotonicTime EndpointState::LoadTime(const std::atomic<std::int64_t>& ns) {
  const std::int64_t value = ns.load(std::memory_order_relaxed);
  return value == kNever ? InfinitePast() : MonotonicTime(absl::Nanoseconds(value));
}

bool EndpointState::TryAcquire(int limit) {
  int current = m_outstanding.load(std::memory_order_relaxed);
  while (current < limit) {
    if (m_outstanding.compare_exchange_weak(current, current + 1, std::memory_order_acq_rel)) return true;
  }
  return false;
}

void EndpointState::Release() { m_outstanding.fetch_sub(1, std::memory_order_acq_rel); }

void EndpointState::StoreReport(int reported, MonotonicTime now) {
  m_reported_others.store(std::max(0, reported - outstanding()), std::memory_order_relaxed);
  m_last_heard_ns.store(ToNanoseconds(now), std::memory_order_relaxed);
}

double EndpointState::EstimatedOthers(MonotonicTime now, absl::Duration horizon) const {
  const double age = absl::FDivDuration(now - last_heard(), horizon);
  return m_reported_others.load(std::memory_order_relaxed) * std::clamp(1.0 - age, 0.0, 1.0);
}

absl::Duration EndpointState::mean_latency() const {
  return absl::Nanoseconds(m_mean_latency_ns.load(std::memory_order_relaxed));
}

void EndpointState::AddLatency(absl::Duration latency) {
  const std::int64_t sample = absl::ToInt64Nanoseconds(latency);
  std::int64_t mean = m_mean_latency_ns.load(std::memory_order_relaxed);
  std::int64_t next = 0;
  do {
    next = mean == 0 ? sample : mean + (sample - mean) / kLatencyDivisor;
  } while (!m_mean_latency_ns.compare_exchange_weak(mean, next, std::memory_order_relaxed));
  m_latency_samples.fetch_add(1, std::memory_order_relaxed);
}

void EndpointState::Eject(MonotonicTime until, int ejections) {
  m_ejections.store(ejections, std::memory_order_relaxed);
  m_consecutive_failures.store(0, std::memory_order_relaxed);
  m_mean_latency_ns.store(0, std::memory_order_relaxed);
  m_latency_samples.store(0, std::memory_order_relaxed);
  m_ejected_until_ns.store(ToNanoseconds(until), std::memory_order_relaxed);
}

}  // namespace berylgauge
