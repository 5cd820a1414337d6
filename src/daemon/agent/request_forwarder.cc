#include "daemon/agent/request_forwarder.h"

#include <utility>

#include "base/clock.h"
#include "base/metrics.h"
#include "daemon/agent/agent_core.h"

namespace berylgauge {
namespace {

/// Endpoints beside one agent are few; clients of addresses no longer used are dropped all at once beyond this.
constexpr std::size_t kMaxClients = 64;

ForwardResult ToForwardResult(const Result<EndpointResponse>& response) {
  if (response) return ForwardResult::kComplete;
  return response.error().verdict == Verdict::kNotRun ? ForwardResult::kNotSent : ForwardResult::kBroken;
}

}  // namespace

RequestForwarder::RequestForwarder(AgentCore& core, const Clock& clock, MetricsRegistry& metrics,
                                   ClientFactory make_client, std::size_t threads)
    : m_core(core),
      m_clock(clock),
      m_make_client(std::move(make_client)),
      m_forwarded(metrics.GetCounter("berylgauge_agent_requests_total", "Requests by result.", "result=\"forwarded\"")),
      m_refused(metrics.GetCounter("berylgauge_agent_requests_total", "Requests by result.", "result=\"refused\"")),
      m_broken(metrics.GetCounter("berylgauge_agent_requests_total", "Requests by result.", "result=\"broken\"")),
      m_abandoned(metrics.GetCounter("berylgauge_agent_requests_total", "Requests by result.", "result=\"abandoned\"")),
      m_pool(threads) {}

void RequestForwarder::Handle(StreamRequest message, const StreamServer::Responder& responder) {
  if (const RequestId abandoned = AbandonedRequestOf(message); !abandoned.empty()) {
    // The entry gave the request up. If it waits for a thread or arrives later, it must not run.
    const GateAnswer answer = m_core.Abandon(abandoned);
    m_abandoned.Add();
    responder(EncodeForwardedResponse({.id = abandoned,
                                       .verdict = answer.verdict,
                                       .reason = std::string(kGateReasonNames.NameOf(answer.reason)),
                                       .response = {}}));
    return;
  }
  Result<ForwardedRequest> request = DecodeForwardedRequest(std::move(message));
  if (!request) {
    responder({.status = 400, .headers = {}, .body = request.error().message});
    return;
  }
  const MonotonicTime now = m_clock.Now();
  const MonotonicTime deadline = now + request->timeout;
  const GateAnswer answer = m_core.Admit({.id = request->id,
                                          .agent_incarnation = request->agent_incarnation,
                                          .service = request->service,
                                          .address = request->endpoint_address,
                                          .deadline = deadline},
                                         now);
  if (!answer.IsAdmitted()) {
    Refuse(request->id, answer, responder);
    return;
  }
  m_pool.Post([this, request = std::move(*request), deadline, responder] { Forward(request, deadline, responder); });
}

void RequestForwarder::Forward(const ForwardedRequest& request, MonotonicTime deadline,
                               const StreamServer::Responder& responder) {
  const MonotonicTime now = m_clock.Now();
  const GateAnswer answer = m_core.BeginForward(request.id, now);
  if (!answer.IsAdmitted()) {
    Refuse(request.id, answer, responder);
    return;
  }
  Result<EndpointResponse> response = ClientFor(request.endpoint_address)->Send(request.request, deadline - now);
  const Verdict verdict = m_core.Complete(request.id, ToForwardResult(response));
  ForwardedResponse answer_message{.id = request.id, .verdict = verdict, .reason = {}, .response = {}};
  if (response) {
    m_forwarded.Add();
    answer_message.response = std::move(*response);
  } else {
    m_broken.Add();
    answer_message.reason = std::string(kFailureCodeNames.NameOf(response.error().code));
  }
  responder(EncodeForwardedResponse(std::move(answer_message)));
}

void RequestForwarder::Refuse(const RequestId& id, const GateAnswer& answer, const StreamServer::Responder& responder) {
  m_refused.Add();
  responder(EncodeForwardedResponse({.id = id,
                                     .verdict = answer.verdict,
                                     .reason = std::string(kGateReasonNames.NameOf(answer.reason)),
                                     .response = {}}));
}

std::shared_ptr<EndpointClient> RequestForwarder::ClientFor(const std::string& address) {
  const absl::MutexLock lock(&m_mutex);
  if (m_clients.size() >= kMaxClients && !m_clients.contains(address)) m_clients.clear();
  std::shared_ptr<EndpointClient>& client = m_clients[address];
  if (!client) client = m_make_client(address);
  return client;
}

}  // namespace berylgauge
