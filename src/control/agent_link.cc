#include "control/agent_link.h"

#include <utility>

#include "base/event_log.h"
#include "transport/make_stream_client.h"

namespace berylgauge::control {
namespace {

constexpr int kStatusOk = 200;

/// A connection from which nothing arrives for this time is replaced; a watch is answered within 900 ms.
constexpr absl::Duration kKeepaliveTimeout = absl::Milliseconds(1800);

}  // namespace

AgentLink::AgentLink(EventLoop& loop, AgentLinkOptions options, std::int64_t epoch, Listener listener)
    : m_loop(loop),
      m_options(std::move(options)),
      m_epoch(epoch),
      m_listener(std::move(listener)),
      m_alive(std::make_shared<bool>(true)) {
  Result<std::unique_ptr<StreamClient>> client =
      MakeStreamClient(m_loop, {.address = m_options.address,
                                .port = m_options.port,
                                .connect_timeout = absl::Milliseconds(700),
                                .keepalive_timeout = kKeepaliveTimeout,
                                .reconnect_initial_delay = absl::Milliseconds(50),
                                .reconnect_max_delay = absl::Milliseconds(500)});
  if (client) {
    m_client = std::move(*client);
  } else {
    LogEvent(LogLevel::kError, "agent_address_invalid",
             {{"host", m_options.host}, {"address", m_options.address}, {"reason", client.error().message}});
  }
}

AgentLink::~AgentLink() {
  *m_alive = false;
  m_loop.CancelTimer(m_timer);
}

void AgentLink::Start() {
  if (m_client != nullptr) Watch();
}

void AgentLink::Watch() {
  WatchRequest request{.epoch = m_epoch,
                       .known_version = m_known_version,
                       .known_incarnation = m_known_incarnation,
                       .wait_ms = static_cast<int>(absl::ToInt64Milliseconds(m_options.watch_wait)),
                       .life = {},
                       .traits = {}};
  m_listener.on_prepare(m_options.host, m_send_traits, request);
  const bool names_worker = !request.life.worker.empty();
  m_client->Send({.path = std::string(kWatchPath), .headers = {}, .body = EncodeWatchRequest(request)},
                 m_options.watch_wait + m_options.answer_timeout,
                 [this, names_worker, alive = m_alive](Result<StreamResponse> response) {
                   if (*alive) OnWatch(std::move(response), names_worker);
                 });
}

void AgentLink::OnWatch(Result<StreamResponse> response, bool named_worker) {
  if (!response) {
    if (m_reachable) {
      LogEvent(LogLevel::kWarning, "agent_unreachable",
               {{"host", m_options.host}, {"reason", response.error().message}});
    }
    m_reachable = false;
    m_known_version = 0;  // the lists are asked for at once when it is back
    WatchLater();
    return;
  }
  if (response->status == kStatusStaleOwner) {
    m_listener.on_stale();
    WatchLater();
    return;
  }
  Result<WatchAnswer> answer = DecodeWatchAnswer(response->body);
  if (response->status != kStatusOk || !answer) {
    LogEvent(
        LogLevel::kWarning, "agent_answer_unreadable",
        {{"host", m_options.host}, {"status", response->status}, {"reason", answer ? "" : answer.error().message}});
    WatchLater();
    return;
  }
  if (!m_reachable) {
    LogEvent(LogLevel::kInfo, "agent_reached",
             {{"host", m_options.host}, {"worker", answer->report.life.worker}, {"epoch", m_epoch}});
  }
  m_reachable = true;
  // Before a request names the worker, the owner does not know which runs are there.
  if (named_worker) m_send_traits = false;
  if (answer->report.agent_incarnation != m_known_incarnation) m_send_traits = true;
  m_known_version = answer->version;
  m_known_incarnation = answer->report.agent_incarnation;
  m_listener.on_report(m_options.host, answer->report);
  // After the state has taken the report in, so that the next watch carries the new lease.
  m_loop.Defer([this, alive = m_alive] {
    if (*alive) Watch();
  });
}

void AgentLink::WatchLater() {
  m_loop.CancelTimer(m_timer);
  m_timer = m_loop.AddTimer(m_loop.Now() + m_options.retry_pause, [this] { Watch(); });
}

void AgentLink::SendOrders(OrdersRequest request) {
  if (m_client == nullptr) {
    m_listener.on_orders_failure(
        m_options.host, request,
        {.code = FailureCode::kUnavailable, .message = "the agent's address is invalid", .field = {}});
    return;
  }
  request.epoch = m_epoch;
  std::string body = EncodeOrdersRequest(request);
  const std::uint64_t number = ++m_newest_orders;
  m_unanswered.emplace(number, std::move(request));
  m_client->Send({.path = std::string(kOrdersPath), .headers = {}, .body = std::move(body)}, m_options.orders_timeout,
                 [this, number, alive = m_alive](const Result<StreamResponse>& response) {
                   if (*alive) OnOrders(number, response);
                 });
}

std::vector<OrdersRequest> AgentLink::TakeUnanswered() {
  std::vector<OrdersRequest> taken;
  for (auto& [number, request] : std::exchange(m_unanswered, {})) taken.push_back(std::move(request));
  return taken;
}

void AgentLink::OnOrders(std::uint64_t number, const Result<StreamResponse>& response) {
  const auto sent = m_unanswered.extract(number);
  if (sent.empty()) return;
  const OrdersRequest& request = sent.mapped();
  if (!response) {
    m_listener.on_orders_failure(m_options.host, request, response.error());
    return;
  }
  if (response->status == kStatusStaleOwner) m_listener.on_stale();
  const Result<OrdersAnswer> answer = DecodeOrdersAnswer(response->body);
  if (response->status == kStatusOk && answer) {
    m_listener.on_orders_answer(m_options.host, request, *answer);
    return;
  }
  m_listener.on_orders_failure(
      m_options.host, request,
      {.code = FailureCode::kCorrupt,
       .verdict = Verdict::kMayHaveRun,
       .message = answer ? "status " + std::to_string(response->status) : answer.error().message,
       .field = {}});
}

}  // namespace berylgauge::control
