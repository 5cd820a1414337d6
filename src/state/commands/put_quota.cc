#include "state/commands/put_quota.h"

#include <utility>

#include "state/config_state.h"

namespace berylgauge {

PutQuota::PutQuota(TeamId id, std::optional<TeamQuota> value) : m_id(std::move(id)), m_value(std::move(value)) {}

void PutQuota::Apply(ConfigState& state) const {
  if (m_value) {
    state.PutQuota(*m_value);
  } else {
    state.RemoveQuota(m_id);
  }
}

std::unique_ptr<ConfigCommand> PutQuota::Inverse(const ConfigState& state) const {
  return std::make_unique<PutQuota>(m_id, Find(state));
}

std::string PutQuota::Target() const { return "quota of team " + m_id.value(); }

nlohmann::json PutQuota::Current(const ConfigState& state) const {
  const std::optional<TeamQuota> value = Find(state);
  return value ? value->ToJson() : nlohmann::json();
}

nlohmann::json PutQuota::Next() const { return m_value ? m_value->ToJson() : nlohmann::json(); }

nlohmann::json PutQuota::ToJson() const { return {{"command", "put-quota"}, {"id", m_id.value()}, {"value", Next()}}; }

std::optional<TeamQuota> PutQuota::Find(const ConfigState& state) const {
  const auto it = state.quotas().find(m_id);
  if (it == state.quotas().end()) return std::nullopt;
  return it->second;
}

}  // namespace berylgauge
