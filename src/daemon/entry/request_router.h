#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "base/ids.h"
#include "base/rcu_cell.h"
#include "daemon/entry/idempotency_claims.h"
#include "daemon/entry/service_admission.h"
#include "routing/endpoint_picker.h"
#include "routing/outlier_detector.h"
#include "routing/request_policy.h"
#include "routing/retry_budget.h"
#include "routing/retry_decision.h"
#include "transport/message_types.h"
#include "web/web_server.h"

namespace berylgauge {

class AgentClients;
class Clock;
class ConfigState;
class Counter;
class MetricsRegistry;
class WorkerDirectory;

struct RequestRouterOptions {
  Incarnation incarnation = 0;  ///< of this entry; part of the request ids
  RequestPolicyOptions policy;
  RetryLimits retries;
  RetryBudget::Options budget;
  ServiceAdmissionOptions admission;
  OutlierDetector::Options outliers;
  /// Added to the deadline of an attempt before the entry gives it up, so that the agent's refusal arrives first.
  absl::Duration answer_margin = absl::Milliseconds(200);
};

/// Carries callers' requests to endpoints and their answers back.
///
/// A request that finds no endpoint with room, or whose service has reached the limit of its concurrency, waits in the
/// queue of its service until an answer frees room or the routing table changes. A request that arrives while others
/// wait queues behind them.
class RequestRouter {
 public:
  RequestRouter(RequestRouterOptions options, const Clock& clock, const WorkerDirectory& workers, AgentClients& agents,
                IdempotencyClaims& claims, MetricsRegistry& metrics);

  /// Publishes the services of a new configuration to the requests' path.
  void UpdateServices(const ConfigState& config);

  /// Handles one request of a caller; does not block. The first segment of the path names the service.
  void Handle(WebRequest request, const WebServer::Responder& responder);

  /// Sends waiting requests for which there is room now and refuses those whose time is up. Call it when the routing
  /// table has changed and every few milliseconds.
  void Advance();

  /// Ejects endpoints that are slow compared with the others of their service. Call it about once a second.
  void SweepOutliers();

  /// Requests that have not been answered.
  int Outstanding() const { return m_outstanding.load(std::memory_order_acquire); }

 private:
  struct Exchange;
  using Admission = ServiceAdmission<std::shared_ptr<Exchange>>;
  using ServiceTable = absl::flat_hash_map<ServiceId, std::shared_ptr<Admission>>;

  /// Claims the idempotency key of the request, if it has one that counts, and starts it.
  void ClaimAndStart(const std::shared_ptr<Exchange>& exchange);
  void HandleClaim(const std::shared_ptr<Exchange>& exchange, ClaimAnswer answer);
  void Replay(const std::shared_ptr<Exchange>& exchange, ClaimAnswer answer);
  void EndClaim(const Exchange& exchange, const WebResponse& response);
  RequestId NextRequestId();
  void StartAttempt(const std::shared_ptr<Exchange>& exchange);
  /// Reserves a slot at an endpoint and a place among the requests in progress, or neither.
  tl::expected<EndpointReservation, PickRefusal> Reserve(const ServiceId& service, Admission& admission,
                                                         const std::vector<RoutedEndpointPtr>& tried);
  void SendAttempt(const std::shared_ptr<Exchange>& exchange, EndpointReservation reservation);
  void Wait(const std::shared_ptr<Exchange>& exchange);
  void WakeWaiting(const ServiceId& service, Admission& admission);
  void Refuse(const std::vector<Admission::Refused>& refused);
  void EndAttempt(Exchange& exchange, EndpointSignal endpoint_signal, LoadSignal load_signal);
  void Abandon(const std::string& agent_address, const RequestId& id);
  void HandleResult(const std::shared_ptr<Exchange>& exchange, const RequestId& id, Result<StreamResponse> result);
  void RetryOrFail(const std::shared_ptr<Exchange>& exchange, Verdict verdict, FailureCode code,
                   const std::string& reason);
  void Fail(const std::shared_ptr<Exchange>& exchange, FailureCode code, const std::string& reason,
            absl::Duration retry_after = absl::Seconds(1));
  void Respond(const std::shared_ptr<Exchange>& exchange, WebResponse response);
  /// The admission of a service that is configured or has endpoints; nullptr for others.
  std::shared_ptr<Admission> AdmissionOf(const ServiceId& service);
  std::shared_ptr<Admission> FindAdmission(const ServiceId& service) const;
  std::shared_ptr<Admission> AddAdmission(ServiceTable& table, const ServiceId& service) const;

  const RequestRouterOptions m_options;
  const Clock& m_clock;
  const WorkerDirectory& m_workers;
  AgentClients& m_agents;
  IdempotencyClaims& m_claims;
  const EndpointPicker m_picker;
  RetryBudget m_budget;
  OutlierDetector m_outliers;
  absl::Mutex m_services_mutex;  ///< held by those who replace the table; readers take no lock
  RcuCell<ServiceTable> m_services;
  std::atomic<std::uint64_t> m_next_number{1};
  std::atomic<int> m_outstanding{0};
  Counter& m_answered;
  Counter& m_not_run;
  Counter& m_may_have_run;
  Counter& m_retries;
  Counter& m_waited;
  Counter& m_limited;
  Counter& m_over_maximum;
  std::array<Counter*, kQueueRefusalReasonNames.entries().size()> m_queue_refusals;
  std::array<Counter*, kEjectionReasonNames.entries().size()> m_ejections;
  std::array<Counter*, kClaimResultNames.entries().size()> m_claim_results;
  Counter& m_abandoned;
};

}  // namespace berylgauge
