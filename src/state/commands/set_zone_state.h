#pragma once

#include "base/ids.h"
#include "state/availability_state.h"
#include "state/commands/config_command.h"

namespace berylgauge {

/// Takes an availability zone out or brings it back.
class SetZoneState final : public ConfigCommand {
 public:
  SetZoneState(AvailabilityZoneId zone, AvailabilityState state);

  void Apply(ConfigState& state) const override;
  std::unique_ptr<ConfigCommand> Inverse(const ConfigState& state) const override;
  std::string Target() const override;
  nlohmann::json Current(const ConfigState& state) const override;
  nlohmann::json Next() const override;
  nlohmann::json ToJson() const override;

 private:
  AvailabilityZoneId m_zone;
  AvailabilityState m_state;
};

}  // namespace berylgauge
