#include "web/microhttpd_server.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <exception>
#include <utility>

#include "base/event_log.h"
#include "web/json_error_response.h"
#include "web/request_head_check.h"
#include "web/request_target.h"

namespace berylgauge {
namespace {

/// The library keeps the head of a request in one block. It is larger than the limits of the options, so that a head
/// that exceeds them by less is answered with a JSON body instead of the library's own text.
constexpr std::size_t kHeadBlockFactor = 4;

/// How much of a body over the limit is read and discarded before the answer. A socket that is closed with unread input
/// sends a reset, which can destroy the answer before the peer has read it.
constexpr std::size_t kMaxDiscardedBytes = 4 << 20;

/// Connections for which each thread of the library has room, as a multiple of those that the acceptor admits. The
/// library divides its limit among its threads, and one thread can receive all connections. It still counts a closed
/// connection for a moment after it has notified this server, when the acceptor can admit another one in its place. At
/// worst, all connections of a thread have been replaced before the first of them is no longer counted; the acceptor's
/// replacements add to that.
constexpr std::intptr_t kLibraryLimitFactor = 3;

/// Interval at which overdue transfers are looked for.
constexpr std::chrono::milliseconds kOverdueCheckInterval{250};

constexpr std::chrono::steady_clock::time_point kNoDeadline = std::chrono::steady_clock::time_point::max();

/// Memory of a connection beside its header block: the library's and this server's own structures, about 2 KB.
constexpr std::size_t kConnectionBytes = 4096;

/// Receive buffer that a listener with a memory budget asks for. A body of a few KB fits; larger ones take some more
/// round trips.
constexpr int kReceiveBufferBytes = 8192;
/// Bytes that a peer can leave unread in it: the operating system doubles what was asked for.
constexpr std::size_t kUnreadBytes = std::size_t{2} * kReceiveBufferBytes;

/// Connections that wait to be accepted may hold unread bytes up to this part of the budget, beside it.
constexpr std::size_t kBacklogDivisor = 8;
/// A short burst of clients must find room while the acceptor waits for its turn.
constexpr std::size_t kLeastBacklog = 32;

/// The body exists twice while a request is decoded and queued.
constexpr std::size_t kBodyCopies = 2;

/// First allocation for a body of unknown length; most bodies of jobs fit.
constexpr std::size_t kFirstBodyCapacity = 4096;

/// Connections accepted beyond the limit while others are closed for them, as a part of the limit.
constexpr int kReplacementDivisor = 8;

/// Longest wait of a new connection for others that are being closed; the library takes a few milliseconds for that.
constexpr std::chrono::milliseconds kClosingWait{200};
/// Connections of other listeners are closed without a notification here.
constexpr std::chrono::milliseconds kClosingCheckInterval{5};

constexpr const char* kRetryAfterSeconds = "1";

constexpr int kContentTooLarge = 413;
constexpr int kUriTooLong = 414;
constexpr int kHeaderFieldsTooLarge = 431;

std::string PeerOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  return info == nullptr || info->client_addr == nullptr ? std::string() : IpAddressOf(info->client_addr);
}

MHD_Result CollectHeader(void* context, MHD_ValueKind, const char* name, std::size_t name_size, const char* value,
                         std::size_t value_size) {
  static_cast<std::vector<RawHeader>*>(context)->push_back(
      {.name = {name, name_size},
       .value = value == nullptr ? std::string_view() : std::string_view(value, value_size)});
  return MHD_YES;
}

/// Memory of the request head after the HTTP version; empty if it is not where the library is known to keep it.
std::string_view HeadLines(MHD_Connection* connection, const char* method, const char* version) {
  const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  if (info == nullptr) return {};
  const char* end = method + info->header_size;
  const char* start = version + std::strlen(version);
  if (version < method || start > end) return {};
  return {start, static_cast<std::size_t>(end - start)};
}

std::string Trimmed(std::string_view text) {
  return std::string(absl::StripAsciiWhitespace(absl::string_view(text.data(), text.size())));
}

/// Headers that the library sets itself or that concern the connection only.
bool IsSetByLibrary(const std::string& name) {
  constexpr std::array<const char*, 4> kNames = {"connection", "content-length", "keep-alive", "transfer-encoding"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&name](const char* other) { return absl::EqualsIgnoreCase(name, other); });
}

