#pragma once

#include <nlohmann/json.hpp>

#include "base/failure.h"
#include "cli/command_line.h"

namespace berylgauge {

/// The intent that the arguments state, as `POST /v1/plans` takes it; null if they state none.
Result<nlohmann::json> IntentDocument(const CommandLineArguments& arguments, const std::string& operator_name);

/// Reads a JSON file; "-" means standard input.
Result<nlohmann::json> ReadJsonFile(const std::string& path);

}  // namespace berylgauge
