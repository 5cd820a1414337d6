#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/failure.h"
#include "base/ids.h"
#include "membership/attempt_reports.h"

namespace berylgauge {

/// Whether the configuration permits new tasks in an availability zone.
enum class AvailabilityZoneAdmission { kOpen, kDraining };

inline constexpr auto kAvailabilityZoneAdmissionNames = MakeEnumNames<AvailabilityZoneAdmission>({
    {AvailabilityZoneAdmission::kOpen, "open"},
    {AvailabilityZoneAdmission::kDraining, "draining"},
});

/// Whether the configuration permits new tasks on a worker.
enum class WorkerAdmission {
  kOpen,
  kDraining,
  kRevoked,     ///< the agent stops its tasks and reports the stop
  kSuperseded,  ///< another agent has registered for the worker; this one must not touch the worker any more
};

inline constexpr auto kWorkerAdmissionNames = MakeEnumNames<WorkerAdmission>({
    {WorkerAdmission::kOpen, "open"},
    {WorkerAdmission::kDraining, "draining"},
    {WorkerAdmission::kRevoked, "revoked"},
    {WorkerAdmission::kSuperseded, "superseded"},
});

/// An entry's answer to a heartbeat.
struct HeartbeatReply {
  EntryId entry;
  Incarnation entry_incarnation = 0;
  ConfigVersion config_version = 0;
  Offset offset = kNoOffset;                ///< tail of the `config` stream that the proof confirms
  std::optional<absl::Duration> proof_age;  ///< whole milliseconds, rounded up; absent if the entry holds no proof
  AvailabilityZoneAdmission availability_zone_admission = AvailabilityZoneAdmission::kOpen;
  WorkerAdmission worker_admission = WorkerAdmission::kOpen;
  bool is_registered = false;  ///< the log says that the sender is the present agent of the worker
  std::vector<AttemptAcknowledgement> acknowledged;
  std::vector<std::string> entries;  ///< internal addresses of the live entries

  bool operator==(const HeartbeatReply&) const = default;
};

/// Encodes a reply as CBOR; fails if a limit is exceeded.
Result<std::string> EncodeHeartbeatReply(const HeartbeatReply& reply);

/// Decodes strictly, as `DecodeHeartbeat`.
Result<HeartbeatReply> DecodeHeartbeatReply(std::string_view bytes);

}  // namespace berylgauge