bool HasBody(int status) { return status != MHD_HTTP_NO_CONTENT && status != MHD_HTTP_NOT_MODIFIED; }

MHD_Response* MakeResponse(WebResponse& response) {
  auto* body = new std::string(HasBody(response.status) ? std::move(response.body) : std::string());
  MHD_Response* result = MHD_create_response_from_buffer_with_free_callback_cls(
      body->size(), body->data(), [](void* text) { delete static_cast<std::string*>(text); }, body);
  if (result == nullptr) delete body;
  return result;
}

Failure InvalidRequest(std::string message, std::string field) {
  return {.code = FailureCode::kInvalidArgument, .message = std::move(message), .field = std::move(field)};
}

Failure TooLargeBody(std::size_t limit) {
  return InvalidRequest("the body has more than " + std::to_string(limit) + " bytes", "body");
}

WebResponse Unanswered(FailureCode code, std::string message) {
  return JsonErrorResponse({.code = code, .verdict = Verdict::kMayHaveRun, .message = std::move(message), .field = {}});
}

/// Answers with an error when the last copy of a responder is destroyed without a call.
class ResponderGuard {
 public:
  explicit ResponderGuard(std::shared_ptr<WebExchange> exchange) : m_exchange(std::move(exchange)) {}
  ~ResponderGuard() { m_exchange->Answer(Unanswered(FailureCode::kInternal, "the request was dropped")); }
  ResponderGuard(const ResponderGuard&) = delete;
  ResponderGuard& operator=(const ResponderGuard&) = delete;

  void Answer(WebResponse response) { m_exchange->Answer(std::move(response)); }

 private:
  std::shared_ptr<WebExchange> m_exchange;
};

/// Sends a refusal past the library, which takes no answer while it reads a body. The peer is disconnected afterwards.
void SendRefusal(int socket, const WebResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Refused\r\nConnection: close\r\n";
  for (const auto& [name, value] : response.headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
  // The result does not matter: a peer that has closed the connection cannot be told.
  (void)send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

WebResponse MemoryRejection() {
  WebResponse response = JsonErrorResponse(
      {.code = FailureCode::kOverloaded, .message = "the memory for requests is used up", .field = {}});
  response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  return response;
}

/// Allocation for a body of at least `needed` bytes; a declared length is allocated as a whole, so that nothing is
/// copied as the body grows.
std::size_t BodyCapacity(std::size_t present, std::size_t needed, std::size_t declared, std::size_t limit) {
  if (needed <= present) return present;
  if (needed <= declared) return declared;
  return std::max({needed, std::min(2 * present, limit), std::min(kFirstBodyCapacity, limit)});
}

/// Connections that may wait to be accepted by a listener with this memory budget.
int Backlog(std::size_t budget_bytes, int max_connections) {
  const std::size_t affordable = std::max(budget_bytes / kBacklogDivisor / kUnreadBytes, kLeastBacklog);
  return static_cast<int>(std::min(affordable, static_cast<std::size_t>(max_connections)));
}

/// Unlike std::string::reserve, allocates no more than `capacity`.
void Grow(std::string& body, std::size_t capacity) {
  std::string grown;
  grown.reserve(capacity);
  grown.append(body);
  body = std::move(grown);
}

}  // namespace

/// Functions in the form that libmicrohttpd calls; the closure is the server.
struct MicrohttpdCallbacks {
  static WebConnection* ConnectionOf(MHD_Connection* connection) {
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<WebConnection*>(info->socket_context);
  }

  static void Connection(void* server, MHD_Connection* connection, void** context,
                         MHD_ConnectionNotificationCode code) {
    auto* self = static_cast<MicrohttpdServer*>(server);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      self->OnOpen(connection, context);
    } else {
      self->OnClose(context);
    }
  }

  static void* Target(void*, const char* target, MHD_Connection* connection) {
    WebConnection* state = ConnectionOf(connection);
    if (state == nullptr) return nullptr;
    state->target = target;
    state->target_end = target + state->target.size();
    return nullptr;
  }

  /// The library's own decoding would end the path at an escaped NUL; `RequestTarget` decodes instead.
  static std::size_t KeepEscapes(void*, MHD_Connection*, char* text) { return std::strlen(text); }

  static MHD_Result Access(void* server, MHD_Connection* connection, const char*, const char* method,
                           const char* version, const char* upload_data, std::size_t* upload_size, void**) {
    WebConnection* state = ConnectionOf(connection);
    if (state == nullptr) return MHD_NO;
    const bool go_on =
        static_cast<MicrohttpdServer*>(server)->OnAccess(connection, *state, method, version, upload_data, upload_size);
    return go_on ? MHD_YES : MHD_NO;
  }

  static void Completed(void* server, MHD_Connection* connection, void**, MHD_RequestTerminationCode) {
    if (WebConnection* state = ConnectionOf(connection)) static_cast<MicrohttpdServer*>(server)->OnCompleted(*state);
  }

  static void Log(void*, const char* format, va_list arguments) {
    std::array<char, 512> text{};
    (void)std::vsnprintf(text.data(), text.size(), format, arguments);
    LogEvent(LogLevel::kDebug, "http_library_message",
             {{"text", std::string(absl::StripAsciiWhitespace(text.data()))}});
  }
};

