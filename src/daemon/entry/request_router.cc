#include "daemon/entry/request_router.h"

#include <absl/random/random.h>

#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "daemon/entry/agent_clients.h"
#include "daemon/entry/idempotency_key.h"
#include "daemon/entry/worker_directory.h"
#include "daemon/messages/request_messages.h"
#include "routing/agent_request_gate.h"
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

/// A caller that allows less time than this learns little about the endpoint from a timeout, and must not be able to
/// have healthy endpoints ejected.
constexpr absl::Duration kMeaningfulTimeout = absl::Milliseconds(500);

/// How long the entry tries to tell an agent that a request was given up.
constexpr absl::Duration kAbandonTimeout = absl::Seconds(1);

/// Counters by the values of an enum, labelled with their names.
template <typename E, std::size_t N>
std::array<Counter*, N> CountersOf(MetricsRegistry& metrics, std::string_view name, std::string_view help,
                                   std::string_view label, const EnumNames<E, N>& names) {
  std::array<Counter*, N> counters{};
  for (std::size_t i = 0; i < N; ++i) {
    const std::string labels = std::string(label) + "=\"" + std::string(names.entries()[i].second) + "\"";
    counters[i] = &metrics.GetCounter(name, help, labels);
  }
  return counters;
}

/// What an answer without the endpoint's response says about the endpoint and about the load. `age` is the time since
/// the attempt was sent.
std::pair<EndpointSignal, LoadSignal> SignalsOf(const ForwardedResponse& response, absl::Duration age) {
  if (const std::optional<GateReason> reason = kGateReasonNames.ValueOf(response.reason)) {
    const bool is_overload = *reason == GateReason::kNoSlot || *reason == GateReason::kExpired;
    return {EndpointSignal::kNone, is_overload ? LoadSignal::kOverload : LoadSignal::kNone};
  }
  // Other reasons are failures of the connection between agent and endpoint.
  if (response.reason != kFailureCodeNames.NameOf(FailureCode::kDeadlineExceeded)) {
    return {EndpointSignal::kFailure, LoadSignal::kNone};
  }
  return {age >= kMeaningfulTimeout ? EndpointSignal::kFailure : EndpointSignal::kNone, LoadSignal::kOverload};
}

FailureCode CodeOf(const ForwardedResponse& response) {
  const bool is_late = response.reason == kFailureCodeNames.NameOf(FailureCode::kDeadlineExceeded) ||
                       response.reason == kGateReasonNames.NameOf(GateReason::kExpired);
  return is_late ? FailureCode::kDeadlineExceeded : FailureCode::kUnavailable;
}

}  // namespace

