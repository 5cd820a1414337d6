#pragma once

#include <cstdint>

#include "state/commands/config_command.h"
#include "state/limit_name.h"

namespace berylgauge {

/// Changes a limit; the value must be in the range of the limit.
class SetLimit final : public ConfigCommand {
 public:
  SetLimit(LimitName name, std::int64_t value);

  void Apply(ConfigState& state) const override;
  std::unique_ptr<ConfigCommand> Inverse(const ConfigState& state) const override;
  std::string Target() const override;
  nlohmann::json Current(const ConfigState& state) const override;
  nlohmann::json Next() const override;
  nlohmann::json ToJson() const override;

 private:
  LimitName m_name;
  std::int64_t m_value;
};

}  // namespace berylgauge
