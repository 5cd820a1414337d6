#include "standin_server.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace berylgauge {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;
constexpr std::int64_t kMaxDelayMs = 600'000;
constexpr std::int64_t kMaxLostAnswers = 1'000'000'000;

/// A request while it is being received.
struct IncomingRequest {
  StandinRequest request;
  bool started = false;
  bool counted = false;
};

void* OnUri(void*, const char* uri, MHD_Connection*) {
  auto incoming = std::make_unique<IncomingRequest>();
  incoming->request.target = uri;
  return incoming.release();
}

MHD_Result OnHeader(void* self, MHD_ValueKind, const char* key, const char* value) {
  static_cast<StandinRequest*>(self)->headers.emplace_back(absl::AsciiStrToLower(key), value == nullptr ? "" : value);
  return MHD_YES;
}

MHD_Result OnArgument(void* self, MHD_ValueKind, const char* key, const char* value) {
  static_cast<StandinRequest*>(self)->query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

int PeerPortOf(MHD_Connection* connection) {
  const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info == nullptr) return 0;
  return ntohs(reinterpret_cast<const sockaddr_in*>(info->client_addr)->sin_port);
}

void OnConnection(void* self, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<StandinServer*>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    *context =
        server->AddConnection(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
  } else {
    server->RemoveConnection(static_cast<StandinServer::Connection*>(*context));
    *context = nullptr;
  }
}

StandinServer::Connection& ConnectionOf(MHD_Connection* connection) {
  const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<StandinServer::Connection*>(info->socket_context);
}

MHD_Result OnRequest(void* self, MHD_Connection* connection, const char* path, const char* method, const char*,
                     const char* data, std::size_t* size, void** context) {
  auto* incoming = static_cast<IncomingRequest*>(*context);
  StandinRequest& request = incoming->request;
  if (!incoming->started) {
    incoming->started = true;
    return MHD_YES;
  }
  if (*size > 0) {
    if (request.body.size() + *size > kMaxBodyBytes) return MHD_NO;
    request.body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  request.method = method;
  request.path = path;
  request.peer_port = PeerPortOf(connection);
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &OnHeader, &request);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &OnArgument, &request);
  auto* server = static_cast<StandinServer*>(self);
  server->NoteRequest(ConnectionOf(connection), request);
  server->AddOpenRequests(1);
  incoming->counted = true;
  return server->Answer(connection, request) ? MHD_YES : MHD_NO;
}

void OnCompleted(void* self, MHD_Connection*, void** context, MHD_RequestTerminationCode) {
  const std::unique_ptr<IncomingRequest> incoming(static_cast<IncomingRequest*>(*context));
  if (incoming != nullptr && incoming->counted) static_cast<StandinServer*>(self)->AddOpenRequests(-1);
  *context = nullptr;
}

/// Gives out the first half of a body and then reports an error, upon which the library closes the connection.
ssize_t ReadHalf(void* context, std::uint64_t position, char* buffer, std::size_t max) {
  const auto& body = *static_cast<std::string*>(context);
  const std::size_t half = body.size() / 2;
  if (position >= half) return MHD_CONTENT_READER_END_WITH_ERROR;
  const std::size_t count = std::min(max, half - static_cast<std::size_t>(position));
  std::copy_n(body.data() + position, count, buffer);
  return static_cast<ssize_t>(count);
}

void FreeBody(void* context) { delete static_cast<std::string*>(context); }

bool Send(MHD_Connection* connection, const StandinResponse& answer) {
  constexpr std::size_t kBlockBytes = 1024;
  MHD_Response* response = nullptr;
  if (answer.truncated) {
    auto body = std::make_unique<std::string>(answer.body);
    response = MHD_create_response_from_callback(answer.body.size(), kBlockBytes, &ReadHalf, body.release(), &FreeBody);
  } else {
    response = MHD_create_response_from_buffer(answer.body.size(), const_cast<char*>(answer.body.data()),
                                               MHD_RESPMEM_MUST_COPY);
  }
  for (const auto& [name, value] : answer.headers) MHD_add_response_header(response, name.c_str(), value.c_str());
  const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
  MHD_destroy_response(response);
  return queued == MHD_YES;
}

bool IsControl(const StandinRequest& request) { return request.path.starts_with("/control/"); }

std::int64_t NumberOf(const StandinRequest& request, const std::string& key) {
  std::int64_t number = 0;
  const auto it = request.query.find(key);
  if (it == request.query.end() || !absl::SimpleAtoi(it->second, &number) || number < 0) return 0;
  return number;
}

}  // namespace

StandinServer::~StandinServer() { Stop(); }