/// One caller's request until it is answered.
struct RequestRouter::Exchange {
  ServiceId service;
  std::shared_ptr<Admission> admission;  ///< counts this request from the time it is set
  std::string caller;
  RequestPolicy policy;
  MonotonicTime deadline;
  EndpointRequest request;
  WebServer::Responder responder;
  std::optional<ClaimRequest> claim;  ///< of the request's idempotency key
  bool is_claim_held = false;
  int attempts = 0;
  Verdict verdict = Verdict::kNotRun;  ///< of all attempts so far
  MonotonicTime attempt_sent;
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
      m_outliers(options.outliers),
      m_services(std::make_unique<const ServiceTable>()),
      m_answered(metrics.GetCounter("berylgauge_requests_total", kRequestsHelp, "verdict=\"ran\"")),
      m_not_run(metrics.GetCounter("berylgauge_requests_total", kRequestsHelp, "verdict=\"not-run\"")),
      m_may_have_run(metrics.GetCounter("berylgauge_requests_total", kRequestsHelp, "verdict=\"may-have-run\"")),
      m_retries(metrics.GetCounter("berylgauge_request_retries_total", "Further attempts of callers' requests.")),
      m_waited(metrics.GetCounter("berylgauge_requests_waited_total", "Requests that waited for room.")),
      m_limited(metrics.GetCounter("berylgauge_requests_limited_total",
                                   "Times that the limit of concurrency of a service left no room.")),
      m_over_maximum(metrics.GetCounter("berylgauge_requests_over_maximum_total",
                                        "Requests refused because of max_outstanding of their service.")),
      m_queue_refusals(CountersOf(metrics, "berylgauge_queue_refusals_total", "Waiting requests that were refused.",
                                  "reason", kQueueRefusalReasonNames)),
      m_ejections(CountersOf(metrics, "berylgauge_endpoint_ejections_total",
                             "Endpoints that this entry took out of rotation.", "reason", kEjectionReasonNames)),
      m_claim_results(CountersOf(metrics, "berylgauge_claims_total", "Requests with an idempotency key by result.",
                                 "result", kClaimResultNames)),
      m_abandoned(metrics.GetCounter("berylgauge_requests_abandoned_total",
                                     "Attempts that the entry gave up and told the agent so.")) {}

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
  const std::shared_ptr<Admission> admission = AdmissionOf(exchange->service);
  if (!admission) {
    Fail(exchange, FailureCode::kNotFound, "no endpoint of " + exchange->service.value() + ": unknown-service");
    return;
  }
  if (!admission->TryAdd()) {
    m_over_maximum.Add();
    Fail(exchange, FailureCode::kOverloaded, "as many requests as max_outstanding allows are under way");
    return;
  }
  exchange->admission = admission;
  exchange->caller = std::move(request.peer);
  exchange->policy.timeout = std::min(exchange->policy.timeout, admission->timeout());
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
  m_claim_results[static_cast<std::size_t>(answer.result)]->Add();
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
  const absl::MutexLock lock(&m_services_mutex);
  auto next = std::make_unique<ServiceTable>(m_services.Read([](const ServiceTable& table) { return table; }));
  for (const auto& [id, admission] : *next) {
    if (!config.services().contains(id)) admission->ResetConfig();
  }
  for (const auto& [id, service] : config.services()) AddAdmission(*next, id)->Configure(service);
  m_services.Publish(std::move(next));
}

std::shared_ptr<RequestRouter::Admission> RequestRouter::FindAdmission(const ServiceId& service) const {
  return m_services.Read([&](const ServiceTable& services) -> std::shared_ptr<Admission> {
    const auto it = services.find(service);
    return it == services.end() ? nullptr : it->second;
  });
}

std::shared_ptr<RequestRouter::Admission> RequestRouter::AddAdmission(ServiceTable& table,
                                                                      const ServiceId& service) const {
  std::shared_ptr<Admission>& admission = table[service];
  if (!admission) admission = std::make_shared<Admission>(m_options.admission, m_clock.Now());
  return admission;
}

std::shared_ptr<RequestRouter::Admission> RequestRouter::AdmissionOf(const ServiceId& service) {
  if (std::shared_ptr<Admission> known = FindAdmission(service)) return known;
  // Only names that endpoints have announced are added, so callers cannot make the table grow.
  const bool is_routed =
      m_workers.table().Read([&](const RoutingTable& table) { return table.Find(service) != nullptr; });
  if (!is_routed) return nullptr;
  const absl::MutexLock lock(&m_services_mutex);
  auto next = std::make_unique<ServiceTable>(m_services.Read([](const ServiceTable& table) { return table; }));
  std::shared_ptr<Admission> admission = AddAdmission(*next, service);
  m_services.Publish(std::move(next));
  return admission;
}

void RequestRouter::Advance() {
  const auto services = m_services.Read([](const ServiceTable& table) {
    std::vector<std::pair<ServiceId, std::shared_ptr<Admission>>> waiting;
    for (const auto& [id, admission] : table) {
      if (admission->HasWaiting()) waiting.emplace_back(id, admission);
    }
    return waiting;
  });
  for (const auto& [id, admission] : services) {
    Refuse(admission->Expire(m_clock.Now()));
    WakeWaiting(id, *admission);
  }
}

