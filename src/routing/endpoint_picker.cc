#include "routing/endpoint_picker.h"

#include <absl/random/uniform_int_distribution.h>

#include <algorithm>
#include <cmath>

namespace berylgauge {

/// One call of `Pick`.
struct EndpointPicker::Search {
  const RoutingTable& table;
  absl::Span<const RoutedEndpointPtr> excluded;
  MonotonicTime now;
  absl::BitGenRef random;
  bool found_usable = false;  ///< an endpoint was met that lacked nothing but room

  std::size_t RandomIndex(std::size_t size) { return absl::uniform_int_distribution<std::size_t>(0, size - 1)(random); }
};

double EndpointPicker::UsableSlots(const RoutedEndpoint& endpoint, MonotonicTime now) const {
  const absl::Duration since_return = now - endpoint.state->ejected_until();
  if (since_return >= m_options.slow_start) return endpoint.slots;
  const double progress = std::max(0.0, absl::FDivDuration(since_return, m_options.slow_start));
  return std::max(1.0, endpoint.slots * std::max(m_options.slow_start_floor, progress));
}

int EndpointPicker::OwnLimit(const RoutedEndpoint& endpoint, MonotonicTime now) const {
  const double others = endpoint.state->EstimatedOthers(now, m_options.report_horizon);
  return static_cast<int>(std::floor(UsableSlots(endpoint, now) - others));
}

EndpointPicker::Condition EndpointPicker::ConditionOf(const Search& search, const RoutedEndpoint& endpoint) const {
  const bool is_excluded = std::any_of(search.excluded.begin(), search.excluded.end(),
                                       [&](const RoutedEndpointPtr& tried) { return tried->state == endpoint.state; });
  if (is_excluded || !search.table.IsHeard(endpoint, search.now)) return Condition::kUnusable;
  if (endpoint.state->IsEjected(search.now)) return Condition::kEjected;
  return search.table.IsSuspect(endpoint, search.now) ? Condition::kSuspect : Condition::kLive;
}

double EndpointPicker::LoadOf(const RoutedEndpoint& endpoint, MonotonicTime now) const {
  const double requests =
      endpoint.state->outstanding() + endpoint.state->EstimatedOthers(now, m_options.report_horizon);
  return (requests + 1.0) / UsableSlots(endpoint, now);
}

RoutedEndpointPtr EndpointPicker::PickLeastLoaded(Search& search, const std::vector<RoutedEndpointPtr>& tier,
                                                  Condition wanted) const {
  const std::size_t count = std::min(tier.size(), static_cast<std::size_t>(m_options.candidates));
  const std::size_t start = search.RandomIndex(tier.size());
  RoutedEndpointPtr best;
  double best_load = 0.0;
  for (std::size_t i = 0; i < count; ++i) {
    // A tier no larger than the number of candidates is looked at in full.
    const bool is_small = tier.size() <= count;
    const RoutedEndpointPtr& candidate = tier[is_small ? (start + i) % tier.size() : search.RandomIndex(tier.size())];
    if (ConditionOf(search, *candidate) != wanted) continue;
    if (candidate->state->outstanding() >= OwnLimit(*candidate, search.now)) continue;
    const double load = LoadOf(*candidate, search.now);
    if (best && load >= best_load) continue;
    best = candidate;
    best_load = load;
  }
  return best;
}

RoutedEndpointPtr EndpointPicker::PickInTier(Search& search, const std::vector<RoutedEndpointPtr>& tier,
                                             Condition wanted) const {
  if (tier.empty()) return nullptr;
  const RoutedEndpointPtr best = PickLeastLoaded(search, tier, wanted);
  if (best && best->state->TryAcquire(OwnLimit(*best, search.now))) return best;
  // All candidates were full or unsuitable: take the first endpoint with room, so that the tier is used up before the
  // next one.
  const std::size_t start = search.RandomIndex(tier.size());
  for (std::size_t i = 0; i < tier.size(); ++i) {
    const RoutedEndpointPtr& endpoint = tier[(start + i) % tier.size()];
    if (ConditionOf(search, *endpoint) != wanted) continue;
    search.found_usable = true;
    if (endpoint->state->TryAcquire(OwnLimit(*endpoint, search.now))) return endpoint;
  }
  return nullptr;
}

tl::expected<EndpointReservation, PickRefusal> EndpointPicker::Pick(const RoutingTable& table, const ServiceId& service,
                                                                    absl::Span<const RoutedEndpointPtr> excluded,
                                                                    MonotonicTime now, absl::BitGenRef random) const {
  const RoutedService* routed = table.Find(service);
  if (routed == nullptr) return tl::make_unexpected(PickRefusal::kUnknownService);
  Search search{.table = table, .excluded = excluded, .now = now, .random = random};
  for (const Condition wanted : {Condition::kLive, Condition::kSuspect, Condition::kEjected}) {
    if (wanted == Condition::kEjected && search.found_usable) break;
    for (const auto& tier : routed->tiers) {
      if (RoutedEndpointPtr endpoint = PickInTier(search, tier, wanted)) {
        return EndpointReservation(std::move(endpoint));
      }
    }
  }
  return tl::make_unexpected(search.found_usable ? PickRefusal::kNoRoom : PickRefusal::kNoEndpoint);
}

}  // namespace berylgauge
