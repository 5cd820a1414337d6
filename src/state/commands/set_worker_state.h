#pragma once

#include "base/ids.h"
#include "state/availability_state.h"
#include "state/commands/config_command.h"

namespace berylgauge {

/// Takes a worker out, brings it back or declares it lost.
class SetWorkerState final : public ConfigCommand {
 public:
  SetWorkerState(WorkerId worker, AvailabilityState state);

  void Apply(ConfigState& state) const override;
  std::unique_ptr<ConfigCommand> Inverse(const ConfigState& state) const override;
  std::string Target() const override;
  nlohmann::json Current(const ConfigState& state) const override;
  nlohmann::json Next() const override;
  nlohmann::json ToJson() const override;

 private:
  WorkerId m_worker;
  AvailabilityState m_state;
};

}  // namespace berylgauge
