#pragma once

#include <optional>
#include <string>

#include "base/event_log.h"
#include "base/ids.h"
#include "settings/agent_settings.h"
#include "settings/daemon_role.h"
#include "settings/entry_settings.h"
#include "settings/timing_settings.h"

namespace berylgauge {

/// Settings of one daemon process.
struct DaemonSettings {
  DaemonRole role = DaemonRole::kEntry;
  std::string node_id;  ///< unique among the processes of an installation
  AvailabilityZoneId availability_zone;
  std::string region;
  LogLevel log_level = LogLevel::kInfo;
  TimingSettings timing;
  std::optional<EntrySettings> entry;  ///< present in the role `entry`
  std::optional<AgentSettings> agent;  ///< present in the role `agent`
};

}  // namespace berylgauge
