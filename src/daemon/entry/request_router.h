#pragma once

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/rcu_cell.h"
#include "routing/endpoint_picker.h"
#include "routing/request_policy.h"
#include "routing/retry_budget.h"
#include "routing/retry_decision.h"
#include "state/service_config.h"
#include "transport/message_types.h"
#include "web/web_server.h"

namespace berylgauge {

class AgentClients;
class Clock;
class ConfigState;
class Counter;
class IdempotencyClaims;
struct ClaimAnswer;
class MetricsRegistry;
class WorkerDirectory;

struct RequestRouterOptions {
  Incarnation incarnation = 0;  ///< of this entry; part of the request ids
  RequestPolicyOptions policy;
  RetryLimits retries;
  RetryBudget::Options budget;
  /// Added to the deadline of an attempt before the entry gives it up, so that the agent's refusal arrives first.
  absl::Duration answer_margin = absl::Milliseconds(200);
};

/// Carries callers' requests to endpoints and their answers back.
class RequestRouter {
 public:
  RequestRouter(RequestRouterOptions options, const Clock& clock, const WorkerDirectory& workers, AgentClients& agents,
                IdempotencyClaims& claims, MetricsRegistry& metrics);

  /// Publishes the services of a new configuration to the requests' path.
  void UpdateServices(const ConfigState& config);

  /// Handles one request of a caller; does not block. The first segment of the path names the service.
  void Handle(WebRequest request, const WebServer::Responder& responder);

  /// Requests that have not been answered.
  int Outstanding() const { return m_outstanding.load(std::memory_order_acquire); }

 private:
  struct Exchange;
  using ServiceTable = absl::flat_hash_map<ServiceId, ServiceConfig>;

  /// Claims the idempotency key of the request, if it has one that counts, and starts it.
  void ClaimAndStart(const std::shared_ptr<Exchange>& exchange);
  void HandleClaim(const std::shared_ptr<Exchange>& exchange, ClaimAnswer answer);
  void Replay(const std::shared_ptr<Exchange>& exchange, ClaimAnswer answer);
  void EndClaim(const Exchange& exchange, const WebResponse& response);
  RequestId NextRequestId();
  void StartAttempt(const std::shared_ptr<Exchange>& exchange);
  void HandleResult(const std::shared_ptr<Exchange>& exchange, const RequestId& id, Result<StreamResponse> result);
  void RetryOrFail(const std::shared_ptr<Exchange>& exchange, Verdict verdict, FailureCode code,
                   const std::string& reason);
  void Fail(const std::shared_ptr<Exchange>& exchange, FailureCode code, const std::string& reason);
  void Respond(const std::shared_ptr<Exchange>& exchange, WebResponse response);
  std::optional<ServiceConfig> FindService(const ServiceId& service) const;

  const RequestRouterOptions m_options;
  const Clock& m_clock;
  const WorkerDirectory& m_workers;
  AgentClients& m_agents;
  IdempotencyClaims& m_claims;
  const EndpointPicker m_picker;
  RetryBudget m_budget;
  RcuCell<ServiceTable> m_services;
  std::atomic<std::uint64_t> m_next_number{1};
  std::atomic<int> m_outstanding{0};
  Counter& m_answered;
  Counter& m_not_run;
  Counter& m_may_have_run;
  Counter& m_retries;
};

}  // namespace berylgauge
