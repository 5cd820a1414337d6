#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

/// An operator's intent with its plan, waiting for confirmation.
struct PlanProposed {
  PlanId plan;
  std::string operator_name;
  std::int64_t proposed_unix_ms = 0;
  ConfigVersion based_on = 0;  ///< version that the plan was computed from
  nlohmann::json commands;     ///< list of encoded configuration commands

  nlohmann::json ToJson() const;
};

/// The operator confirmed the plan; accepted only while the version is still `PlanProposed::based_on`.
struct PlanConfirmed {
  PlanId plan;
  std::string operator_name;
  std::int64_t confirmed_unix_ms = 0;
};

/// An owner has heard nothing of a worker: its agent must stop everything, in whatever incarnation it learns of this.
struct WorkerRevoked {
  WorkerId worker;
};

/// The worker's agent has stopped everything after it learnt of a revocation at or below `cleared`.
struct WorkerCleared {
  WorkerId worker;
  Offset cleared = kNoOffset;
};

/// A process has become the agent of a worker. The order of these records settles which agent is the present one.
struct AgentRegistered {
  WorkerId worker;
  Incarnation agent_incarnation = 0;
};

using ConfigRecord = std::variant<PlanProposed, PlanConfirmed, WorkerRevoked, WorkerCleared, AgentRegistered>;

nlohmann::json EncodeConfigRecord(const ConfigRecord& record);
Result<ConfigRecord> DecodeConfigRecord(const nlohmann::json& document);

}  // namespace berylgauge