std::unique_ptr<WebServer> MakeWebServer() { return std::make_unique<MicrohttpdServer>(); }

MicrohttpdServer::~MicrohttpdServer() { Stop(); }

Result<int> MicrohttpdServer::Start(const WebServerOptions& options, Handler handler) {
  if (m_daemon != nullptr) return NotRun(FailureCode::kInternal, "the listener has been started already");
  m_options = options;
  m_handler = std::move(handler);
  m_stopping = false;
  m_shutting_down = false;

  constexpr unsigned int kFlags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG |
                                  MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC;
  // The acceptor enforces the limits on connections; the library's own limit must never refuse what the acceptor has
  // admitted.
  const std::intptr_t library_limit = kLibraryLimitFactor * options.max_connections * options.threads;
  std::vector<MHD_OptionItem> items = {
      {MHD_OPTION_CONNECTION_LIMIT, library_limit, nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, options.idle_timeout_s, nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::intptr_t>(HeadBlockBytes()), nullptr},
  };
  if (options.threads > 1) items.push_back({MHD_OPTION_THREAD_POOL_SIZE, options.threads, nullptr});
  items.push_back({MHD_OPTION_END, 0, nullptr});
  m_daemon = MHD_start_daemon(kFlags, 0, nullptr, nullptr, &MicrohttpdCallbacks::Access, this,           //
                              MHD_OPTION_EXTERNAL_LOGGER, &MicrohttpdCallbacks::Log, nullptr,            //
                              MHD_OPTION_NOTIFY_CONNECTION, &MicrohttpdCallbacks::Connection, this,      //
                              MHD_OPTION_NOTIFY_COMPLETED, &MicrohttpdCallbacks::Completed, this,        //
                              MHD_OPTION_URI_LOG_CALLBACK, &MicrohttpdCallbacks::Target, nullptr,        //
                              MHD_OPTION_UNESCAPE_CALLBACK, &MicrohttpdCallbacks::KeepEscapes, nullptr,  //
                              MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
  if (m_daemon == nullptr) return NotRun(FailureCode::kUnavailable, "the listener's threads cannot be started");
  AcceptorLimits limits{.connections = options.max_connections,
                        .connections_per_peer = options.max_connections_per_peer};
  if (options.memory) {
    limits.backlog = Backlog(options.memory->budget_bytes(), options.max_connections);
    limits.receive_buffer_bytes = kReceiveBufferBytes;
    limits.replacements = 1 + options.max_connections / kReplacementDivisor;
    options.memory->AddListener(*this);
  }
  Result<int> port = m_acceptor.Start(options.address, options.port, limits,
                                      [this](int socket, const ListenerAddress& peer, bool is_replacement) {
                                        return TakeOver(socket, peer, is_replacement);
                                      });
  if (!port) {
    if (options.memory) options.memory->RemoveListener(*this);
    MHD_stop_daemon(std::exchange(m_daemon, nullptr));
    return port;
  }
  m_overdue_thread = std::thread([this] { CutOffOverduePeers(); });
  return port;
}

void MicrohttpdServer::BeginShutdown() {
  if (m_daemon == nullptr || m_shutting_down.exchange(true)) return;
  m_acceptor.Stop();
}

int MicrohttpdServer::OpenRequests() const {
  const std::lock_guard lock(m_mutex);
  return static_cast<int>(m_exchanges.size());
}

void MicrohttpdServer::Stop() {
  if (m_daemon == nullptr) return;
  BeginShutdown();
  std::unordered_set<std::shared_ptr<WebExchange>> open;
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    open = m_exchanges;
  }
  m_stop_changed.notify_all();
  // The library aborts the program when it is stopped with suspended connections.
  for (const auto& exchange : open) exchange->Answer(Unanswered(FailureCode::kUnavailable, "shutting down"));
  MHD_stop_daemon(m_daemon);
  m_daemon = nullptr;
  m_overdue_thread.join();
  if (!m_options.memory) return;
  m_options.memory->RemoveListener(*this);
  for (const auto& [socket, id] : std::exchange(m_admitted, {})) m_options.memory->Remove(id);
}

