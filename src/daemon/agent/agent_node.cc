#include "daemon/agent/agent_node.h"

#include <utility>

#include "base/event_log.h"
#include "clients/http_endpoint_client.h"
#include "clients/http_worker_client.h"
#include "daemon/common/authority_of.h"
#include "daemon/common/await_drained.h"
#include "daemon/common/random_incarnation.h"
#include "daemon/common/stream_clients.h"
#include "transport/make_stream_server.h"
#include "web/json_error_response.h"

namespace berylgauge {
namespace {

/// Requests passed on at the same time; above the slots of the endpoints beside one agent.
constexpr std::size_t kForwarderThreads = 64;

constexpr std::size_t kMaxAnnouncementBytes = 4'096;

AgentCoreOptions CoreOptions(const DaemonSettings& settings) {
  const AgentSettings& agent = *settings.agent;
  return {.worker = agent.worker_id,
          .rack = agent.rack,
          .availability_zone = settings.availability_zone,
          .region = settings.region,
          .internal_address = agent.internal.ToString(),
          .reserve = {.cpu_millis = agent.reserve_cpu_millis, .memory_mb = agent.reserve_memory_mb},
          .start_freshness = settings.timing.start_freshness,
          .task_lease = settings.timing.task_lease,
          .endpoint_silent = settings.timing.endpoint_silent};
}

}  // namespace

AgentNode::AgentNode(const DaemonSettings& settings) : m_settings(settings), m_loop("agent-clients") {
  const AgentSettings& agent = *m_settings.agent;
  m_worker = std::make_unique<HttpWorkerClient>(m_worker_http, AuthorityOf(agent.worker_url));
  m_core = std::make_unique<AgentCore>(CoreOptions(m_settings), RandomIncarnation(), m_clock.Now());
  m_forwarder = std::make_unique<RequestForwarder>(
      *m_core, m_clock, m_metrics,
      [this](const std::string& address) { return std::make_unique<HttpEndpointClient>(m_endpoint_http, address); },
      kForwarderThreads);
  m_health = std::make_unique<HealthHandler>(m_metrics, [this] { return WhyNotReady(); });
}

AgentNode::~AgentNode() {
  if (m_local) m_local->Stop();
  if (m_internal) m_internal->Stop();
  m_renewal.reset();
  m_heartbeats.reset();
  m_driver.reset();
}

Result<void> AgentNode::Start() {
  const AgentSettings& agent = *m_settings.agent;
  m_driver = std::make_unique<WorkerDriver>(*m_core, *m_worker, m_clock, WorkerDriverOptions{});
  m_attempts = std::make_unique<AttemptService>(*m_core, *m_driver, m_clock);

  Result<std::unique_ptr<StreamServer>> internal = MakeStreamServer({.metrics = &m_metrics});
  if (!internal) return tl::make_unexpected(internal.error());
  m_internal = std::move(*internal);
  const Result<int> internal_port =
      m_internal->Start(agent.internal.address, agent.internal.port,
                        [this](StreamRequest message, const StreamServer::Responder& responder) {
                          HandleInternal(std::move(message), responder);
                        });
  if (!internal_port) return tl::make_unexpected(internal_port.error());

  m_request_memory = std::make_shared<RequestMemory>(agent.request_memory_bytes, &m_metrics);
  m_local = MakeWebServer();
  const Result<int> local_port = m_local->Start(
      {.address = agent.local.address,
       .port = agent.local.port,
       .threads = 1,
       .max_connections = 100,
       .max_body_bytes = kMaxAnnouncementBytes,
       .memory = m_request_memory},
      [this](const WebRequest& request, const WebServer::Responder& responder) { HandleLocal(request, responder); });
  if (!local_port) return tl::make_unexpected(local_port.error());

  std::vector<std::string> entries;
  for (const IpPort& entry : agent.entries) entries.push_back(entry.ToString());
  m_heartbeats = std::make_unique<HeartbeatSender>(
      *m_core, m_clock, StreamClientFactory(m_loop, &m_metrics),
      HeartbeatSenderOptions{.entries = std::move(entries), .interval = m_settings.timing.heartbeat});
  m_renewal = std::make_unique<PeriodicThread>(absl::Seconds(1), [this] { RenewIncarnation(); });
  LogEvent(LogLevel::kInfo, "agent_started",
           {{"worker", agent.worker_id.value()},
            {"incarnation", m_core->incarnation()},
            {"internal", agent.internal.ToString()},
            {"local", agent.local.ToString()}});
  return {};
}

bool AgentNode::Shutdown() {
  LogEvent(LogLevel::kInfo, "agent_leaving", {{"worker", m_settings.agent->worker_id.value()}});
  m_core->BeginLeaving();
  m_heartbeats->Wake();
  // Entries learn that the agent leaves by the next heartbeats; what they sent before is refused with `not run`.
  const bool finished = AwaitDrained(m_clock, m_settings.timing.shutdown_limit, 2 * m_settings.timing.heartbeat,
                                     [this] { return m_core->OutstandingRequests() == 0; });
  m_internal->BeginShutdown();
  m_local->BeginShutdown();
  return AwaitDrained(m_clock, absl::Seconds(5), absl::ZeroDuration(),
                      [this] { return m_internal->OpenStreams() == 0; }) &&
         finished;
}

void AgentNode::HandleInternal(StreamRequest message, const StreamServer::Responder& responder) {
  if (message.path == kRequestPath) {
    m_forwarder->Handle(std::move(message), responder);
    return;
  }
  if (m_attempts->Handle(message, responder)) return;
  responder({.status = 404, .headers = {}, .body = {}});
}

void AgentNode::HandleLocal(const WebRequest& request, const WebServer::Responder& responder) {
  if (std::optional<WebResponse> answer = m_health->Answer(request)) {
    responder(std::move(*answer));
    return;
  }
  if (request.path != "/v1/endpoints") {
    responder(JsonErrorResponse({.code = FailureCode::kNotFound, .message = "unknown path", .field = {}}));
    return;
  }
  if (request.method != "POST") {
    WebResponse response =
        JsonErrorResponse({.code = FailureCode::kInvalidArgument, .message = "only POST is allowed", .field = {}}, 405);
    response.headers.emplace_back("Allow", "POST");
    responder(std::move(response));
    return;
  }
  const Result<EndpointAnnouncement> announcement = DecodeEndpointAnnouncement(request.body);
  if (!announcement) {
    responder(JsonErrorResponse(announcement.error()));
    return;
  }
  const AnnouncementDecision decision = m_core->Announce(*announcement, m_clock.Now());
  if (decision != AnnouncementDecision::kRefreshed || announcement->leaving) {
    LogEvent(LogLevel::kInfo, "endpoint_announced",
             {{"service", announcement->service.value()},
              {"address", announcement->address},
              {"decision", kAnnouncementDecisionNames.NameOf(decision)},
              {"leaving", announcement->leaving}});
    m_heartbeats->Wake();
  }
  responder({.status = 204, .headers = {}, .body = {}});
}

std::optional<std::string> AgentNode::WhyNotReady() const {
  if (m_core->IsSuperseded()) return "another agent has registered for the worker";
  if (!m_core->IsReconciled()) return "the worker's task list is not known yet";
  if (!m_heartbeats || m_heartbeats->HeardEntries() == 0) return "no entry answers heartbeats";
  if (!m_core->IsProofFresh(m_clock.Now())) return "no fresh proof of the configuration; tasks cannot start";
  return std::nullopt;
}

void AgentNode::RenewIncarnation() {
  if (!m_core->RenewIncarnationIfRevoked(RandomIncarnation(), m_clock.Now())) return;
  LogEvent(LogLevel::kWarning, "agent_renewed", {{"incarnation", m_core->incarnation()}});
}

}  // namespace berylgauge
