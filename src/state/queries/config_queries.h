#pragma once

#include <nlohmann/json.hpp>

#include "base/ids.h"

namespace berylgauge {

class ConfigState;

/// Accepted changes in order, oldest first.
nlohmann::json ListAudit(const ConfigState& state);

/// What changed after `version`, as a list of audit records.
nlohmann::json ChangesSince(const ConfigState& state, ConfigVersion version);

/// Availability zones and workers that are not open, services, quotas and limits.
nlohmann::json DescribeConfig(const ConfigState& state);

}  // namespace berylgauge
