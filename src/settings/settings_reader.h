#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"
#include "base/json_errors.h"
#include "settings/daemon_settings.h"
#include "settings/settings_key.h"

namespace berylgauge {

/// Reads the settings file at `path`. The failure lists all errors; its field is the path of the first one.
Result<DaemonSettings> LoadSettings(const std::string& path);

/// All errors in the settings file at `path`; empty if a daemon could start with it. An unreadable file and invalid
/// JSON are reported at "$".
std::vector<JsonError> CheckSettings(const std::string& path);

/// Reads settings from JSON text and adds what is wrong to `errors`; the result is usable only if nothing was added.
DaemonSettings ParseSettings(std::string_view text, JsonErrors& errors);

/// All keys that settings of this role may have.
std::vector<SettingsKey> SettingsKeys(DaemonRole role);

}  // namespace berylgauge
