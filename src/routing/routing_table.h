#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "membership/heartbeat.h"
#include "membership/worker_registry.h"
#include "routing/endpoint_state.h"

namespace berylgauge {

/// How far an endpoint is from this entry; nearer ones are preferred while they have room.
enum class Tier { kOwnAvailabilityZone, kOwnRegion, kOtherRegion };

inline constexpr std::size_t kTierCount = 3;

/// One endpoint process that accepts new requests.
struct RoutedEndpoint {
  ServiceId service;
  std::string address;                ///< "ip:port" of the endpoint; the agent forwards to it
  Incarnation incarnation = 0;        ///< of the endpoint's process
  WorkerId worker;                    ///< the agent's worker
  std::string agent_address;          ///< "ip:port" of the agent's internal listener
  Incarnation agent_incarnation = 0;  ///< the agent refuses requests for another one
  AvailabilityZoneId availability_zone;
  Tier tier = Tier::kOtherRegion;
  int slots = 0;
  std::shared_ptr<EndpointState> state;  ///< never null; shared by successive tables
};

using RoutedEndpointPtr = std::shared_ptr<const RoutedEndpoint>;

/// The endpoints of one service by tier.
struct RoutedService {
  std::array<std::vector<RoutedEndpointPtr>, kTierCount> tiers;

  std::size_t EndpointCount() const;
};

/// Immutable snapshot of the endpoints that may receive requests; an entry keeps it in an `RcuCell`.
///
/// Leaving endpoints, endpoints without slots and those of leaving or silent agents are not in it. A table also ages:
/// the picker skips an endpoint whose agent was not heard for `remove_after`, even if no newer table was published.
class RoutingTable {
 public:
  struct Options {
    AvailabilityZoneId own_availability_zone;
    std::string own_region;
    absl::Duration suspect_after = absl::Milliseconds(1500);
    absl::Duration remote_suspect_after = absl::Milliseconds(2500);  ///< agents of other regions report every 2 s
    absl::Duration remove_after = absl::Seconds(3);
  };

  /// Table without endpoints.
  explicit RoutingTable(Options options) : m_options(std::move(options)) {}

  /// Builds the table that follows `former`; endpoint processes that are in both keep their state.
  static std::unique_ptr<const RoutingTable> Build(const WorkerRegistry& registry, const RoutingTable& former,
                                                   MonotonicTime now);

  /// The endpoints of a service, or nullptr if there are none.
  const RoutedService* Find(const ServiceId& service) const;

  /// Stores the outstanding counts and the time of an accepted heartbeat in the shared states. Needs no new table.
  void StoreReports(const Heartbeat& heartbeat, MonotonicTime now) const;

  /// True if the endpoint's agent was heard recently enough to receive requests at all.
  bool IsHeard(const RoutedEndpoint& endpoint, MonotonicTime now) const;

  /// True if heartbeats of the endpoint's agent are missing.
  bool IsSuspect(const RoutedEndpoint& endpoint, MonotonicTime now) const;

  const Options& options() const { return m_options; }
  const absl::flat_hash_map<ServiceId, RoutedService>& services() const { return m_services; }

 private:
  void AddWorker(const WorkerRecord& record, const RoutingTable& former);
  std::shared_ptr<EndpointState> FindState(const WorkerId& worker, const EndpointReport& report) const;

  Options m_options;
  absl::flat_hash_map<ServiceId, RoutedService> m_services;
  absl::flat_hash_map<WorkerId, std::vector<RoutedEndpointPtr>> m_endpoints_by_worker;
};

}  // namespace berylgauge