void RequestRouter::SweepOutliers() {
  const std::vector<Ejection> ejections =
      m_workers.table().Read([&](const RoutingTable& table) { return m_outliers.Sweep(table, m_clock.Now()); });
  for (const Ejection& ejection : ejections) {
    m_ejections[static_cast<std::size_t>(ejection.reason)]->Add();
    LogEvent(LogLevel::kWarning, "endpoint_ejected",
             {{"service", ejection.endpoint->service.value()},
              {"address", ejection.endpoint->address},
              {"reason", kEjectionReasonNames.NameOf(ejection.reason)},
              {"duration_ms", absl::ToInt64Milliseconds(ejection.duration)}});
  }
}

tl::expected<EndpointReservation, PickRefusal> RequestRouter::Reserve(const ServiceId& service, Admission& admission,
                                                                      const std::vector<RoutedEndpointPtr>& tried) {
  if (!admission.limiter().TryAcquire()) {
    m_limited.Add();
    return tl::make_unexpected(PickRefusal::kNoRoom);
  }
  const MonotonicTime now = m_clock.Now();
  auto picked = m_workers.table().Read(
      [&](const RoutingTable& table) { return m_picker.Pick(table, service, tried, now, ThreadRandom()); });
  if (!picked) admission.limiter().Release(LoadSignal::kNone, absl::ZeroDuration(), now);
  return picked;
}

void RequestRouter::StartAttempt(const std::shared_ptr<Exchange>& exchange) {
  if (m_clock.Now() >= exchange->deadline) {
    Fail(exchange, FailureCode::kDeadlineExceeded, "the deadline has passed");
    return;
  }
  if (exchange->admission->HasWaiting()) {
    Wait(exchange);
    return;
  }
  auto reserved = Reserve(exchange->service, *exchange->admission, exchange->tried);
  if (reserved) {
    SendAttempt(exchange, std::move(*reserved));
  } else if (reserved.error() == PickRefusal::kNoRoom) {
    Wait(exchange);
  } else {
    Fail(
        exchange, FailureCode::kUnavailable,
        "no endpoint of " + exchange->service.value() + ": " + std::string(kPickRefusalNames.NameOf(reserved.error())));
  }
}

void RequestRouter::Wait(const std::shared_ptr<Exchange>& exchange) {
  m_waited.Add();
  const std::shared_ptr<Admission> admission = exchange->admission;
  const ServiceId service = exchange->service;
  Refuse(admission->Offer(exchange, exchange->caller, exchange->policy.importance, exchange->deadline, m_clock.Now()));
  // Room that was freed since the reservation failed has woken nobody.
  WakeWaiting(service, *admission);
}

void RequestRouter::WakeWaiting(const ServiceId& service, Admission& admission) {
  while (admission.HasWaiting()) {
    auto reserved = Reserve(service, admission, {});
    if (!reserved) return;
    auto taken = admission.Take(m_clock.Now());
    Refuse(taken.refused);
    if (!taken.next) {
      admission.limiter().Release(LoadSignal::kNone, absl::ZeroDuration(), m_clock.Now());
      return;
    }
    SendAttempt(*taken.next, std::move(*reserved));
  }
}

void RequestRouter::Refuse(const std::vector<Admission::Refused>& refused) {
  for (const Admission::Refused& each : refused) {
    m_queue_refusals[static_cast<std::size_t>(each.reason)]->Add();
    const bool is_expired = each.reason == QueueRefusalReason::kExpired;
    Fail(each.request, is_expired ? FailureCode::kDeadlineExceeded : FailureCode::kOverloaded,
         "no room at " + each.request->service.value() + ": " +
             std::string(kQueueRefusalReasonNames.NameOf(each.reason)),
         each.retry_after);
  }
}

