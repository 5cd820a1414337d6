#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"
#include "membership/attempt_reports.h"
#include "membership/endpoint_report.h"

namespace berylgauge {

/// What an agent tells every entry each `heartbeat_ms`.
struct Heartbeat {
  WorkerId worker;
  RackId rack;
  AvailabilityZoneId availability_zone;
  std::string region;
  Incarnation incarnation = 0;  ///< of the agent's process
  std::uint64_t sequence = 0;   ///< from 1, grows with each heartbeat of the incarnation
  std::string boot_id;          ///< of the worker; empty until the agent has read the worker's report
  std::string address;          ///< "ip:port" of the agent's internal listener
  Resources capacity;
  Resources booked;         ///< reserved in the agent's ledger
  bool draining = false;    ///< no new tasks
  bool leaving = false;     ///< the agent is shutting down and refuses requests and tasks
  bool reconciled = false;  ///< the ledger was rebuilt from the worker's task list, so `running` is complete
  std::vector<EndpointReport> endpoints;
  std::vector<RunningAttemptReport> running;
  std::vector<EndedAttemptReport> ended;  ///< not acknowledged yet, oldest first
  ConfigVersion config_version = 0;       ///< newest configuration that the agent knows
  /// Offset of the configuration that the agent knew when, after a revocation, it had stopped everything; `kNoOffset`
  /// if that never happened.
  Offset cleared = kNoOffset;

  bool operator==(const Heartbeat&) const = default;
};

/// Encodes a heartbeat as CBOR. Ended attempts beyond `kMaxEndedAttempts` are left out, since they are reported again
/// after the first ones are acknowledged, and details are cut to `kMaxDetailBytes`. Fails if another limit is exceeded.
Result<std::string> EncodeHeartbeat(const Heartbeat& heartbeat);

/// Decodes strictly: unknown keys, wrong types, values out of range and oversized input are refused.
Result<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace berylgauge
