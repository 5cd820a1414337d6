#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <mutex>
#include <vector>

#include "base/enum_names.h"
#include "base/monotonic_time.h"
#include "routing/routing_table.h"

namespace berylgauge {

/// What an answer says about the health of an endpoint.
enum class EndpointSignal {
  kSuccess,
  kFailure,  ///< broken connection, timeout or a server error
  kNone,     ///< says nothing, for instance a refusal for lack of a slot
};

enum class EjectionReason { kConsecutiveFailures, kLatency };

inline constexpr auto kEjectionReasonNames = MakeEnumNames<EjectionReason>({
    {EjectionReason::kConsecutiveFailures, "consecutive-failures"},
    {EjectionReason::kLatency, "latency"},
});

/// An endpoint that was taken out of rotation.
struct Ejection {
  RoutedEndpointPtr endpoint;
  EjectionReason reason = EjectionReason::kLatency;
  absl::Duration duration;
};

/// Ejects endpoints that fail or are slow compared with the others of their service.
///
/// At least `min_serving_percent` of a service's endpoints, and at least one, stay in rotation, because ejecting most
/// of them overloads the rest. Each further ejection lasts twice as long; a healthy time of `ejection_decay` takes one
/// doubling back. Thread-safe; `Record` never waits for a lock.
class OutlierDetector {
 public:
  struct Options {
    int consecutive_failures = 5;
    double latency_factor = 3.0;                              ///< times the median of the other endpoints
    absl::Duration min_latency_gap = absl::Milliseconds(25);  ///< and by at least this much
    int min_latency_samples = 10;                             ///< since the last sweep
    std::size_t min_other_endpoints = 2;                      ///< with enough samples, to compare with
    int min_serving_percent = 50;
    absl::Duration base_ejection = absl::Seconds(5);
    absl::Duration max_ejection = absl::Minutes(5);
    absl::Duration ejection_decay = absl::Minutes(1);
  };

  explicit OutlierDetector(Options options) : m_options(options) {}

  /// Takes an answer into account and ejects the endpoint after too many consecutive failures. Returns true if it did.
  bool Record(const RoutingTable& table, const RoutedEndpoint& endpoint, EndpointSignal signal, absl::Duration latency,
              MonotonicTime now);

  /// Compares latencies within each service and ejects the slow endpoints, slowest first. Call it about once a second.
  std::vector<Ejection> Sweep(const RoutingTable& table, MonotonicTime now);

  /// How long the endpoint would be ejected now.
  absl::Duration NextEjection(const EndpointState& state, MonotonicTime now) const;

 private:
  bool MayEject(const RoutedService& service, MonotonicTime now) const;
  int DecayedEjections(const EndpointState& state, MonotonicTime now) const;
  absl::Duration EjectionFor(int ejections) const;
  absl::Duration Eject(EndpointState& state, MonotonicTime now);
  void SweepService(const RoutedService& service, MonotonicTime now, std::vector<Ejection>& ejections);

  Options m_options;
  std::mutex m_mutex;  ///< makes counting the ejected endpoints and ejecting one more a single step
};

}  // namespace berylgauge
