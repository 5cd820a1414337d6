#include "state/config_state.h"

#include <utility>

#include "base/json_object_reader.h"
#include "state/batch.h"
#include "state/commands/config_command.h"

namespace berylgauge {
namespace {

/// A plan that was not confirmed is forgotten when this many newer ones were proposed.
constexpr std::size_t kMaxPlans = 200;

/// Changes kept for the audit trail: more than a day at 1,500 changes a day.
constexpr std::size_t kMaxAuditRecords = 2'000;

constexpr std::size_t kMaxObjectsInSnapshot = 100'000;

template <typename Key>
void SetOrEraseOpen(std::map<Key, AvailabilityState>& states, const Key& key, AvailabilityState state) {
  if (state == AvailabilityState::kOpen) {
    states.erase(key);
  } else {
    states[key] = state;
  }
}

template <typename Key>
AvailabilityState StateOrOpen(const std::map<Key, AvailabilityState>& states, const Key& key) {
  const auto it = states.find(key);
  return it == states.end() ? AvailabilityState::kOpen : it->second;
}

template <typename Key>
nlohmann::json StatesToJson(const std::map<Key, AvailabilityState>& states) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, state] : states) {
    list.push_back({{"id", id.value()}, {"state", kAvailabilityStateNames.NameOf(state)}});
  }
  return list;
}

template <typename Key>
void ReadStates(std::vector<JsonObjectReader> items, std::map<Key, AvailabilityState>& states) {
  for (JsonObjectReader& item : items) {
    const Key id(item.String("id"));
    states[id] = item.Enum("state", kAvailabilityStateNames);
    item.Finish();
  }
}

template <typename Map>
nlohmann::json ValuesToJson(const Map& map) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, value] : map) list.push_back(value.ToJson());
  return list;
}

}  // namespace

nlohmann::json AuditRecord::ToJson() const {
  return {{"version", version},
          {"plan", plan.value()},
          {"offset", offset},
          {"operator", operator_name},
          {"at_unix_ms", confirmed_unix_ms},
          {"target", target},
          {"from", from},
          {"to", to}};
}

std::vector<FoldOutcome> ConfigState::Apply(const Batch& batch, Offset offset) {
  std::vector<FoldOutcome> outcomes(batch.records.size(), FoldOutcome::kRepeat);
  if (offset <= m_offset) return outcomes;
  m_offset = offset;
  if (!m_writers.Accept(batch, offset)) return outcomes;
  for (std::size_t i = 0; i < batch.records.size(); ++i) {
    const Result<ConfigRecord> record = DecodeConfigRecord(batch.records[i]);
    outcomes[i] = FoldOutcome::kMalformed;
    if (record) outcomes[i] = std::visit([&](const auto& r) { return Fold(r, offset); }, *record);
  }
  return outcomes;
}

FoldOutcome ConfigState::Fold(const PlanProposed& record, Offset /*offset*/) {
  if (m_plans.contains(record.plan)) return FoldOutcome::kRepeat;
  m_plans[record.plan] = record;
  m_plan_order.push_back(record.plan);
  while (m_plan_order.size() > kMaxPlans) {
    m_plans.erase(m_plan_order.front());
    m_plan_order.pop_front();
  }
  return FoldOutcome::kAccepted;
}

FoldOutcome ConfigState::Fold(const PlanConfirmed& record, Offset offset) {
  const auto it = m_plans.find(record.plan);
  if (it == m_plans.end()) return FoldOutcome::kUnknownObject;
  if (it->second.based_on != m_version) return FoldOutcome::kStaleVersion;
  std::vector<std::unique_ptr<ConfigCommand>> commands;
  for (const nlohmann::json& document : it->second.commands) {
    Result<std::unique_ptr<ConfigCommand>> command = ParseConfigCommand(document);
    if (!command) return FoldOutcome::kMalformed;
    commands.push_back(std::move(*command));
  }
  ++m_version;
  for (const std::unique_ptr<ConfigCommand>& command : commands) {
    m_audit.push_back({.version = m_version,
                       .offset = offset,
                       .plan = record.plan,
                       .operator_name = record.operator_name,
                       .confirmed_unix_ms = record.confirmed_unix_ms,
                       .target = command->Target(),
                       .from = command->Current(*this),
                       .to = command->Next()});
    command->Apply(*this);
  }
  while (m_audit.size() > kMaxAuditRecords) m_audit.pop_front();
  return FoldOutcome::kAccepted;
}

