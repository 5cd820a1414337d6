#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "base/ids.h"

namespace berylgauge {

class JsonObjectReader;

/// What the running tasks of a team may hold together.
struct TeamQuota {
  TeamId team;
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const TeamQuota&) const = default;
  nlohmann::json ToJson() const;
};

TeamQuota ReadTeamQuota(JsonObjectReader reader);

}  // namespace berylgauge
