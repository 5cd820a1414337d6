#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "state/commands/config_command.h"

namespace berylgauge {

/// What an operator wants, and the edits of the configuration that express it.
struct Intent {
  std::string operator_name;
  std::vector<std::unique_ptr<ConfigCommand>> commands;
  AvailabilityZoneId drained_zone;  ///< set if an availability zone is taken out
  WorkerId drained_worker;          ///< set if a worker is taken out
  AvailabilityZoneId named_zone;    ///< must be known
  WorkerId named_worker;            ///< must be known
};

/// Reads the body of `POST /v1/plans`; a failure names the wrong field.
///
/// {"kind", "operator", and by kind: "target" | "service" | "quota" | "limit" and "value"}
Result<Intent> ParseIntent(const nlohmann::json& document);

}  // namespace berylgauge