bool MicrohttpdServer::TakeOver(int socket, const ListenerAddress& peer, bool is_replacement) {
  ConnectionId id = 0;
  if (m_options.memory) {
    const std::optional<ConnectionId> opened = OpenInMemory(IpAddressOf(peer.get()), is_replacement);
    if (!opened) {
      SendRefusal(socket, MemoryRejection());
      close(socket);
      return false;
    }
    id = *opened;
    const std::lock_guard lock(m_mutex);
    m_admitted[socket] = id;
  }
  // The library closes the socket itself if it cannot take it.
  if (MHD_add_connection(m_daemon, socket, peer.get(), peer.size) == MHD_YES) return true;
  if (m_options.memory) {
    const std::lock_guard lock(m_mutex);
    m_admitted.erase(socket);
    m_options.memory->Remove(id);
  }
  return false;
}

std::optional<ConnectionId> MicrohttpdServer::OpenInMemory(const std::string& peer, bool is_replacement) {
  const auto limit = std::chrono::steady_clock::now() + kClosingWait;
  while (true) {
    const RequestMemory::Decision decision = m_options.memory->Open(
        *this, peer, HeadBlockBytes() + kConnectionBytes + kUnreadBytes, is_replacement, m_clock.Now());
    CarryOut(decision);
    if (decision.granted) return decision.connection;
    if (!decision.retry) return std::nullopt;
    // During a shutdown the acceptor must not be held up by each connection that waits.
    if (m_shutting_down || std::chrono::steady_clock::now() > limit) {
      CarryOut(m_options.memory->Reject(peer, m_clock.Now()));
      return std::nullopt;
    }
    std::unique_lock lock(m_mutex);
    m_connection_closed.wait_for(lock, kClosingCheckInterval);
  }
}

void MicrohttpdServer::CarryOut(const RequestMemory::Decision& decision) {
  m_options.memory->Close(decision.named);
  if (!decision.report) return;
  LogEvent(LogLevel::kWarning, "request_memory_used_up",
           {{"closed", decision.report->closed},
            {"rejected", decision.report->rejected},
            {"used_bytes", decision.report->used_bytes},
            {"budget_bytes", m_options.memory->budget_bytes()},
            {"peer", decision.report->peer}});
}

