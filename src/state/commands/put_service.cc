#include "state/commands/put_service.h"

#include <utility>

#include "state/config_state.h"

namespace berylgauge {

PutService::PutService(ServiceId id, std::optional<ServiceConfig> value)
    : m_id(std::move(id)), m_value(std::move(value)) {}

void PutService::Apply(ConfigState& state) const {
  if (m_value) {
    state.PutService(*m_value);
  } else {
    state.RemoveService(m_id);
  }
}

std::unique_ptr<ConfigCommand> PutService::Inverse(const ConfigState& state) const {
  return std::make_unique<PutService>(m_id, Find(state));
}

std::string PutService::Target() const { return "service " + m_id.value(); }

nlohmann::json PutService::Current(const ConfigState& state) const {
  const std::optional<ServiceConfig> value = Find(state);
  return value ? value->ToJson() : nlohmann::json();
}

nlohmann::json PutService::Next() const { return m_value ? m_value->ToJson() : nlohmann::json(); }

nlohmann::json PutService::ToJson() const {
  return {{"command", "put-service"}, {"id", m_id.value()}, {"value", Next()}};
}

std::optional<ServiceConfig> PutService::Find(const ConfigState& state) const {
  const auto it = state.services().find(m_id);
  if (it == state.services().end()) return std::nullopt;
  return it->second;
}

}  // namespace berylgauge
