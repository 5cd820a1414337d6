#pragma once

#include <string>

namespace berylgauge {

/// One key that the settings may have, as the reader knows it.
struct SettingsKey {
  std::string path;           ///< JSON path without "$.", for example "timing.heartbeat_ms"
  std::string default_value;  ///< "required" if there is none
  std::string allowed;        ///< allowed values in words, for example "1 to 64"
};

}  // namespace berylgauge
