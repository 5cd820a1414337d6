#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>
#include <absl/types/span.h>

#include <tl/expected.hpp>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "routing/endpoint_reservation.h"
#include "routing/routing_table.h"

namespace berylgauge {

/// Why no endpoint was picked.
enum class PickRefusal {
  kUnknownService,  ///< no endpoint of the service is known
  kNoEndpoint,      ///< all endpoints are excluded or silent
  kNoRoom,          ///< every usable endpoint has reached its slots; waiting may help
};

inline constexpr auto kPickRefusalNames = MakeEnumNames<PickRefusal>({
    {PickRefusal::kUnknownService, "unknown-service"},
    {PickRefusal::kNoEndpoint, "no-endpoint"},
    {PickRefusal::kNoRoom, "no-room"},
});

/// Chooses the endpoint for a request. Has no state of its own and may be used from several threads.
///
/// Order of preference: own availability zone, own region, other regions, each while it has room; then the endpoints
/// whose agent's heartbeats are missing. An ejected endpoint is used only if no other one is left. Within a tier the
/// least loaded of a few random candidates is taken, because choosing the least loaded of all would make entries that
/// share a view flood the same endpoint.
class EndpointPicker {
 public:
  struct Options {
    int candidates = 3;
    absl::Duration report_horizon = absl::Seconds(2);  ///< age at which an agent's report no longer counts
    absl::Duration slow_start = absl::Seconds(10);     ///< time to reach all slots after an ejection
    double slow_start_floor = 0.1;                     ///< share of the slots at the start of it
  };

  explicit EndpointPicker(Options options) : m_options(options) {}

  /// Picks an endpoint and reserves a slot at it. `excluded` are endpoints that were tried before.
  tl::expected<EndpointReservation, PickRefusal> Pick(const RoutingTable& table, const ServiceId& service,
                                                      absl::Span<const RoutedEndpointPtr> excluded, MonotonicTime now,
                                                      absl::BitGenRef random) const;

  /// Number of requests that the endpoint may receive from all entries at `now`: its slots, fewer during slow start.
  double UsableSlots(const RoutedEndpoint& endpoint, MonotonicTime now) const;

  /// Number of requests that this entry may have outstanding at the endpoint at `now`.
  int OwnLimit(const RoutedEndpoint& endpoint, MonotonicTime now) const;

 private:
  enum class Condition { kLive, kSuspect, kEjected, kUnusable };
  struct Search;

  Condition ConditionOf(const Search& search, const RoutedEndpoint& endpoint) const;
  double LoadOf(const RoutedEndpoint& endpoint, MonotonicTime now) const;
  RoutedEndpointPtr PickInTier(Search& search, const std::vector<RoutedEndpointPtr>& tier, Condition wanted) const;
  RoutedEndpointPtr PickLeastLoaded(Search& search, const std::vector<RoutedEndpointPtr>& tier, Condition wanted) const;

  Options m_options;
};

}  // namespace berylgauge
