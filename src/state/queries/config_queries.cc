#include "state/queries/config_queries.h"

#include "state/config_state.h"

namespace berylgauge {

nlohmann::json ListAudit(const ConfigState& state) { return ChangesSince(state, 0); }

nlohmann::json ChangesSince(const ConfigState& state, ConfigVersion version) {
  nlohmann::json list = nlohmann::json::array();
  for (const AuditRecord& record : state.audit()) {
    if (record.version > version) list.push_back(record.ToJson());
  }
  return list;
}

nlohmann::json DescribeConfig(const ConfigState& state) {
  nlohmann::json document = {{"version", state.version()}, {"offset", state.offset()}};
  for (const auto& [zone, value] : state.zones()) {
    document["availability_zones"][zone.value()] = kAvailabilityStateNames.NameOf(value);
  }
  for (const auto& [worker, value] : state.workers()) {
    document["workers"][worker.value()] = kAvailabilityStateNames.NameOf(value);
  }
  for (const auto& [service, value] : state.services()) document["services"][service.value()] = value.ToJson();
  for (const auto& [team, value] : state.quotas()) document["quotas"][team.value()] = value.ToJson();
  for (const auto& entry : kLimitNames.entries()) {
    document["limits"][std::string(entry.second)] = state.Limit(entry.first);
  }
  return document;
}

}  // namespace berylgauge
