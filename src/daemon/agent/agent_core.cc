#include "daemon/agent/agent_core.h"

#include <algorithm>
#include <utility>

namespace berylgauge {
namespace {

/// Shortest outage grace that a job may set. Attempts taken over from the worker run under it until their owner tells
/// their own, because the owner places a task again when the job's own grace has passed.
constexpr absl::Duration kShortestOutageGrace = absl::Seconds(60);

/// An older report does not prove that the list of attempts is complete: after a pause of this process another agent
/// may have started attempts on the worker.
constexpr absl::Duration kReportIsCurrent = absl::Seconds(2);

ReportedAttemptState ToReport(AttemptState state) {
  switch (state) {
    case AttemptState::kAdmitted:
    case AttemptState::kStarting:
      return ReportedAttemptState::kStarting;
    case AttemptState::kRunning:
      return ReportedAttemptState::kRunning;
    case AttemptState::kStopping:
    case AttemptState::kEnded:
      break;
  }
  return ReportedAttemptState::kStopping;
}

ReportedAttemptOutcome ToReport(const EndedAttempt& ended) {
  switch (ended.reason) {
    case EndReason::kSucceeded:
      return ReportedAttemptOutcome::kSucceeded;
    case EndReason::kFailed:
      return ReportedAttemptOutcome::kFailed;
    case EndReason::kStopped:
      return ReportedAttemptOutcome::kStopped;
    case EndReason::kLeaseExpired:
      return ReportedAttemptOutcome::kLeaseExpired;
    case EndReason::kNotStarted:
      return ReportedAttemptOutcome::kNotRun;
    case EndReason::kWorkerRestarted:
    case EndReason::kUnknownToWorker:
      break;
  }
  return ReportedAttemptOutcome::kWorkerLost;
}

}  // namespace

AgentCore::AgentCore(AgentCoreOptions options, Incarnation incarnation, MonotonicTime now)
    : m_options(std::move(options)),
      m_incarnation(incarnation),
      m_table(MakeTable(incarnation, now)),
      m_endpoints(EndpointRegistry::Options{.remove_after = m_options.endpoint_silent}),
      m_gate(AgentRequestGate::Options{.agent_incarnation = incarnation}) {}

std::unique_ptr<AttemptTable> AgentCore::MakeTable(Incarnation incarnation, MonotonicTime now) const {
  return std::make_unique<AttemptTable>(AttemptTableOptions{
      .worker = m_options.worker,
      .incarnation = incarnation,
      .started_at = now,
      .ledger = {.reserve = m_options.reserve},
      .start_freshness = m_options.start_freshness,
      .adopted_terms = {.task_lease = m_options.task_lease, .outage_grace = kShortestOutageGrace},
  });
}

AttemptAnswer AgentCore::Start(const StartCommand& command, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  if (m_leaving) {
    // Withdrawing keeps a tombstone, so that this attempt cannot start later either.
    const EndCommand end{.key = command.key,
                         .share = command.share,
                         .offset = command.offset,
                         .agent_incarnation = command.agent_incarnation,
                         .placed_incarnation = command.agent_incarnation};
    return m_table->HandleWithdraw(end, now);
  }
  return m_table->HandleStart(command, now);
}

AttemptAnswer AgentCore::Withdraw(const EndCommand& command, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  return m_table->HandleWithdraw(command, now);
}

AttemptAnswer AgentCore::Stop(const EndCommand& command, bool with_checkpoint, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  return m_table->HandleStop(command, with_checkpoint, now);
}

void AgentCore::RestoreTerms(const AttemptKey& key, const AttemptTerms& terms) {
  const absl::MutexLock lock(&m_mutex);
  m_table->RestoreTerms(key, terms);
}

void AgentCore::Reconcile(const WorkerReport& report, MonotonicTime requested_at, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  m_table->Reconcile(report, requested_at, now);
  m_last_report = std::max(m_last_report, requested_at);
}

std::vector<WorkerCommand> AgentCore::TakeCommands(MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  return m_table->TakeCommands(now);
}

void AgentCore::HandleResult(Incarnation incarnation, const WorkerCommand& command, const Result<void>& result,
                             MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  if (incarnation == m_incarnation) m_table->HandleResult(command, result, now);
}

AnnouncementDecision AgentCore::Announce(const EndpointAnnouncement& announcement, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  return m_endpoints.Apply(announcement, now);
}

GateAnswer AgentCore::Admit(const GateRequest& request, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  return m_gate.Admit(request, m_endpoints, now);
}

GateAnswer AgentCore::BeginForward(const RequestId& id, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  return m_gate.BeginForward(id, now);
}

Verdict AgentCore::Complete(const RequestId& id, ForwardResult result) {
  const absl::MutexLock lock(&m_mutex);
  return m_gate.Complete(id, result);
}

std::size_t AgentCore::OutstandingRequests() const {
  const absl::MutexLock lock(&m_mutex);
  return m_gate.outstanding();
}

Heartbeat AgentCore::NextHeartbeat(MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  m_endpoints.Expire(now);
  Heartbeat heartbeat;
  heartbeat.worker = m_options.worker;
  heartbeat.rack = m_options.rack;
  heartbeat.availability_zone = m_options.availability_zone;
  heartbeat.region = m_options.region;
  heartbeat.incarnation = m_incarnation;
  heartbeat.sequence = ++m_sequence;
  heartbeat.boot_id = m_table->boot_id();
  heartbeat.address = m_options.internal_address;
  heartbeat.capacity = m_table->ledger().Admissible();
  heartbeat.booked = m_table->ledger().booked();
  const WorkerStanding& standing = m_table->standing();
  heartbeat.draining = standing.zone_drained || standing.worker_drained || standing.worker_revoked;
  heartbeat.leaving = m_leaving;
  heartbeat.reconciled = m_table->IsReconciled() && now - m_last_report <= kReportIsCurrent;
  heartbeat.config_version = m_table->config_version();
  for (const EndpointRecord* record : m_endpoints.Live(now)) {
    const EndpointAnnouncement& endpoint = record->last;
    heartbeat.endpoints.push_back(
        {.service = endpoint.service,
         .address = endpoint.address,
         .incarnation = endpoint.incarnation,
         .slots = endpoint.slots,
         .outstanding = m_gate.OutstandingOf(endpoint.service, endpoint.address, endpoint.incarnation),
         .leaving = endpoint.leaving});
  }
  for (const AttemptView& attempt : m_table->Attempts()) {
    heartbeat.running.push_back(
        {.task = attempt.key.task, .attempt = attempt.key.attempt, .state = ToReport(attempt.state)});
  }
  for (const EndedAttempt& ended : m_table->Ended()) {
    heartbeat.ended.push_back({.task = ended.key.task,
                               .attempt = ended.key.attempt,
                               .agent_incarnation = m_incarnation,
                               .outcome = ToReport(ended),
                               .checkpoint = ended.checkpoint,
                               .detail = ended.detail});
  }
  return heartbeat;
}

void AgentCore::ApplyReply(Incarnation incarnation, const HeartbeatReply& reply, MonotonicTime sent_at) {
  const absl::MutexLock lock(&m_mutex);
  if (incarnation != m_incarnation) return;
  const WorkerStanding standing{
      .zone_drained = reply.availability_zone_admission == AvailabilityZoneAdmission::kDraining,
      .worker_drained = reply.worker_admission == WorkerAdmission::kDraining,
      .worker_revoked = reply.worker_admission == WorkerAdmission::kRevoked,
  };
  m_table->ApplyConfig(reply.config_version, standing);
  if (reply.proof_age) {
    // The entry computed the age after this heartbeat was sent, so this instant is never later than the true one.
    m_table->ApplyProof({.version = reply.config_version, .offset = reply.offset, .at = sent_at - *reply.proof_age});
  }
  for (const AttemptAcknowledgement& acknowledged : reply.acknowledged) {
    m_table->AcknowledgeEnded({.task = acknowledged.task, .attempt = acknowledged.attempt});
  }
}

void AgentCore::BeginLeaving() {
  const absl::MutexLock lock(&m_mutex);
  m_leaving = true;
  m_gate.BeginLeaving();
}

bool AgentCore::RenewIncarnationIfRevoked(Incarnation next, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  if (!m_table->standing().worker_revoked || !m_table->IsReconciled()) return false;
  if (m_table->HasAttempts() || !m_table->Ended().empty() || m_gate.outstanding() > 0) return false;
  m_incarnation = next;
  m_sequence = 0;
  m_table = MakeTable(next, now);
  m_gate = AgentRequestGate(AgentRequestGate::Options{.agent_incarnation = next});
  return true;
}

Incarnation AgentCore::incarnation() const {
  const absl::MutexLock lock(&m_mutex);
  return m_incarnation;
}

bool AgentCore::IsReconciled() const {
  const absl::MutexLock lock(&m_mutex);
  return m_table->IsReconciled();
}

bool AgentCore::IsProofFresh(MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  return m_table->IsProofFresh(now);
}

Resources AgentCore::Booked() const {
  const absl::MutexLock lock(&m_mutex);
  return m_table->ledger().booked();
}

}  // namespace berylgauge
