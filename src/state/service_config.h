#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "base/ids.h"

namespace berylgauge {

class JsonObjectReader;

/// How requests for a service are treated.
struct ServiceConfig {
  ServiceId name;
  std::int64_t importance = 5;             ///< 0 (least) to 9
  std::int64_t request_timeout_ms = 5000;  ///< longest time that a caller may ask for
  std::int64_t max_outstanding = 1000;     ///< requests under way at one entry

  bool operator==(const ServiceConfig&) const = default;
  nlohmann::json ToJson() const;
};

ServiceConfig ReadServiceConfig(JsonObjectReader reader);

}  // namespace berylgauge
