#include "daemon/entry/heartbeat_service.h"

#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "daemon/entry/config_stream.h"
#include "daemon/entry/entry_directory.h"
#include "daemon/entry/share_map.h"
#include "daemon/entry/worker_directory.h"

namespace berylgauge {
namespace {

WorkerAdmission AdmissionOf(const ConfigState& config, const Heartbeat& heartbeat) {
  if (config.AgentsOf(heartbeat.worker).IsFormer(heartbeat.incarnation)) return WorkerAdmission::kSuperseded;
  const AvailabilityState state = config.WorkerState(heartbeat.worker);
  // On a worker that operators declared lost its tasks may have been placed again, so nothing may run there.
  if (state == AvailabilityState::kLost) return WorkerAdmission::kRevoked;
  if (config.RevokedAt(heartbeat.worker) > heartbeat.cleared) return WorkerAdmission::kRevoked;
  return state == AvailabilityState::kOpen ? WorkerAdmission::kOpen : WorkerAdmission::kDraining;
}

}  // namespace

HeartbeatService::HeartbeatService(const EntryId& entry, Incarnation incarnation, const Clock& clock,
                                   WorkerDirectory& workers, ConfigStream& config, const EntryDirectory& entries,
                                   const ShareMap& shares, Listener listener)
    : m_entry(entry),
      m_incarnation(incarnation),
      m_clock(clock),
      m_workers(workers),
      m_config(config),
      m_entries(entries),
      m_shares(shares),
      m_listener(std::move(listener)) {}

void HeartbeatService::Handle(const StreamRequest& message, const StreamServer::Responder& responder) {
  const Result<Heartbeat> heartbeat = DecodeHeartbeat(message.body);
  if (!heartbeat) {
    LogEvent(LogLevel::kWarning, "heartbeat_malformed", {{"reason", heartbeat.error().message}});
    responder({.status = 400, .headers = {}, .body = heartbeat.error().message});
    return;
  }
  const MonotonicTime now = m_clock.Now();
  const bool superseded = m_config.state().Read(
      [&](const ConfigState& config) { return config.AgentsOf(heartbeat->worker).IsFormer(heartbeat->incarnation); });
  if (superseded) {
    Reply(*heartbeat, now, responder);
    return;
  }
  const HeartbeatOutcome outcome = m_workers.Apply(*heartbeat, now);
  if (!outcome.IsAccepted()) {
    responder({.status = 409, .headers = {}, .body = std::string(kHeartbeatDecisionNames.NameOf(outcome.decision))});
    return;
  }
  if (outcome.decision != HeartbeatDecision::kRefreshed) {
    LogEvent(LogLevel::kInfo, "worker_announced",
             {{"worker", heartbeat->worker.value()}, {"decision", kHeartbeatDecisionNames.NameOf(outcome.decision)}});
  }
  m_listener(*heartbeat, outcome, now);
  Reply(*heartbeat, now, responder);
}

void HeartbeatService::Reply(const Heartbeat& heartbeat, MonotonicTime now,
                             const StreamServer::Responder& responder) const {
  const Result<std::string> reply = EncodeHeartbeatReply(MakeReply(heartbeat, now));
  if (!reply) {
    LogEvent(LogLevel::kError, "heartbeat_reply_not_encoded", {{"reason", reply.error().message}});
    responder({.status = 500, .headers = {}, .body = {}});
    return;
  }
  responder({.status = 200, .headers = {}, .body = *reply});
}

HeartbeatReply HeartbeatService::MakeReply(const Heartbeat& heartbeat, MonotonicTime now) const {
  HeartbeatReply reply;
  reply.entry = m_entry;
  reply.entry_incarnation = m_incarnation;
  // The proof is taken before the state, so that the state contains everything that the proof covers.
  const TailProof proof = m_config.TailProofNow();
  m_config.state().Read([&](const ConfigState& config) {
    // Agents compare configurations by offset, since a revocation does not change the operators' version.
    reply.config_version = config.offset() + 1;
    const bool open = config.ZoneState(heartbeat.availability_zone) == AvailabilityState::kOpen;
    reply.availability_zone_admission = open ? AvailabilityZoneAdmission::kOpen : AvailabilityZoneAdmission::kDraining;
    reply.worker_admission = AdmissionOf(config, heartbeat);
    reply.is_registered = config.AgentsOf(heartbeat.worker).Current() == heartbeat.incarnation;
    return 0;
  });
  if (proof.at != InfinitePast()) {
    reply.offset = proof.offset;
    reply.proof_age = now - proof.at;
  }
  for (const EndedAttemptReport& ended : heartbeat.ended) {
    if (m_shares.IsEndRecorded(ended.task, ended.attempt)) {
      reply.acknowledged.push_back({.task = ended.task, .attempt = ended.attempt});
    }
  }
  reply.entries = m_entries.LiveInternalAddresses(now);
  return reply;
}

}  // namespace berylgauge