FoldOutcome ConfigState::Fold(const WorkerRevoked& record, Offset offset) {
  return m_revoked.try_emplace(record.worker, offset).second ? FoldOutcome::kAccepted : FoldOutcome::kRepeat;
}

FoldOutcome ConfigState::Fold(const WorkerCleared& record, Offset /*offset*/) {
  const auto it = m_revoked.find(record.worker);
  if (it == m_revoked.end()) return FoldOutcome::kRepeat;
  // The agent was clear before it could know of a later revocation.
  if (it->second > record.cleared) return FoldOutcome::kWrongState;
  m_revoked.erase(it);
  return FoldOutcome::kAccepted;
}

FoldOutcome ConfigState::Fold(const AgentRegistered& record, Offset /*offset*/) {
  return m_agents[record.worker].Register(record.agent_incarnation) ? FoldOutcome::kAccepted : FoldOutcome::kRepeat;
}

AvailabilityState ConfigState::ZoneState(const AvailabilityZoneId& zone) const { return StateOrOpen(m_zones, zone); }

AvailabilityState ConfigState::WorkerState(const WorkerId& worker) const { return StateOrOpen(m_workers, worker); }

Offset ConfigState::RevokedAt(const WorkerId& worker) const {
  const auto it = m_revoked.find(worker);
  return it == m_revoked.end() ? kNoOffset : it->second;
}

const AgentHistory& ConfigState::AgentsOf(const WorkerId& worker) const {
  static const AgentHistory kNone;
  const auto it = m_agents.find(worker);
  return it == m_agents.end() ? kNone : it->second;
}

std::int64_t ConfigState::Limit(LimitName name) const {
  const auto it = m_limits.find(name);
  return it == m_limits.end() ? RangeOf(name).default_value : it->second;
}

const PlanProposed* ConfigState::FindPlan(const PlanId& plan) const {
  const auto it = m_plans.find(plan);
  return it == m_plans.end() ? nullptr : &it->second;
}

void ConfigState::SetZoneState(const AvailabilityZoneId& zone, AvailabilityState state) {
  SetOrEraseOpen(m_zones, zone, state);
}

void ConfigState::SetWorkerState(const WorkerId& worker, AvailabilityState state) {
  SetOrEraseOpen(m_workers, worker, state);
}

void ConfigState::PutService(const ServiceConfig& service) { m_services[service.name] = service; }

void ConfigState::RemoveService(const ServiceId& service) { m_services.erase(service); }

void ConfigState::PutQuota(const TeamQuota& quota) { m_quotas[quota.team] = quota; }

void ConfigState::RemoveQuota(const TeamId& team) { m_quotas.erase(team); }

void ConfigState::SetLimit(LimitName name, std::int64_t value) { m_limits[name] = value; }

