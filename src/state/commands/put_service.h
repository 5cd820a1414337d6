#pragma once

#include <optional>

#include "state/commands/config_command.h"
#include "state/service_config.h"

namespace berylgauge {

/// Creates or changes a service; without a value it removes it.
class PutService final : public ConfigCommand {
 public:
  PutService(ServiceId id, std::optional<ServiceConfig> value);

  void Apply(ConfigState& state) const override;
  std::unique_ptr<ConfigCommand> Inverse(const ConfigState& state) const override;
  std::string Target() const override;
  nlohmann::json Current(const ConfigState& state) const override;
  nlohmann::json Next() const override;
  nlohmann::json ToJson() const override;

 private:
  std::optional<ServiceConfig> Find(const ConfigState& state) const;

  ServiceId m_id;
  std::optional<ServiceConfig> m_value;
};

}  // namespace berylgauge
