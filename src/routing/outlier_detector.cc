#include "routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

#include "base/doubling_delay.h"

namespace berylgauge {
namespace {

/// Latency of one endpoint during a sweep.
struct Measurement {
  RoutedEndpointPtr endpoint;
  absl::Duration latency;
};

/// Lower median of all but the element at `index` of a sorted list of at least two.
absl::Duration MedianOfOthers(const std::vector<Measurement>& sorted, std::size_t index) {
  const std::size_t middle = (sorted.size() - 2) / 2;
  return sorted[middle < index ? middle : middle + 1].latency;
}

}  // namespace

int OutlierDetector::DecayedEjections(const EndpointState& state, MonotonicTime now) const {
  if (state.ejections() == 0) return 0;
  const double healthy_steps = std::floor(absl::FDivDuration(now - state.ejected_until(), m_options.ejection_decay));
  return static_cast<int>(std::clamp(state.ejections() - healthy_steps, 0.0, static_cast<double>(state.ejections())));
}

absl::Duration OutlierDetector::EjectionFor(int ejections) const {
  return DoublingDelay(ejections, m_options.base_ejection, m_options.max_ejection);
}

absl::Duration OutlierDetector::NextEjection(const EndpointState& state, MonotonicTime now) const {
  return EjectionFor(DecayedEjections(state, now) + 1);
}

absl::Duration OutlierDetector::Eject(EndpointState& state, MonotonicTime now) {
  const int ejections = DecayedEjections(state, now) + 1;
  const absl::Duration duration = EjectionFor(ejections);
  state.Eject(now + duration, ejections);
  return duration;
}

bool OutlierDetector::MayEject(const RoutedService& service, MonotonicTime now) const {
  std::size_t total = 0;
  std::size_t serving = 0;
  for (const auto& tier : service.tiers) {
    total += tier.size();
    serving += static_cast<std::size_t>(std::count_if(
        tier.begin(), tier.end(), [&](const RoutedEndpointPtr& endpoint) { return !endpoint->state->IsEjected(now); }));
  }
  const std::size_t percent = static_cast<std::size_t>(m_options.min_serving_percent);
  const std::size_t floor = std::max<std::size_t>(1, (total * percent + 99) / 100);
  return serving > floor;
}

bool OutlierDetector::Record(const RoutingTable& table, const RoutedEndpoint& endpoint, EndpointSignal signal,
                             absl::Duration latency, MonotonicTime now) {
  EndpointState& state = *endpoint.state;
  // Answers to requests from before the ejection say nothing about the endpoint after it.
  if (signal == EndpointSignal::kNone || state.IsEjected(now)) return false;
  if (signal == EndpointSignal::kSuccess) {
    state.ClearFailures();
    state.AddLatency(latency);
    return false;
  }
  if (state.AddFailure() < m_options.consecutive_failures) return false;
  const RoutedService* service = table.Find(endpoint.service);
  if (service == nullptr) return false;
  // When another thread holds the lock, the next failure tries again, since the count stays above the threshold.
  const std::unique_lock lock(m_mutex, std::try_to_lock);
  if (!lock.owns_lock() || state.IsEjected(now) || !MayEject(*service, now)) return false;
  Eject(state, now);
  return true;
}

void OutlierDetector::SweepService(const RoutedService& service, MonotonicTime now, std::vector<Ejection>& ejections) {
  std::vector<Measurement> measured;
  for (const auto& tier : service.tiers) {
    for (const RoutedEndpointPtr& endpoint : tier) {
      EndpointState& state = *endpoint->state;
      if (!state.IsEjected(now) && state.latency_samples() >= m_options.min_latency_samples) {
        measured.push_back({.endpoint = endpoint, .latency = state.mean_latency()});
      }
      state.ClearLatencySamples();
    }
  }
  if (measured.size() < m_options.min_other_endpoints + 1) return;
  std::sort(measured.begin(), measured.end(),
            [](const Measurement& a, const Measurement& b) { return a.latency < b.latency; });
  for (std::size_t i = measured.size(); i-- > 0;) {
    const absl::Duration median = MedianOfOthers(measured, i);
    const bool is_slow = measured[i].latency > median * m_options.latency_factor &&
                         measured[i].latency - median >= m_options.min_latency_gap;
    if (!is_slow || !MayEject(service, now)) return;
    const absl::Duration duration = Eject(*measured[i].endpoint->state, now);
    ejections.push_back({.endpoint = measured[i].endpoint, .reason = EjectionReason::kLatency, .duration = duration});
  }
}

std::vector<Ejection> OutlierDetector::Sweep(const RoutingTable& table, MonotonicTime now) {
  std::vector<Ejection> ejections;
  const std::lock_guard lock(m_mutex);
  for (const auto& [id, service] : table.services()) SweepService(service, now, ejections);
  return ejections;
}

}  // namespace berylgauge
