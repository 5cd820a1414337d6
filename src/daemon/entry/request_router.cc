#include "daemon/entry/request_router.h"

#include <absl/random/random.h>

#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "daemon/entry/agent_clients.h"
#include "daemon/entry/idempotency_claims.h"
#include "daemon/entry/idempotency_key.h"
#include "daemon/entry/worker_directory.h"
#include "daemon/messages/request_messages.h"
#include "routing/endpoint_reservation.h"
#include "routing/request_key.h"
#include "state/config_state.h"
#include "transport/stream_client.h"
#include "web/json_error_response.h"

namespace berylgauge {
namespace {

/// Unprocessable content: the key was used with other content (draft-ietf-httpapi-idempotency-key-header).
constexpr int kStatusOtherRequest = 422;

/// Tells that an answer is that of an earlier request with the same idempotency key.
constexpr const char* kReplayedHeader = "Berylgauge-Replayed";

constexpr const char* kRequestsHelp = "Callers' requests by verdict.";

absl::BitGen& ThreadRandom() {
  static thread_local absl::BitGen generator;
  return generator;
}

/// Splits the target "/service/rest?query" into the service and the target that its endpoints see, which is passed on
/// as the caller wrote it.
bool SplitTarget(const std::string& target, ServiceId* service, std::string* rest) {
  const std::size_t end = target.find_first_of("/?", 1);
  const std::string name = target.substr(1, end == std::string::npos ? end : end - 1);
  if (name.empty()) return false;
  *service = ServiceId(name);
  *rest = end == std::string::npos ? "" : target.substr(end);
  if (!rest->starts_with('/')) rest->insert(0, "/");
  return true;
}

FailureCode CodeOf(PickRefusal refusal) {
  return refusal == PickRefusal::kUnknownService ? FailureCode::kNotFound : FailureCode::kOverloaded;
}

}  // namespace

/// One caller's request until it is answered.
struct RequestRouter::Exchange {
  ServiceId service;
  RequestPolicy policy;
  MonotonicTime deadline;
  EndpointRequest request;
  WebServer::Responder responder;
  std::optional<ClaimRequest> claim;  ///< of the request's idempotency key
  bool is_claim_held = false;
  int attempts = 0;
  Verdict verdict = Verdict::kNotRun;  ///< of all attempts so far
  std::vector<RoutedEndpointPtr> tried;
  std::optional<EndpointReservation> reservation;
};

RequestRouter::RequestRouter(RequestRouterOptions options, const Clock& clock, const WorkerDirectory& workers,
                             AgentClients& agents, IdempotencyClaims& claims, MetricsRegistry& metrics)
    : m_options(options),
      m_clock(clock),
      m_workers(workers),
      m_agents(agents),
      m_claims(claims),
      m_picker(EndpointPicker::Options{}),
      m_budget(options.budget, clock.Now()),
      m_services(std::make_unique<const ServiceTable>()),
      m_answered(metrics.GetCounter("berylgauge_requests_total", kRequestsHelp, "verdict=\"ran\"")),
      m_not_run(metrics.GetCounter("berylgauge_requests_total", kRequestsHelp, "verdict=\"not-run\"")),
      m_may_have_run(metrics.GetCounter("berylgauge_requests_total", kRequestsHelp, "verdict=\"may-have-run\"")),
      m_retries(metrics.GetCounter("berylgauge_request_retries_total", "Further attempts of callers' requests.")) {}

void RequestRouter::Handle(WebRequest request, const WebServer::Responder& responder) {
  const MonotonicTime now = m_clock.Now();
  const auto exchange = std::make_shared<Exchange>();
  exchange->responder = responder;
  m_outstanding.fetch_add(1, std::memory_order_acq_rel);
  std::string target;
  if (!SplitTarget(request.target, &exchange->service, &target)) {
    Fail(exchange, FailureCode::kNotFound, "the path must begin with the name of a service");
    return;
  }
  const Result<RequestPolicy> policy = RequestPolicyOf(request.method, request.headers, m_options.policy);
  if (!policy) {
    Respond(exchange, JsonErrorResponse(policy.error()));
    return;
  }
  exchange->policy = *policy;
  if (const std::optional<ServiceConfig> service = FindService(exchange->service)) {
    exchange->policy.timeout = std::min(exchange->policy.timeout, absl::Milliseconds(service->request_timeout_ms));
  }
  exchange->deadline = now + exchange->policy.timeout;
  exchange->request = {.method = std::move(request.method),
                       .path = std::move(target),
                       .headers = std::move(request.headers),
                       .body = std::move(request.body)};
  m_budget.AddRequest();
  ClaimAndStart(exchange);
}

void RequestRouter::ClaimAndStart(const std::shared_ptr<Exchange>& exchange) {
  // Running an idempotent request again is harmless, so it needs no claim.
  if (exchange->policy.is_idempotent) {
    StartAttempt(exchange);
    return;
  }
  const Result<std::optional<std::string>> key = IdempotencyKeyOf(exchange->request.headers);
  if (!key) {
    Respond(exchange, JsonErrorResponse(key.error()));
    return;
  }
  if (!*key) {
    StartAttempt(exchange);
    return;
  }
  exchange->claim = {.key = {.service = exchange->service, .digest = KeyDigest(**key)},
                     .request_digest = RequestDigest(exchange->request),
                     .request = NextRequestId(),
                     .deadline = exchange->deadline};
  m_claims.Claim(*exchange->claim, [this, exchange](ClaimAnswer answer) { HandleClaim(exchange, std::move(answer)); });
}

void RequestRouter::HandleClaim(const std::shared_ptr<Exchange>& exchange, ClaimAnswer answer) {
  switch (answer.result) {
    case ClaimResult::kGranted:
      exchange->is_claim_held = true;
      StartAttempt(exchange);
      return;
    case ClaimResult::kFinished:
      Replay(exchange, std::move(answer));
      return;
    case ClaimResult::kMayHaveRun:
      exchange->verdict = Verdict::kMayHaveRun;
      Fail(exchange, FailureCode::kConflict, answer.reason);
      return;
    case ClaimResult::kOtherRequest:
      Respond(exchange, JsonErrorResponse({.code = FailureCode::kInvalidArgument,
                                           .verdict = Verdict::kNotRun,
                                           .message = answer.reason,
                                           .field = kIdempotencyKeyHeader},
                                          kStatusOtherRequest));
      return;
    case ClaimResult::kNotRun:
      Fail(exchange, FailureCode::kUnavailable, answer.reason);
      return;
  }
}

void RequestRouter::Replay(const std::shared_ptr<Exchange>& exchange, ClaimAnswer answer) {
  KeyOutcome& outcome = answer.outcome;
  exchange->verdict = outcome.verdict;
  WebResponse response;
  if (outcome.answer) {
    response = {.status = outcome.status,
                .headers = std::move(outcome.answer->headers),
                .body = std::move(outcome.answer->body)};
    response.headers.emplace_back(std::string(kVerdictHeader), std::string(kVerdictNames.NameOf(outcome.verdict)));
  } else {
    const std::string message = outcome.verdict == Verdict::kRan
                                    ? "the request ran and was answered with status " + std::to_string(outcome.status) +
                                          "; the answer was not kept"
                                    : "the request with this key may have run; its answer was lost";
    response = JsonErrorResponse(
        {.code = FailureCode::kConflict, .verdict = outcome.verdict, .message = message, .field = {}});
  }
  response.headers.emplace_back(kReplayedHeader, "true");
  Respond(exchange, std::move(response));
}

void RequestRouter::EndClaim(const Exchange& exchange, const WebResponse& response) {
  if (exchange.verdict == Verdict::kNotRun) {
    m_claims.Release(exchange.claim->key, exchange.claim->request);
    return;
  }
  KeyOutcome outcome{.key = exchange.claim->key,
                     .request = exchange.claim->request,
                     .verdict = exchange.verdict,
                     .status = response.status,
                     .answer = std::nullopt};
  if (exchange.verdict == Verdict::kRan) outcome.answer = KeptAnswerOf(response);
  m_claims.Finish(outcome);
}

RequestId RequestRouter::NextRequestId() {
  return FormatRequestId(
      {.entry_incarnation = m_options.incarnation, .number = m_next_number.fetch_add(1, std::memory_order_relaxed)});
}

void RequestRouter::UpdateServices(const ConfigState& config) {
  auto next = std::make_unique<ServiceTable>();
  for (const auto& [id, service] : config.services()) next->emplace(id, service);
  m_services.Publish(std::move(next));
}

std::optional<ServiceConfig> RequestRouter::FindService(const ServiceId& service) const {
  return m_services.Read([&](const ServiceTable& services) -> std::optional<ServiceConfig> {
    const auto it = services.find(service);
    if (it == services.end()) return std::nullopt;
    return it->second;
  });
}

void RequestRouter::StartAttempt(const std::shared_ptr<Exchange>& exchange) {
  const MonotonicTime now = m_clock.Now();
  if (now >= exchange->deadline) {
    Fail(exchange, FailureCode::kDeadlineExceeded, "the deadline has passed");
    return;
  }
  auto picked = m_workers.table().Read([&](const RoutingTable& table) {
    return m_picker.Pick(table, exchange->service, exchange->tried, now, ThreadRandom());
  });
  if (!picked) {
    Fail(exchange, CodeOf(picked.error()),
         "no endpoint of " + exchange->service.value() + ": " + std::string(kPickRefusalNames.NameOf(picked.error())));
    return;
  }
  ++exchange->attempts;
  exchange->reservation.emplace(std::move(*picked));
  const RoutedEndpoint& endpoint = exchange->reservation->endpoint();
  const RequestId id = NextRequestId();
  const absl::Duration left = exchange->deadline - now;
  ForwardedRequest forwarded{.id = id,
                             .agent_incarnation = endpoint.agent_incarnation,
                             .service = exchange->service,
                             .endpoint_address = endpoint.address,
                             .timeout = std::max(left, absl::Milliseconds(1)),
                             .request = exchange->request};
  forwarded.request.headers.emplace_back("berylgauge-request-id", id.value());
  m_agents.For(endpoint.agent_address)
      ->Send(EncodeForwardedRequest(std::move(forwarded)), left + m_options.answer_margin,
             [this, exchange, id](Result<StreamResponse> result) { HandleResult(exchange, id, std::move(result)); });
}

void RequestRouter::HandleResult(const std::shared_ptr<Exchange>& exchange, const RequestId& id,
                                 Result<StreamResponse> result) {
  exchange->tried.push_back(exchange->reservation->shared_endpoint());
  exchange->reservation.reset();
  if (!result) {
    RetryOrFail(exchange, result.error().verdict, result.error().code, result.error().message);
    return;
  }
  Result<ForwardedResponse> response = DecodeForwardedResponse(std::move(*result), id);
  if (!response) {
    RetryOrFail(exchange, response.error().verdict, response.error().code, response.error().message);
    return;
  }
  if (response->verdict != Verdict::kRan) {
    RetryOrFail(exchange, response->verdict, FailureCode::kUnavailable, response->reason);
    return;
  }
  exchange->verdict = Verdict::kRan;
  WebResponse answer{.status = response->response.status,
                     .headers = std::move(response->response.headers),
                     .body = std::move(response->response.body)};
  answer.headers.emplace_back(std::string(kVerdictHeader), std::string(kVerdictNames.NameOf(Verdict::kRan)));
  Respond(exchange, std::move(answer));
}

void RequestRouter::RetryOrFail(const std::shared_ptr<Exchange>& exchange, Verdict verdict, FailureCode code,
                                const std::string& reason) {
  exchange->verdict = CombineVerdicts(exchange->verdict, verdict);
  const RetryDecision decision = DecideRetry({.verdict = exchange->verdict,
                                              .is_idempotent = exchange->policy.is_idempotent,
                                              .attempts = exchange->attempts,
                                              .deadline = exchange->deadline},
                                             m_options.retries, m_budget, m_clock.Now());
  if (decision.is_retry) {
    m_retries.Add();
    StartAttempt(exchange);
    return;
  }
  const FailureCode final_code = decision.reason == RetryReason::kDeadline ? FailureCode::kDeadlineExceeded : code;
  Fail(exchange, final_code, reason + " (not retried: " + std::string(kRetryReasonNames.NameOf(decision.reason)) + ")");
}

void RequestRouter::Fail(const std::shared_ptr<Exchange>& exchange, FailureCode code, const std::string& reason) {
  WebResponse response =
      JsonErrorResponse({.code = code, .verdict = exchange->verdict, .message = reason, .field = {}});
  if (code == FailureCode::kOverloaded || code == FailureCode::kUnavailable) {
    response.headers.emplace_back("Retry-After", "1");
  }
  Respond(exchange, std::move(response));
}

void RequestRouter::Respond(const std::shared_ptr<Exchange>& exchange, WebResponse response) {
  switch (exchange->verdict) {
    case Verdict::kRan:
      m_answered.Add();
      break;
    case Verdict::kNotRun:
      m_not_run.Add();
      break;
    case Verdict::kMayHaveRun:
      m_may_have_run.Add();
      break;
  }
  if (exchange->is_claim_held) EndClaim(*exchange, response);
  exchange->responder(std::move(response));
  m_outstanding.fetch_sub(1, std::memory_order_acq_rel);
}

}  // namespace berylgauge
