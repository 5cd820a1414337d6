#include "transport/client_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "transport/client_connection.h"
#include "transport/event_loop.h"
#include "transport/header_rules.h"

namespace berylgauge {
namespace {

// Bounds the connections of a peer that sends GOAWAY again and again while its streams never end.
constexpr std::ptrdiff_t kMaxDrainingConnections = 8;

}  // namespace

ClientDispatcher::ClientDispatcher(EventLoop& loop, SocketAddress address, const StreamClientOptions& options)
    : m_loop(loop),
      m_address(std::move(address)),
      m_options(options),
      m_counters(options.metrics != nullptr ? *options.metrics : m_own_metrics, "client"),
      m_request_budget(options.max_request_bytes),
      m_response_budget(options.max_response_bytes),
      m_backoff(options.reconnect_initial_delay, options.reconnect_max_delay) {}

ClientDispatcher::~ClientDispatcher() = default;

void ClientDispatcher::Submit(StreamRequest request, absl::Duration timeout, StreamClient::Callback callback) {
  auto stream = std::make_unique<ClientStream>();
  stream->request = std::move(request);
  stream->callback = std::move(callback);
  stream->deadline = m_clock.Now() + timeout;
  if (Result<void> admitted = Admit(*stream, timeout); admitted) {
    stream->counted = true;
  } else {
    stream->refusal = std::move(admitted.error());
    stream->request = {};
  }
  if (m_loop.IsInLoopThread()) {
    Accept(std::move(stream));
    return;
  }
  bool first = false;
  {
    const std::lock_guard lock(m_mutex);
    first = m_inbox.empty();
    m_inbox.push_back(std::move(stream));
  }
  if (first) m_loop.Post([self = shared_from_this()] { self->DrainInbox(); });
}

Result<void> ClientDispatcher::Admit(const ClientStream& stream, absl::Duration timeout) {
  const StreamRequest& request = stream.request;
  if (timeout <= absl::ZeroDuration()) {
    return NotRun(FailureCode::kDeadlineExceeded, "the deadline had passed before the request was sent");
  }
  if (request.body.size() > m_options.max_request_body_bytes) {
    return NotRun(FailureCode::kInvalidArgument,
                  "the body of " + std::to_string(request.body.size()) + " bytes exceeds " +
                      std::to_string(m_options.max_request_body_bytes),
                  "body");
  }
  if (Result<void> path = CheckPath(request.path); !path) return path;
  if (Result<void> headers = CheckHeaders(request.headers, request.body.size(), m_options.max_header_list_bytes);
      !headers) {
    return headers;
  }
  if (m_waiting.fetch_add(1, std::memory_order_relaxed) >= m_options.max_queued_requests) {
    m_waiting.fetch_sub(1, std::memory_order_relaxed);
    return NotRun(FailureCode::kOverloaded,
                  std::to_string(m_options.max_queued_requests) + " requests to " + m_address.text() + " are waiting");
  }
  if (!m_request_budget.TryReserve(request.body.size())) {
    m_waiting.fetch_sub(1, std::memory_order_relaxed);
    return NotRun(FailureCode::kOverloaded, "the unfinished requests to " + m_address.text() + " exceed " +
                                                std::to_string(m_options.max_request_bytes) + " bytes");
  }
  return {};
}

void ClientDispatcher::DrainInbox() {
  std::vector<std::unique_ptr<ClientStream>> streams;
  {
    const std::lock_guard lock(m_mutex);
    streams.swap(m_inbox);
  }
  for (std::unique_ptr<ClientStream>& stream : streams) Accept(std::move(stream));
}

void ClientDispatcher::Accept(std::unique_ptr<ClientStream> stream) {
  if (stream->refusal) {
    OnStreamFinished(*stream, tl::make_unexpected(std::move(*stream->refusal)));
    return;
  }
  if (m_closed) {
    OnStreamFinished(*stream, NotRun(FailureCode::kUnavailable, "the client is closed"));
    return;
  }
  m_used = true;
  ClientConnection* const connection = m_queue.empty() ? FindConnectionWithCapacity() : nullptr;
  if (connection == nullptr && m_unreachable) {
    OnStreamFinished(*stream,
                     NotRun(FailureCode::kUnavailable, m_address.text() + " is not reachable: " + m_last_error));
    return;
  }
  if (stream->deadline < InfiniteFuture()) {
    ClientStream* const raw = stream.get();
    stream->timer = m_loop.AddTimer(stream->deadline, [this, raw] {
      raw->timer = {};
      OnDeadline(*raw);
    });
  }
  if (connection != nullptr && OpenStream(stream)) return;
  Enqueue(std::move(stream));
  ConnectIfNeeded();
}

void ClientDispatcher::Enqueue(std::unique_ptr<ClientStream> stream) {
  m_queue.push_back(std::move(stream));
  m_queue.back()->queue_position = std::prev(m_queue.end());
}

ClientConnection* ClientDispatcher::FindConnectionWithCapacity() const {
  for (const std::shared_ptr<ClientConnection>& connection : m_connections) {
    if (connection->HasCapacity()) return connection.get();
  }
  return nullptr;
}

bool ClientDispatcher::OpenStream(std::unique_ptr<ClientStream>& stream) {
  ClientConnection* const connection = FindConnectionWithCapacity();
  if (connection == nullptr || !connection->Open(stream)) return false;
  m_waiting.fetch_sub(1, std::memory_order_relaxed);
  return true;
}

void ClientDispatcher::DispatchQueue() {
  while (!m_queue.empty()) {
    std::unique_ptr<ClientStream>& stream = m_queue.front();
    const auto position = std::exchange(stream->queue_position, std::nullopt);
    if (!OpenStream(stream)) {
      stream->queue_position = position;
      break;
    }
    m_queue.pop_front();
  }
  ConnectIfNeeded();
}

void ClientDispatcher::OnDeadline(ClientStream& stream) {
  if (!stream.queue_position) {
    stream.connection->Abandon(stream);
    return;
  }
  const ClientStream::Queue::iterator position = *stream.queue_position;
  OnStreamFinished(stream, NotRun(FailureCode::kDeadlineExceeded,
                                  "the deadline passed before a stream to " + m_address.text() + " was open"));
  m_queue.erase(position);
}

void ClientDispatcher::FailQueue(const std::string& reason) {
  while (!m_queue.empty()) {
    OnStreamFinished(*m_queue.front(),
                     NotRun(FailureCode::kUnavailable, m_address.text() + " is not reachable: " + reason));
    m_queue.pop_front();
  }
}

void ClientDispatcher::ConnectIfNeeded() {
  if (m_closed || !m_used || m_reconnect_timer.valid()) return;
  int usable = 0;
  for (const std::shared_ptr<ClientConnection>& connection : m_connections) {
    if (connection->IsConnecting()) return;
    if (!connection->draining()) ++usable;
  }
  const std::ptrdiff_t draining = static_cast<std::ptrdiff_t>(m_connections.size()) - usable;
  if (draining >= kMaxDrainingConnections) return;
  if (usable > 0 && (m_queue.empty() || usable >= m_options.max_connections)) return;
  m_connections.push_back(
      ClientConnection::Connect(m_loop, m_address, m_options, m_response_budget, m_counters, *this));
}

void ClientDispatcher::OnCapacity() {
  if (m_closed) return;
  m_unreachable = false;
  DispatchQueue();
}

void ClientDispatcher::OnDraining(ClientConnection& connection) {
  OnConnectionLost(connection.proven(), "the peer is shutting down");
}

void ClientDispatcher::OnConnectionClosed(ClientConnection& connection, const std::string& reason) {
  const bool draining = connection.draining();
  const bool proven = connection.proven();
  const auto found = std::find_if(m_connections.begin(), m_connections.end(),
                                  [&](const auto& candidate) { return candidate.get() == &connection; });
  if (found != m_connections.end()) m_connections.erase(found);
  if (m_closed) return;
  LogEvent(LogLevel::kInfo, "connection_closed", {{"peer", m_address.text()}, {"reason", reason}});
  if (draining) {
    ConnectIfNeeded();
    return;
  }
  OnConnectionLost(proven, reason);
}

void ClientDispatcher::OnConnectionLost(bool proven, const std::string& reason) {
  if (m_closed) return;
  if (proven) {
    // The peer worked until now; it may be back already, for example behind the same address.
    m_backoff.Reset();
    ConnectIfNeeded();
    return;
  }
  if (!m_reconnect_timer.valid()) {
    m_reconnect_timer = m_loop.AddTimer(m_loop.Now() + m_backoff.NextDelay(m_random), [this] {
      m_reconnect_timer = {};
      ConnectIfNeeded();
    });
  }
  const bool reachable = std::any_of(m_connections.begin(), m_connections.end(),
                                     [](const auto& connection) { return connection->IsUsable(); });
  if (reachable) return;
  m_unreachable = true;
  m_last_error = reason;
  FailQueue(reason);
}

void ClientDispatcher::OnStreamFinished(ClientStream& stream, Result<StreamResponse> result) {
  if (std::exchange(stream.finished, true)) return;
  m_loop.CancelTimer(stream.timer);
  if (stream.counted) {
    // A stream with a connection left the waiting requests when it was opened.
    if (stream.connection == nullptr) m_waiting.fetch_sub(1, std::memory_order_relaxed);
    m_request_budget.Release(stream.request.body.size());
    std::string().swap(stream.request.body);
  }
  if (result) {
    m_counters.streams_completed.Add();
  } else if (result.error().verdict == Verdict::kNotRun) {
    m_counters.streams_not_run.Add();
  } else {
    m_counters.streams_may_have_run.Add();
  }
  m_completions.push_back({std::move(stream.callback), std::move(result)});
  ScheduleCompletions();
}

void ClientDispatcher::ScheduleCompletions() {
  if (std::exchange(m_completions_scheduled, true)) return;
  m_loop.Defer([self = shared_from_this()] {
    self->m_completions_scheduled = false;
    self->RunCompletions(self->m_completions.size());
  });
}

void ClientDispatcher::RunCompletions(std::size_t max_count) {
  // Bounded, because a callback that sends again may fail at once and add its own completion.
  for (std::size_t i = 0; i < max_count && !m_completions.empty(); ++i) {
    Completion completion = std::move(m_completions.front());
    m_completions.pop_front();
    completion.callback(std::move(completion.result));
  }
  if (!m_completions.empty()) ScheduleCompletions();
}

void ClientDispatcher::Close() {
  const std::shared_ptr<ClientDispatcher> self = shared_from_this();
  m_closed = true;
  m_loop.CancelTimer(m_reconnect_timer);
  DrainInbox();
  while (!m_queue.empty()) {
    OnStreamFinished(*m_queue.front(), NotRun(FailureCode::kUnavailable, "the client is closed"));
    m_queue.pop_front();
  }
  const std::vector<std::shared_ptr<ClientConnection>> connections = m_connections;
  for (const std::shared_ptr<ClientConnection>& connection : connections) connection->Close("the client is closed");
  while (!m_completions.empty()) RunCompletions(m_completions.size());
}

}  // namespace berylgauge
