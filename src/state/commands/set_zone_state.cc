#include "state/commands/set_zone_state.h"

#include <utility>

#include "state/config_state.h"

namespace berylgauge {

SetZoneState::SetZoneState(AvailabilityZoneId zone, AvailabilityState state)
    : m_zone(std::move(zone)), m_state(state) {}

void SetZoneState::Apply(ConfigState& state) const { state.SetZoneState(m_zone, m_state); }

std::unique_ptr<ConfigCommand> SetZoneState::Inverse(const ConfigState& state) const {
  return std::make_unique<SetZoneState>(m_zone, state.ZoneState(m_zone));
}

std::string SetZoneState::Target() const { return "availability zone " + m_zone.value(); }

nlohmann::json SetZoneState::Current(const ConfigState& state) const {
  return kAvailabilityStateNames.NameOf(state.ZoneState(m_zone));
}

nlohmann::json SetZoneState::Next() const { return kAvailabilityStateNames.NameOf(m_state); }

nlohmann::json SetZoneState::ToJson() const {
  return {{"command", "set-zone-state"}, {"zone", m_zone.value()}, {"state", Next()}};
}

}  // namespace berylgauge