nlohmann::json ConfigState::ToJson() const {
  nlohmann::json revoked = nlohmann::json::array();
  for (const auto& [worker, offset] : m_revoked) {
    revoked.push_back({{"worker", worker.value()}, {"offset", offset}});
  }
  nlohmann::json agents = nlohmann::json::array();
  for (const auto& [worker, history] : m_agents) {
    nlohmann::json incarnations = nlohmann::json::array();
    for (const Incarnation incarnation : history.agents()) incarnations.push_back(std::to_string(incarnation));
    agents.push_back({{"worker", worker.value()}, {"agents", std::move(incarnations)}});
  }
  nlohmann::json limits = nlohmann::json::array();
  for (const auto& [name, value] : m_limits) {
    limits.push_back({{"limit", kLimitNames.NameOf(name)}, {"value", value}});
  }
  nlohmann::json plans = nlohmann::json::array();
  for (const PlanId& plan : m_plan_order) plans.push_back(m_plans.at(plan).ToJson());
  nlohmann::json audit = nlohmann::json::array();
  for (const AuditRecord& record : m_audit) audit.push_back(record.ToJson());
  return {{"offset", m_offset},
          {"version", m_version},
          {"writers", m_writers.ToJson()},
          {"zones", StatesToJson(m_zones)},
          {"workers", StatesToJson(m_workers)},
          {"revoked", std::move(revoked)},
          {"agents", std::move(agents)},
          {"services", ValuesToJson(m_services)},
          {"quotas", ValuesToJson(m_quotas)},
          {"limits", std::move(limits)},
          {"plans", std::move(plans)},
          {"audit", std::move(audit)}};
}

Result<void> ConfigState::Restore(const nlohmann::json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  ConfigState next;
  next.m_offset = reader.Integer("offset", {.min = kNoOffset});
  next.m_version = reader.Integer("version");
  next.m_writers.Restore(reader);
  ReadStates(reader.Objects("zones", kMaxObjectsInSnapshot), next.m_zones);
  ReadStates(reader.Objects("workers", kMaxObjectsInSnapshot), next.m_workers);
  for (JsonObjectReader& item : reader.Objects("revoked", kMaxObjectsInSnapshot)) {
    const WorkerId worker(item.String("worker"));
    next.m_revoked[worker] = item.Integer("offset");
    item.Finish();
  }
  for (JsonObjectReader& item : reader.Objects("agents", kMaxObjectsInSnapshot)) {
    AgentHistory& history = next.m_agents[WorkerId(item.String("worker"))];
    for (const std::string& incarnation : item.Strings("agents", kMaxObjectsInSnapshot)) {
      history.Register(std::strtoull(incarnation.c_str(), nullptr, 10));
    }
    item.Finish();
  }
  for (const JsonObjectReader& item : reader.Objects("services", kMaxObjectsInSnapshot)) {
    next.PutService(ReadServiceConfig(item));
  }
  for (const JsonObjectReader& item : reader.Objects("quotas", kMaxObjectsInSnapshot)) {
    next.PutQuota(ReadTeamQuota(item));
  }
  for (JsonObjectReader& item : reader.Objects("limits", kMaxObjectsInSnapshot)) {
    const LimitName name = item.Enum("limit", kLimitNames);
    next.m_limits[name] = item.Integer("value");
    item.Finish();
  }
  for (JsonObjectReader& item : reader.Objects("plans", kMaxPlans)) {
    PlanProposed plan;
    plan.plan = PlanId(item.String("plan"));
    plan.operator_name = item.String("operator");
    plan.proposed_unix_ms = item.Integer("at");
    plan.based_on = item.Integer("based_on");
    plan.commands = item.Json("commands");
    item.Finish();
    next.m_plan_order.push_back(plan.plan);
    next.m_plans[plan.plan] = std::move(plan);
  }
  for (JsonObjectReader& item : reader.Objects("audit", kMaxAuditRecords)) {
    AuditRecord record;
    record.version = item.Integer("version");
    record.offset = item.Integer("offset");
    record.plan = PlanId(item.String("plan"));
    record.operator_name = item.String("operator");
    record.confirmed_unix_ms = item.Integer("at_unix_ms");
    record.target = item.String("target");
    record.from = item.Json("from");
    record.to = item.Json("to");
    item.Finish();
    next.m_audit.push_back(std::move(record));
  }
  reader.Finish();
  if (!errors.empty()) {
    Failure failure = errors.ToFailure();
    failure.code = FailureCode::kCorrupt;
    return tl::make_unexpected(failure);
  }
  *this = std::move(next);
  return {};
}

}  // namespace berylgauge
