#pragma once

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "state/agent_history.h"
#include "state/availability_state.h"
#include "state/batch_deduplicator.h"
#include "state/config_records.h"
#include "state/fold_outcome.h"
#include "state/limit_name.h"
#include "state/service_config.h"
#include "state/team_quota.h"

namespace berylgauge {

struct Batch;

/// An accepted change of the configuration, for the audit trail.
struct AuditRecord {
  ConfigVersion version = 0;
  Offset offset = kNoOffset;
  PlanId plan;
  std::string operator_name;
  std::int64_t confirmed_unix_ms = 0;
  std::string target;
  nlohmann::json from;
  nlohmann::json to;

  nlohmann::json ToJson() const;
};

/// Fold of the `config` stream: what operators have decided.
///
/// The version counts accepted plans. It only grows, and it is the same at every reader of the same offset.
class ConfigState {
 public:
  /// Folds the batch at `offset` and returns the outcome of each of its records.
  std::vector<FoldOutcome> Apply(const Batch& batch, Offset offset);

  Offset offset() const { return m_offset; }
  ConfigVersion version() const { return m_version; }

  AvailabilityState ZoneState(const AvailabilityZoneId& zone) const;
  AvailabilityState WorkerState(const WorkerId& worker) const;

  /// Offset of the revocation of the worker that is in force; `kNoOffset` if there is none.
  Offset RevokedAt(const WorkerId& worker) const;

  /// The registered agents of a worker; its present agent is the one registered last.
  const AgentHistory& AgentsOf(const WorkerId& worker) const;
  std::int64_t Limit(LimitName name) const;

  const std::map<AvailabilityZoneId, AvailabilityState>& zones() const { return m_zones; }
  const std::map<WorkerId, AvailabilityState>& workers() const { return m_workers; }
  const std::map<ServiceId, ServiceConfig>& services() const { return m_services; }
  const std::map<TeamId, TeamQuota>& quotas() const { return m_quotas; }
  const std::deque<AuditRecord>& audit() const { return m_audit; }

  /// The proposed plan, or nullptr if it is unknown, confirmed or too old.
  const PlanProposed* FindPlan(const PlanId& plan) const;

  /// Edits used by the configuration commands alone.
  void SetZoneState(const AvailabilityZoneId& zone, AvailabilityState state);
  void SetWorkerState(const WorkerId& worker, AvailabilityState state);
  void PutService(const ServiceConfig& service);
  void RemoveService(const ServiceId& service);
  void PutQuota(const TeamQuota& quota);
  void RemoveQuota(const TeamId& team);
  void SetLimit(LimitName name, std::int64_t value);

  nlohmann::json ToJson() const;

  /// Replaces the state by that of a snapshot; fails with `FailureCode::kCorrupt`.
  Result<void> Restore(const nlohmann::json& document);

 private:
  FoldOutcome Fold(const PlanProposed& record, Offset offset);
  FoldOutcome Fold(const PlanConfirmed& record, Offset offset);
  FoldOutcome Fold(const WorkerRevoked& record, Offset offset);
  FoldOutcome Fold(const WorkerCleared& record, Offset offset);
  FoldOutcome Fold(const AgentRegistered& record, Offset offset);

  Offset m_offset = kNoOffset;
  ConfigVersion m_version = 0;
  BatchDeduplicator m_writers;
  std::map<AvailabilityZoneId, AvailabilityState> m_zones;  ///< without those that are open
  std::map<WorkerId, AvailabilityState> m_workers;          ///< without those that are open
  std::map<WorkerId, Offset> m_revoked;
  std::map<WorkerId, AgentHistory> m_agents;
  std::map<ServiceId, ServiceConfig> m_services;
  std::map<TeamId, TeamQuota> m_quotas;
  std::map<LimitName, std::int64_t> m_limits;
  std::map<PlanId, PlanProposed> m_plans;
  std::deque<PlanId> m_plan_order;
  std::deque<AuditRecord> m_audit;
};

}  // namespace berylgauge