void MicrohttpdServer::CloseForMemory(const std::vector<ConnectionId>& connections) {
  const std::lock_guard lock(m_mutex);
  for (const ConnectionId id : connections) {
    const auto it = m_connections_by_id.find(id);
    if (it == m_connections_by_id.end()) continue;
    WebConnection& state = *it->second;
    const std::lock_guard body_lock(state.body_mutex);
    state.closed_for_memory = true;
    std::string().swap(state.request.body);
    if (state.receives_body) SendRefusal(state.socket, MemoryRejection());
    // The library notifies this server before it closes a socket, so the number cannot belong to another one.
    shutdown(state.socket, SHUT_RDWR);
  }
}

bool MicrohttpdServer::ReserveBody(const WebConnection& state, std::size_t capacity) {
  if (!m_options.memory) return true;
  const RequestMemory::Decision decision =
      m_options.memory->ReserveBody(state.id, kBodyCopies * capacity, m_clock.Now());
  CarryOut(decision);
  return decision.granted;
}

std::size_t MicrohttpdServer::HeadBlockBytes() const {
  return kHeadBlockFactor * (m_options.max_url_bytes + m_options.max_header_bytes);
}

void MicrohttpdServer::OnOpen(MHD_Connection* connection, void** context) {
  auto state = std::make_unique<WebConnection>();
  const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info != nullptr) state->socket = info->connect_fd;
  state->peer = PeerOf(connection);
  state->deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(m_options.idle_timeout_s + m_options.transfer_timeout_s);
  *context = state.get();
  const std::lock_guard lock(m_mutex);
  if (const auto admitted = m_admitted.extract(state->socket)) {
    state->id = admitted.mapped();
    m_connections_by_id.emplace(state->id, state.get());
    // Named before it could be found here. What is named from now on is found.
    if (m_options.memory->IsNamed(state->id)) shutdown(state->socket, SHUT_RDWR);
  }
  m_connections.emplace(state.get(), std::move(state));
}

void MicrohttpdServer::OnClose(void** context) {
  auto* state = static_cast<WebConnection*>(std::exchange(*context, nullptr));
  if (state == nullptr) return;
  OnCompleted(*state);
  m_acceptor.Release(state->peer);
  const ConnectionId id = state->id;
  {
    const std::lock_guard lock(m_mutex);
    m_connections_by_id.erase(id);
    m_connections.erase(state);
  }
  if (!m_options.memory) return;
  m_options.memory->Remove(id);
  m_connection_closed.notify_all();
}

bool MicrohttpdServer::OnAccess(MHD_Connection* connection, WebConnection& state, const char* method,
                                const char* version, const char* upload_data, std::size_t* upload_size) {
  if (!state.exchange) return OnHead(connection, state, method, version);
  if (*upload_size > 0) {
    const std::size_t size = std::exchange(*upload_size, 0);
    return OnBody(state, upload_data, size);
  }
  if (!state.dispatched) {
    SetDeadline(state, std::nullopt);
    {
      const std::lock_guard lock(state.body_mutex);
      state.receives_body = false;
    }
    if (state.discarded_bytes > 0) {
      state.close_after_answer = true;
      state.exchange->Answer(JsonErrorResponse(TooLargeBody(m_options.max_body_bytes), kContentTooLarge));
    } else if (m_options.memory && !m_options.memory->BeginDispatch(state.id)) {
      return false;
    } else {
      Dispatch(state);
    }
    state.dispatched = true;
  }
  std::optional<WebResponse> response = state.exchange->TakeOrSuspend();
  return !response || Queue(connection, state, *std::move(response));
}

