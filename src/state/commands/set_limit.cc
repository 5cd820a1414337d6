#include "state/commands/set_limit.h"

#include "state/config_state.h"

namespace berylgauge {

SetLimit::SetLimit(LimitName name, std::int64_t value) : m_name(name), m_value(value) {}

void SetLimit::Apply(ConfigState& state) const { state.SetLimit(m_name, m_value); }

std::unique_ptr<ConfigCommand> SetLimit::Inverse(const ConfigState& state) const {
  return std::make_unique<SetLimit>(m_name, state.Limit(m_name));
}

std::string SetLimit::Target() const { return "limit " + std::string(kLimitNames.NameOf(m_name)); }

nlohmann::json SetLimit::Current(const ConfigState& state) const { return state.Limit(m_name); }

nlohmann::json SetLimit::Next() const { return m_value; }

nlohmann::json SetLimit::ToJson() const {
  return {{"command", "set-limit"}, {"limit", kLimitNames.NameOf(m_name)}, {"value", m_value}};
}

}  // namespace berylgauge