Result<int> StandinServer::Start(const std::string& address, int port) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, address.c_str(), &socket_address.sin_addr) != 1) {
    return NotRun(FailureCode::kInvalidArgument, "not an IPv4 address: " + address, "address");
  }
  m_service.SetConnectionCloser([this] { CloseConnections(); });
  m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                              static_cast<std::uint16_t>(port), nullptr, nullptr, &OnRequest, this,
                              MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_URI_LOG_CALLBACK, &OnUri, nullptr,
                              MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
                              &OnConnection, this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (m_daemon == nullptr)
    return NotRun(FailureCode::kUnavailable, absl::StrCat("cannot listen on ", address, ":", port));
  return static_cast<int>(MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

void StandinServer::Stop() {
  if (m_daemon == nullptr) return;
  m_service.Drain();
  {
    std::unique_lock lock(m_mutex);
    if (m_service.FinishesRequests()) {
      m_changed.wait(lock, [&] { return m_open_requests == 0 || m_faults.outage == Outage::kSilent; });
    }
    m_stopped = true;
    m_changed.notify_all();
  }
  m_service.Stop();
  m_record.Stop();
  MHD_stop_daemon(m_daemon);
  m_daemon = nullptr;
}

void StandinServer::AddOpenRequests(int change) {
  const std::lock_guard lock(m_mutex);
  m_open_requests += change;
  m_changed.notify_all();
}

StandinServer::Connection* StandinServer::AddConnection(int socket) {
  auto connection = std::make_unique<Connection>();
  connection->socket = socket;
  Connection* added = connection.get();
  const std::lock_guard lock(m_connections_mutex);
  m_connections.insert(std::move(connection));
  return added;
}

void StandinServer::RemoveConnection(Connection* connection) {
  const std::lock_guard lock(m_connections_mutex);
  std::erase_if(m_connections, [&](const auto& present) { return present.get() == connection; });
}

void StandinServer::NoteRequest(Connection& connection, StandinRequest& request) {
  const std::lock_guard lock(m_connections_mutex);
  connection.is_control = IsControl(request);
  request.is_cut = connection.is_cut;
}

void StandinServer::CloseConnections() {
  const std::lock_guard lock(m_connections_mutex);
  for (const std::unique_ptr<Connection>& connection : m_connections) {
    if (connection->is_control) continue;
    *connection->is_cut = true;
    // The library closes the socket when it next looks at it; the peer sees the end now.
    shutdown(connection->socket, SHUT_RDWR);
  }
}

bool StandinServer::Answer(MHD_Connection* connection, const StandinRequest& request) {
  if (IsControl(request)) return Send(connection, HandleControl(request));
  bool unavailable = false;
  if (!WaitForFaults(unavailable)) return false;
  if (unavailable) return Send(connection, StandinResponse::Error(503, "outage"));
  const StandinResponse answer = m_service.Handle(request);
  if (answer.closed || TakeLostAnswer()) return false;
  return Send(connection, answer);
}

StandinResponse StandinServer::HandleControl(const StandinRequest& request) {
  if (request.path == "/control/record") {
    return StandinResponse::Json(m_record.Read(static_cast<std::size_t>(NumberOf(request, "from")),
                                               absl::Milliseconds(NumberOf(request, "wait_ms"))));
  }
  if (request.path == "/control/close-connections") {
    CloseConnections();
    return StandinResponse::Json(nlohmann::json::object());
  }
  if (request.path != "/control/faults") return m_service.HandleControl(request);
  return request.method == "GET" ? StandinResponse::Json(FaultsToJson()) : SetFaults(request);
}

StandinResponse StandinServer::SetFaults(const StandinRequest& request) {
  const nlohmann::json document = nlohmann::json::parse(request.body, nullptr, false);
  if (document.is_discarded()) return StandinResponse::Error(400, "not JSON");
  {
    const std::lock_guard lock(m_mutex);
    JsonErrors errors;
    JsonObjectReader reader(document, "$", errors);
    CommonFaults faults;
    faults.outage = reader.Enum("outage", kOutageNames, std::optional(m_faults.outage));
    faults.delay_ms = reader.Integer("delay_ms", {.default_value = m_faults.delay_ms, .max = kMaxDelayMs});
    faults.lose_answers =
        reader.Integer("lose_answers", {.default_value = m_faults.lose_answers, .max = kMaxLostAnswers});
    m_service.ReadFaults(reader);
    reader.Finish();
    if (!errors.empty()) return StandinResponse::Error(400, errors.ToFailure().message);
    m_faults = faults;
    m_service.ApplyFaults();
    m_changed.notify_all();
  }
  return StandinResponse::Json(FaultsToJson());
}

nlohmann::json StandinServer::FaultsToJson() {
  const std::lock_guard lock(m_mutex);
  nlohmann::json faults = m_service.Faults();
  faults["outage"] = kOutageNames.NameOf(m_faults.outage);
  faults["delay_ms"] = m_faults.delay_ms;
  faults["lose_answers"] = m_faults.lose_answers;
  return faults;
}

bool StandinServer::WaitForFaults(bool& unavailable) {
  std::unique_lock lock(m_mutex);
  const auto delay = std::chrono::milliseconds(m_faults.delay_ms);
  if (delay.count() > 0) m_changed.wait_for(lock, delay, [&] { return m_stopped; });
  if (m_faults.outage == Outage::kSilent) {
    m_changed.wait(lock, [&] { return m_stopped || m_faults.outage != Outage::kSilent; });
    return false;
  }
  unavailable = m_faults.outage == Outage::kUnavailable;
  return !m_stopped;
}

bool StandinServer::TakeLostAnswer() {
  const std::lock_guard lock(m_mutex);
  if (m_faults.lose_answers == 0) return false;
  --m_faults.lose_answers;
  return true;
}

}  // namespace berylgauge