bool MicrohttpdServer::OnHead(MHD_Connection* connection, WebConnection& state, const char* method,
                              const char* version) {
  if (!Register(state, connection)) return false;
  std::vector<RawHeader> raw_headers;
  MHD_get_connection_values_n(connection, MHD_HEADER_KIND, &CollectHeader, &raw_headers);
  const std::string_view lines = HeadLines(connection, method, version);
  if (state.target.size() > m_options.max_url_bytes) {
    return Refuse(connection, state, kUriTooLong,
                  InvalidRequest("the URL has more than " + std::to_string(m_options.max_url_bytes) + " bytes", "url"));
  }
  if (raw_headers.size() > m_options.max_headers) {
    return Refuse(
        connection, state, kHeaderFieldsTooLarge,
        InvalidRequest("there are more than " + std::to_string(m_options.max_headers) + " headers", "headers"));
  }
  if (lines.size() > m_options.max_header_bytes) {
    return Refuse(connection, state, kHeaderFieldsTooLarge,
                  InvalidRequest("the headers have more than " + std::to_string(m_options.max_header_bytes) + " bytes",
                                 "headers"));
  }
  if (version != state.target_end + 1) {
    return Refuse(connection, state, MHD_HTTP_BAD_REQUEST, InvalidRequest("the URL contains NUL", "url"));
  }
  if (!HasStrictLineEnds(lines, raw_headers)) {
    return Refuse(connection, state, MHD_HTTP_BAD_REQUEST,
                  InvalidRequest("the header lines contain NUL, a bare CR or LF, or a folded line", "headers"));
  }
  WebRequest& request = state.request;
  for (const RawHeader& header : raw_headers) {
    request.headers.emplace_back(absl::AsciiStrToLower(std::string(header.name)), Trimmed(header.value));
  }
  if (const auto refusal = CheckHead(method, version, request.headers)) {
    return Refuse(connection, state, refusal->status, refusal->failure);
  }
  Result<RequestTarget> target = RequestTarget::Parse(state.target);
  if (!target) return Refuse(connection, state, MHD_HTTP_BAD_REQUEST, target.error());
  request.method = method;
  request.path = std::move(target->path);
  request.query = std::move(target->query);
  request.target = state.target;
  request.peer = state.peer;

  const std::string length = request.Header("content-length");
  // More than 18 digits exceed each limit and need not fit a number.
  const std::size_t declared = length.size() > 18 ? SIZE_MAX : std::strtoull(length.c_str(), nullptr, 10);
  const bool too_large = declared > m_options.max_body_bytes;
  const bool can_discard = declared - m_options.max_body_bytes <= kMaxDiscardedBytes;
  if (too_large && (!can_discard || !request.Header("expect").empty())) {
    return Refuse(connection, state, kContentTooLarge, TooLargeBody(m_options.max_body_bytes));
  }
  // The library is lenient about chunk lines and trailers as well. Nothing that follows a chunked body is read as
  // another request, so that a different reading by a proxy has no effect.
  state.close_after_answer = !request.Header("transfer-encoding").empty();
  state.declared_bytes = too_large ? 0 : declared;
  const int timeout_s = m_options.body_timeout_s > 0 ? m_options.body_timeout_s : m_options.transfer_timeout_s;
  SetDeadline(state, std::chrono::seconds(timeout_s));
  const std::lock_guard lock(state.body_mutex);
  state.receives_body = declared > 0 || state.close_after_answer;
  return !state.closed_for_memory;
}

bool MicrohttpdServer::OnBody(WebConnection& state, const char* data, std::size_t size) {
  std::string& body = state.request.body;
  std::size_t capacity = 0;
  {
    const std::lock_guard lock(state.body_mutex);
    if (state.closed_for_memory) return false;
    if (state.discarded_bytes > 0 || size > m_options.max_body_bytes - body.size()) return DiscardBody(state, size);
    const std::size_t present = body.empty() ? 0 : body.capacity();
    capacity = BodyCapacity(present, body.size() + size, state.declared_bytes, m_options.max_body_bytes);
  }
  // Without the lock, because other connections may be closed for this one, and this one for others at the same time.
  if (!ReserveBody(state, capacity)) return false;
  const std::lock_guard lock(state.body_mutex);
  if (state.closed_for_memory) return false;
  if (capacity > body.capacity()) Grow(body, capacity);
  body.append(data, size);
  return true;
}

