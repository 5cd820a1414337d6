#pragma once

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "membership/heartbeat.h"
#include "schedule/attempt_answer.h"
#include "schedule/attempt_key.h"

namespace berylgauge {

class ConfigState;
class JobsState;

/// An agent's answer to a start or stop command of this owner.
struct CommandAnswer {
  AttemptKey key;
  WorkerId worker;
  AttemptAnswer answer;
};

/// What the owner of a share knows when it decides.
struct ShareInputs {
  const JobsState& jobs;
  const ConfigState& config;

  /// True while config, members and jobs streams have been read up to their tails a moment ago.
  bool log_is_fresh = false;
  bool owner_is_live = false;                   ///< the present owner of the share announces itself
  std::optional<absl::Duration> owner_silence;  ///< of the present owner; nothing if it was never heard
  std::optional<EntryId> preferred_entry;
  bool leaving = false;  ///< this entry is shutting down

  /// Wall clock, for the deadlines that teams give. Only the order of waiting tasks depends on it.
  absl::Time wall_now;

  std::vector<Heartbeat> heartbeats;   ///< that arrived since the last step, at most one for each worker
  std::vector<CommandAnswer> answers;  ///< that arrived since the last step

  /// Availability zone of a worker that this entry has heard.
  std::function<AvailabilityZoneId(const WorkerId&)> zone_of;

  /// Silence of a worker as this entry hears it; nothing if it was never heard.
  std::function<std::optional<absl::Duration>(const WorkerId&)> silence_of;
};

}  // namespace berylgauge
