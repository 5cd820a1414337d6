#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <vector>

#include "membership/worker_registry.h"
#include "routing/routing_table.h"

namespace berylgauge {

inline MonotonicTime At(std::int64_t ms) { return MonotonicTime(absl::Milliseconds(ms)); }

/// One worker with one endpoint of the service "dispatch".
struct WorkerSpec {
  std::string worker;
  std::string availability_zone = "z1";
  std::string region = "ie-west";
  int slots = 4;
  int outstanding = 0;
  bool endpoint_leaving = false;
  bool agent_leaving = false;
  Incarnation agent_incarnation = 7;
  Incarnation endpoint_incarnation = 3;
  std::uint64_t sequence = 1;
};

inline Heartbeat HeartbeatOf(const WorkerSpec& spec) {
  return {.worker = WorkerId(spec.worker),
          .rack = RackId("r1"),
          .availability_zone = AvailabilityZoneId(spec.availability_zone),
          .region = spec.region,
          .incarnation = spec.agent_incarnation,
          .sequence = spec.sequence,
          .boot_id = "b1",
          .address = "127.0.0." + spec.worker.substr(1) + ":7300",
          .leaving = spec.agent_leaving,
          .endpoints = {{.service = ServiceId("dispatch"),
                         .address = "127.0.0." + spec.worker.substr(1) + ":8080",
                         .incarnation = spec.endpoint_incarnation,
                         .slots = spec.slots,
                         .outstanding = spec.outstanding,
                         .leaving = spec.endpoint_leaving}}};
}

inline RoutingTable::Options TableOptions() {
  return {.own_availability_zone = AvailabilityZoneId("z1"), .own_region = "ie-west"};
}

/// Table of workers that were all heard at `now`.
inline std::unique_ptr<const RoutingTable> TableOf(const std::vector<WorkerSpec>& workers, MonotonicTime now = At(0)) {
  WorkerRegistry registry({.own_region = "ie-west"});
  for (const WorkerSpec& worker : workers) registry.Apply(HeartbeatOf(worker), now);
  return RoutingTable::Build(registry, RoutingTable(TableOptions()), now);
}

/// The endpoint of a worker in the table; null if it is not there.
inline RoutedEndpointPtr EndpointOf(const RoutingTable& table, const std::string& worker) {
  const RoutedService* service = table.Find(ServiceId("dispatch"));
  if (service == nullptr) return nullptr;
  for (const auto& tier : service->tiers) {
    for (const RoutedEndpointPtr& endpoint : tier) {
      if (endpoint->worker == WorkerId(worker)) return endpoint;
    }
  }
  return nullptr;
}

}  // namespace berylgauge
