#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/resources.h"

namespace berylgauge {

/// What an owner knows of a worker from its agent's heartbeats and the configuration.
struct WorkerView {
  WorkerId worker;
  RackId rack;
  AvailabilityZoneId zone;
  Incarnation agent_incarnation = 0;
  Resources capacity;        ///< what the agent admits in total: capacity minus reserve
  Resources booked;          ///< the agent's ledger
  Resources evictable;       ///< part of `booked` held by batch attempts that may be stopped for urgent work
  bool drained = false;      ///< the worker, its availability zone, or both; or revoked
  bool suspected = false;    ///< no heartbeat for a while
  bool quarantined = false;  ///< see `WorkerQuarantine`
  std::vector<std::pair<ServiceId, int>> services;   ///< running replicas
  std::vector<std::pair<std::string, int>> classes;  ///< running batch attempts of each job class
  MonotonicTime as_of = InfinitePast();              ///< local time when the heartbeat was received
};

}  // namespace berylgauge