void RequestRouter::SendAttempt(const std::shared_ptr<Exchange>& exchange, EndpointReservation reservation) {
  const MonotonicTime now = m_clock.Now();
  ++exchange->attempts;
  exchange->attempt_sent = now;
  exchange->reservation.emplace(std::move(reservation));
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

void RequestRouter::EndAttempt(Exchange& exchange, EndpointSignal endpoint_signal, LoadSignal load_signal) {
  const MonotonicTime now = m_clock.Now();
  const absl::Duration latency = now - exchange.attempt_sent;
  const RoutedEndpoint& endpoint = exchange.reservation->endpoint();
  const bool is_ejected = m_workers.table().Read(
      [&](const RoutingTable& table) { return m_outliers.Record(table, endpoint, endpoint_signal, latency, now); });
  if (is_ejected) {
    m_ejections[static_cast<std::size_t>(EjectionReason::kConsecutiveFailures)]->Add();
    LogEvent(LogLevel::kWarning, "endpoint_ejected",
             {{"service", endpoint.service.value()},
              {"address", endpoint.address},
              {"reason", kEjectionReasonNames.NameOf(EjectionReason::kConsecutiveFailures)}});
  }
  exchange.tried.push_back(exchange.reservation->shared_endpoint());
  exchange.reservation.reset();
  exchange.admission->limiter().Release(load_signal, latency, now);
  if (load_signal == LoadSignal::kLatency) exchange.admission->ObserveServiceTime(latency);
}

void RequestRouter::Abandon(const std::string& agent_address, const RequestId& id) {
  m_abandoned.Add();
  m_agents.For(agent_address)->Send(EncodeAbandonment(id), kAbandonTimeout, [](const Result<StreamResponse>&) {});
}

void RequestRouter::HandleResult(const std::shared_ptr<Exchange>& exchange, const RequestId& id,
                                 Result<StreamResponse> result) {
  const std::shared_ptr<Admission> admission = exchange->admission;
  const std::string agent_address = exchange->reservation->endpoint().agent_address;
  const bool is_timeout = !result && result.error().code == FailureCode::kDeadlineExceeded;
  Result<ForwardedResponse> response =
      result ? DecodeForwardedResponse(std::move(*result), id) : tl::make_unexpected(std::move(result.error()));
  if (!response) {
    const bool is_meaningful = !is_timeout || m_clock.Now() - exchange->attempt_sent >= kMeaningfulTimeout;
    EndAttempt(*exchange, is_meaningful ? EndpointSignal::kFailure : EndpointSignal::kNone,
               is_timeout ? LoadSignal::kOverload : LoadSignal::kNone);
    if (response.error().verdict == Verdict::kMayHaveRun) Abandon(agent_address, id);
    RetryOrFail(exchange, response.error().verdict, response.error().code, response.error().message);
  } else if (response->verdict != Verdict::kRan) {
    const auto [endpoint_signal, load_signal] = SignalsOf(*response, m_clock.Now() - exchange->attempt_sent);
    EndAttempt(*exchange, endpoint_signal, load_signal);
    RetryOrFail(exchange, response->verdict, CodeOf(*response), response->reason);
  } else {
    const bool is_server_error = response->response.status >= 500;
    EndAttempt(*exchange, is_server_error ? EndpointSignal::kFailure : EndpointSignal::kSuccess, LoadSignal::kLatency);
    exchange->verdict = Verdict::kRan;
    WebResponse answer{.status = response->response.status,
                       .headers = std::move(response->response.headers),
                       .body = std::move(response->response.body)};
    answer.headers.emplace_back(std::string(kVerdictHeader), std::string(kVerdictNames.NameOf(Verdict::kRan)));
    Respond(exchange, std::move(answer));
  }
  WakeWaiting(exchange->service, *admission);
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

void RequestRouter::Fail(const std::shared_ptr<Exchange>& exchange, FailureCode code, const std::string& reason,
                         absl::Duration retry_after) {
  WebResponse response =
      JsonErrorResponse({.code = code, .verdict = exchange->verdict, .message = reason, .field = {}});
  if (code == FailureCode::kOverloaded || code == FailureCode::kUnavailable) {
    response.headers.emplace_back("Retry-After", std::to_string(absl::ToInt64Seconds(retry_after)));
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
  if (exchange->admission) exchange->admission->Remove();
  exchange->responder(std::move(response));
  m_outstanding.fetch_sub(1, std::memory_order_acq_rel);
}

}  // namespace berylgauge
