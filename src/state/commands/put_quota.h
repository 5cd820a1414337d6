#pragma once

#include <optional>

#include "state/commands/config_command.h"
#include "state/team_quota.h"

namespace berylgauge {

/// Creates or changes the quota of a team; without a value it removes it.
class PutQuota final : public ConfigCommand {
 public:
  PutQuota(TeamId id, std::optional<TeamQuota> value);

  void Apply(ConfigState& state) const override;
  std::unique_ptr<ConfigCommand> Inverse(const ConfigState& state) const override;
  std::string Target() const override;
  nlohmann::json Current(const ConfigState& state) const override;
  nlohmann::json Next() const override;
  nlohmann::json ToJson() const override;

 private:
  std::optional<TeamQuota> Find(const ConfigState& state) const;

  TeamId m_id;
  std::optional<TeamQuota> m_value;
};

}  // namespace berylgauge