bool MicrohttpdServer::DiscardBody(WebConnection& state, std::size_t size) {
  if (state.discarded_bytes == 0) {
    std::string().swap(state.request.body);
    if (m_options.memory) m_options.memory->ReleaseBody(state.id);
  }
  state.discarded_bytes += size;
  if (state.discarded_bytes <= kMaxDiscardedBytes) return true;
  SendRefusal(state.socket, JsonErrorResponse(TooLargeBody(m_options.max_body_bytes), kContentTooLarge));
  return false;
}

void MicrohttpdServer::Dispatch(WebConnection& state) {
  const auto guard = std::make_shared<ResponderGuard>(state.exchange);
  try {
    m_handler(std::move(state.request), [guard](WebResponse response) { guard->Answer(std::move(response)); });
  } catch (const std::exception& error) {
    // An exception must not pass through the library, which is written in C.
    LogEvent(LogLevel::kError, "web_handler_failed", {{"error", error.what()}});
    guard->Answer(Unanswered(FailureCode::kInternal, "the request could not be processed"));
  }
}

bool MicrohttpdServer::Queue(MHD_Connection* connection, WebConnection& state, WebResponse response) {
  if (response.status < 200 || response.status > 599) {
    response = Unanswered(FailureCode::kInternal, "the handler returned an invalid status");
  }
  const int status = response.status;
  if (m_options.memory) m_options.memory->AddResponse(state.id, response.body.size());
  MHD_Response* answer = MakeResponse(response);
  if (answer == nullptr) return false;
  for (const auto& [name, value] : response.headers) {
    if (IsSetByLibrary(name)) continue;
    if (MHD_add_response_header(answer, name.c_str(), value.c_str()) != MHD_YES) {
      LogEvent(LogLevel::kWarning, "web_response_header_dropped", {{"name", name}});
    }
  }
  if (state.close_after_answer || m_shutting_down) {
    MHD_add_response_header(answer, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  SetDeadline(state, std::chrono::seconds(m_options.transfer_timeout_s));
  const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned int>(status), answer);
  MHD_destroy_response(answer);
  return queued == MHD_YES;
}

bool MicrohttpdServer::Refuse(MHD_Connection* connection, WebConnection& state, int status, const Failure& failure) {
  state.close_after_answer = true;
  state.dispatched = true;
  return Queue(connection, state, JsonErrorResponse(failure, status));
}

bool MicrohttpdServer::Register(WebConnection& state, MHD_Connection* connection) {
  auto exchange = std::make_shared<WebExchange>(connection);
  const std::lock_guard lock(m_mutex);
  if (m_stopping) return false;
  m_exchanges.insert(exchange);
  state.exchange = std::move(exchange);
  return true;
}

void MicrohttpdServer::OnCompleted(WebConnection& state) {
  if (!state.exchange) return;
  state.exchange->Detach();
  const std::lock_guard lock(m_mutex);
  m_exchanges.erase(state.exchange);
  state.exchange.reset();
  {
    const std::lock_guard body_lock(state.body_mutex);
    state.request = WebRequest();
    state.receives_body = false;
  }
  state.target.clear();
  state.dispatched = false;
  state.close_after_answer = false;
  state.discarded_bytes = 0;
  state.declared_bytes = 0;
  if (m_options.memory) m_options.memory->EndRequest(state.id, m_clock.Now());
  state.deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(m_options.idle_timeout_s + m_options.transfer_timeout_s);
}

void MicrohttpdServer::SetDeadline(WebConnection& state, std::optional<std::chrono::seconds> limit) {
  const auto deadline = limit ? std::chrono::steady_clock::now() + *limit : kNoDeadline;
  const std::lock_guard lock(m_mutex);
  state.deadline = deadline;
}

void MicrohttpdServer::CutOffOverduePeers() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [state, owner] : m_connections) {
      // The library notifies this server before it closes a socket, so the number cannot belong to another one.
      if (now > state->deadline) shutdown(state->socket, SHUT_RDWR);
    }
    m_stop_changed.wait_for(lock, kOverdueCheckInterval, [this] { return m_stopping; });
  }
}

}  // namespace berylgauge
