#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "state/config_records.h"

namespace berylgauge {

/// What an intent would do, for the operator to confirm.
struct Plan {
  PlanProposed proposal;               ///< goes to the log; the commands carry the plan out
  nlohmann::json changes;              ///< list of {"target", "from", "to"}
  std::vector<std::string> moves;      ///< tasks that run elsewhere directly afterwards
  std::vector<std::string> evictions;  ///< tasks stopped elsewhere to make room
  std::vector<std::string> waiting;    ///< tasks that are checkpointed and then wait for room
  std::vector<std::string> unmet;      ///< what cannot be kept, with the reason
  std::int64_t duration_s = 0;         ///< at the planned pace
  std::int64_t lost_work_s = 0;        ///< at most; checkpoints save the rest

  nlohmann::json ToJson() const;
};

}  // namespace berylgauge
