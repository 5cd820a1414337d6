#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <memory>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"
#include "membership/endpoint_registry.h"
#include "membership/heartbeat.h"
#include "membership/heartbeat_reply.h"
#include "routing/agent_request_gate.h"
#include "schedule/attempt_table.h"

namespace berylgauge {

/// Identity and limits of an agent.
struct AgentCoreOptions {
  WorkerId worker;
  RackId rack;
  AvailabilityZoneId availability_zone;
  std::string region;
  std::string internal_address;  ///< "ip:port" that entries reach
  Resources reserve;             ///< kept free at admission
  absl::Duration start_freshness = absl::Seconds(2);
  absl::Duration task_lease = absl::Seconds(30);
  absl::Duration endpoint_silent = absl::Seconds(3);
};

/// The agent's decisions behind one lock: attempts on the worker, endpoints and requests.
class AgentCore {
 public:
  AgentCore(AgentCoreOptions options, Incarnation incarnation, MonotonicTime now);

  // Owners' commands.
  AttemptAnswer Start(const StartCommand& command, MonotonicTime now);
  AttemptAnswer Withdraw(const EndCommand& command, MonotonicTime now);
  AttemptAnswer Stop(const EndCommand& command, bool with_checkpoint, MonotonicTime now);
  void RestoreTerms(const AttemptKey& key, const AttemptTerms& terms);

  // The worker.
  void Reconcile(const WorkerReport& report, MonotonicTime requested_at, MonotonicTime now);
  std::vector<WorkerCommand> TakeCommands(MonotonicTime now);

  /// Takes back the result of a command of the run `incarnation`; results of former runs are dropped.
  void HandleResult(Incarnation incarnation, const WorkerCommand& command, const Result<void>& result,
                    MonotonicTime now);

  // Endpoints and requests.
  AnnouncementDecision Announce(const EndpointAnnouncement& announcement, MonotonicTime now);
  GateAnswer Admit(const GateRequest& request, MonotonicTime now);
  GateAnswer BeginForward(const RequestId& id, MonotonicTime now);
  GateAnswer Abandon(const RequestId& id);
  Verdict Complete(const RequestId& id, ForwardResult result);
  std::size_t OutstandingRequests() const;

  // Entries.
  Heartbeat NextHeartbeat(MonotonicTime now);

  /// Takes in the reply to a heartbeat that the run `incarnation` sent at `sent_at`; replies to former runs are
  /// dropped.
  void ApplyReply(Incarnation incarnation, const HeartbeatReply& reply, MonotonicTime sent_at, MonotonicTime now);

  /// From now on heartbeats say that the agent is leaving and new requests and tasks are refused.
  void BeginLeaving();

  /// After a revocation was carried out to the end, begins a new run that may start tasks again. Returns true if it
  /// did.
  bool RenewIncarnationIfRevoked(Incarnation next, MonotonicTime now);

  Incarnation incarnation() const;

  /// True if another agent has registered for the worker; this one then does nothing any more.
  bool IsSuperseded() const;
  bool IsReconciled() const;
  bool IsProofFresh(MonotonicTime now) const;
  Resources Booked() const;

 private:
  bool IsListComplete(MonotonicTime now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  std::unique_ptr<AttemptTable> MakeTable(Incarnation incarnation, MonotonicTime now) const;

  const AgentCoreOptions m_options;
  mutable absl::Mutex m_mutex;
  Incarnation m_incarnation ABSL_GUARDED_BY(m_mutex);
  std::unique_ptr<AttemptTable> m_table ABSL_GUARDED_BY(m_mutex);
  EndpointRegistry m_endpoints ABSL_GUARDED_BY(m_mutex);
  AgentRequestGate m_gate ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
  MonotonicTime m_revoked_since ABSL_GUARDED_BY(m_mutex) = InfinitePast();
  /// When this run learnt that it is the registered agent; the infinite future before.
  MonotonicTime m_registered_at ABSL_GUARDED_BY(m_mutex) = InfiniteFuture();
  bool m_superseded ABSL_GUARDED_BY(m_mutex) = false;
  Offset m_cleared ABSL_GUARDED_BY(m_mutex) = kNoOffset;
  MonotonicTime m_last_report ABSL_GUARDED_BY(m_mutex) = InfinitePast();
  bool m_leaving ABSL_GUARDED_BY(m_mutex) = false;
};

}  // namespace berylgauge
