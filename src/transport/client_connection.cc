#include "transport/client_connection.h"

#include <absl/container/inlined_vector.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

#include "transport/client_connection_listener.h"
#include "transport/header_rules.h"
#include "transport/socket_address.h"
#include "transport/stream_client_options.h"

namespace berylgauge {
namespace {

constexpr int kPingAfterDivisor = 3;
constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kInlineHeaders = 16;

Http2ConnectionOptions ConnectionOptions(const StreamClientOptions& options) {
  return {.session = {.role = Http2Role::kClient,
                      .stream_window_bytes = options.stream_window_bytes,
                      .connection_window_bytes = options.connection_window_bytes,
                      .max_header_list_bytes = options.max_header_list_bytes,
                      .max_concurrent_streams = 0},
          .handshake_timeout = options.connect_timeout,
          .keepalive_timeout = options.keepalive_timeout,
          .ping_after = options.keepalive_timeout / kPingAfterDivisor,
          .write_timeout = options.write_timeout};
}

ssize_t ReadRequestBody(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size,
                        std::uint32_t* data_flags, nghttp2_data_source* source, void*) {
  auto& stream = *static_cast<ClientStream*>(source->ptr);
  if (stream.finished) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::string& body = stream.request.body;
  const std::size_t count = body.copy(reinterpret_cast<char*>(buffer), size, stream.body_serialised);
  stream.body_serialised += count;
  if (stream.body_serialised == body.size()) *data_flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

}  // namespace

std::shared_ptr<ClientConnection> ClientConnection::Connect(EventLoop& loop, const SocketAddress& address,
                                                            const StreamClientOptions& options,
                                                            ByteBudget& response_budget, TransportCounters& counters,
                                                            ClientConnectionListener& listener) {
  UniqueFd fd(socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int error = fd.valid() ? 0 : errno;
  if (fd.valid()) {
    const int on = 1;
    setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd.get(), address.get(), address.size()) != 0 && errno != EINPROGRESS) error = errno;
  }
  auto connection =
      std::make_shared<ClientConnection>(loop, std::move(fd), address, options, response_budget, counters, listener);
  if (error == 0 && !connection->Watch(EPOLLOUT)) error = errno;
  if (error != 0) {
    // Reported later, because the caller does not know the connection yet.
    connection->m_connect_error = error;
    loop.Defer(
        [connection] { connection->Close(std::string("connect: ") + std::strerror(connection->m_connect_error)); });
    return connection;
  }
  connection->StartHandshakeTimer();
  return connection;
}

ClientConnection::ClientConnection(EventLoop& loop, UniqueFd fd, const SocketAddress& address,
                                   const StreamClientOptions& options, ByteBudget& response_budget,
                                   TransportCounters& counters, ClientConnectionListener& listener)
    : Http2Connection(loop, std::move(fd), ConnectionOptions(options), counters),
      m_address(address),
      m_options(options),
      m_response_budget(response_budget),
      m_listener(listener) {}

void ClientConnection::OnIo(std::uint32_t events) {
  if (m_tcp_connected) {
    Http2Connection::OnIo(events);
    return;
  }
  FinishConnect();
}

void ClientConnection::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
  if (error != 0) {
    Close(std::string("connect: ") + std::strerror(error));
    return;
  }
  m_tcp_connected = true;
  StartSession();
}

bool ClientConnection::HasCapacity() const {
  if (!IsUsable() || write_blocked()) return false;
  const std::uint32_t peer_limit =
      nghttp2_session_get_remote_settings(session(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  return m_streams.size() < std::min(peer_limit, m_options.max_concurrent_streams);
}

bool ClientConnection::Open(std::unique_ptr<ClientStream>& stream) {
  stream->content_length = std::to_string(stream->request.body.size());
  absl::InlinedVector<nghttp2_nv, kInlineHeaders> fields;
  fields.push_back(MakeHeaderField(":method", "POST"));
  fields.push_back(MakeHeaderField(":scheme", "http"));
  fields.push_back(MakeHeaderField(":authority", m_address.text()));
  fields.push_back(MakeHeaderField(":path", stream->request.path));
  fields.push_back(MakeHeaderField("content-length", stream->content_length));
  AppendHeaderFields(stream->request.headers, fields);

  nghttp2_data_provider body{};
  body.source.ptr = stream.get();
  body.read_callback = ReadRequestBody;
  const std::int32_t id = nghttp2_submit_request(session(), nullptr, fields.data(), fields.size(),
                                                 stream->request.body.empty() ? nullptr : &body, nullptr);
  if (id < 0) {
    // No stream id is left, or GOAWAY has arrived.
    m_draining = true;
    ScheduleFlush();
    return false;
  }
  stream->connection = this;
  stream->id = id;
  m_streams.emplace(id, std::move(stream));
  counters().streams_opened.Add();
  ScheduleFlush();
  return true;
}

void ClientConnection::Abandon(ClientStream& stream) {
  Failure failure{.code = FailureCode::kDeadlineExceeded,
                  .verdict = stream.headers_position ? Verdict::kMayHaveRun : Verdict::kNotRun,
                  .message = "no whole answer from " + m_address.text() + " in time",
                  .field = {}};
  Fail(stream, std::move(failure), NGHTTP2_CANCEL);
  ScheduleFlush();
}

ClientStream* ClientConnection::Find(std::int32_t stream_id) const {
  const auto found = m_streams.find(stream_id);
  if (found == m_streams.end() || found->second->finished) return nullptr;
  return found->second.get();
}

void ClientConnection::OnBeginHeaders(const nghttp2_frame& frame) {
  ClientStream* const stream = Find(frame.hd.stream_id);
  if (stream == nullptr) return;
  stream->response_begun = true;
}

void ClientConnection::OnHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value) {
  ClientStream* const stream = Find(frame.hd.stream_id);
  if (stream == nullptr) return;
  stream->header_bytes += HeaderSize(name.size(), value.size());
  if (stream->header_bytes > m_options.max_header_list_bytes) {
    Fail(*stream,
         {.code = FailureCode::kRefused,
          .verdict = Verdict::kMayHaveRun,
          .message = "the headers of the answer exceed " + std::to_string(m_options.max_header_list_bytes) + " bytes",
          .field = {}},
         NGHTTP2_CANCEL);
    return;
  }
  // Trailers carry nothing that the messages of this system use.
  if (stream->final_headers_received) return;
  if (name == ":status") {
    std::from_chars(value.data(), value.data() + value.size(), stream->response.status);
    return;
  }
  if (name == "content-length") {
    stream->response_length = ParseContentLength(value);
    return;
  }
  stream->response.headers.emplace_back(name, value);
}

void ClientConnection::OnBodyData(std::int32_t stream_id, std::string_view data) {
  ClientStream* const stream = Find(stream_id);
  if (stream == nullptr) return;
  if (stream->response.body.size() + data.size() > m_options.max_response_body_bytes) {
    Fail(*stream,
         {.code = FailureCode::kRefused,
          .verdict = Verdict::kMayHaveRun,
          .message = "the answer exceeds " + std::to_string(m_options.max_response_body_bytes) + " bytes",
          .field = {}},
         NGHTTP2_CANCEL);
    return;
  }
  if (!m_response_budget.TryReserve(data.size())) {
    Fail(*stream,
         {.code = FailureCode::kOverloaded,
          .verdict = Verdict::kMayHaveRun,
          .message = "the unfinished answers exceed " + std::to_string(m_options.max_response_bytes) + " bytes",
          .field = {}},
         NGHTTP2_CANCEL);
    return;
  }
  stream->response_reserved += data.size();
  if (stream->response.body.empty() && stream->response_length) {
    stream->response.body.reserve(std::min(*stream->response_length, m_options.max_response_body_bytes));
  }
  stream->response.body.append(data);
}

void ClientConnection::OnFrameReceived(const nghttp2_frame& frame) {
  switch (frame.hd.type) {
    case NGHTTP2_SETTINGS:
      if ((frame.hd.flags & NGHTTP2_FLAG_ACK) == 0) {
        MarkPeerReady();
        m_capacity_changed = true;
      }
      return;
    case NGHTTP2_PING:
      HandlePing(frame);
      return;
    case NGHTTP2_GOAWAY:
      m_draining = true;
      return;
    case NGHTTP2_HEADERS:
    case NGHTTP2_DATA:
      break;
    default:
      return;
  }
  ClientStream* const stream = Find(frame.hd.stream_id);
  if (stream == nullptr) return;
  if (frame.hd.type == NGHTTP2_HEADERS && !stream->final_headers_received) {
    if (stream->response.status >= kFirstFinalStatus) {
      stream->final_headers_received = true;
    } else {
      // An informational answer; the final one follows.
      stream->response = {};
      stream->response_length.reset();
    }
  }
  if ((frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) FinishResponse(*stream);
}

void ClientConnection::FinishResponse(ClientStream& stream) {
  const std::size_t received = stream.response.body.size();
  if (!stream.final_headers_received || (stream.response_length && *stream.response_length != received)) {
    Fail(stream,
         {.code = FailureCode::kCorrupt,
          .verdict = Verdict::kMayHaveRun,
          .message = "the answer ended after " + std::to_string(received) + " bytes, not at its content-length",
          .field = {}},
         NGHTTP2_PROTOCOL_ERROR);
    return;
  }
  m_proven = true;
  const bool request_sent_whole = nghttp2_session_get_stream_local_close(session(), stream.id) == 1;
  Finish(stream, std::move(stream.response));
  // The peer has answered without waiting for the whole request; the rest would be of no use to it.
  if (!request_sent_whole) nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_CANCEL);
}

void ClientConnection::OnBeforeFrameSent(const nghttp2_frame& frame) {
  if (frame.hd.type != NGHTTP2_HEADERS) return;
  if (ClientStream* const stream = Find(frame.hd.stream_id); stream != nullptr) {
    stream->headers_position = send_buffer().appended();
  }
}

void ClientConnection::OnStreamClosed(std::int32_t stream_id, std::uint32_t error_code) {
  const auto found = m_streams.find(stream_id);
  if (found == m_streams.end()) return;
  ClientStream& stream = *found->second;
  if (!stream.finished) {
    // nghttp2 reports REFUSED_STREAM also for streams above the last stream id of a GOAWAY.
    const bool refused = error_code == NGHTTP2_REFUSED_STREAM && !stream.response_begun;
    const bool not_run = refused || !stream.headers_position;
    Failure failure{.code = m_draining ? FailureCode::kUnavailable : FailureCode::kOverloaded,
                    .verdict = Verdict::kNotRun,
                    .message = m_address.text() + " did not process the stream",
                    .field = {}};
    if (!not_run) {
      failure.code = error_code == NGHTTP2_PROTOCOL_ERROR ? FailureCode::kCorrupt : FailureCode::kUnavailable;
      failure.verdict = Verdict::kMayHaveRun;
      failure.message = "the stream to " + m_address.text() + " ended with " + nghttp2_http2_strerror(error_code);
    }
    Finish(stream, tl::make_unexpected(std::move(failure)));
  }
  m_streams.erase(found);
  m_capacity_changed = true;
}

void ClientConnection::Fail(ClientStream& stream, Failure failure, std::uint32_t error_code) {
  // If the request is not serialised yet, nghttp2 drops it instead of sending RST_STREAM.
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream.id, error_code);
  Finish(stream, tl::make_unexpected(std::move(failure)));
}

void ClientConnection::Finish(ClientStream& stream, Result<StreamResponse> result) {
  m_response_budget.Release(std::exchange(stream.response_reserved, 0));
  m_listener.OnStreamFinished(stream, std::move(result));
}

void ClientConnection::OnInputHandled() {
  if (m_draining && !std::exchange(m_draining_reported, true)) m_listener.OnDraining(*this);
  if (!closed() && std::exchange(m_capacity_changed, false)) m_listener.OnCapacity();
  CloseIfDrained();
}

void ClientConnection::OnOutputProgress() {
  // Also for streams that nghttp2 closed while it serialised, for example after RST_STREAM.
  if (HasCapacity()) m_listener.OnCapacity();
  m_capacity_changed = false;
  CloseIfDrained();
}

void ClientConnection::CloseIfDrained() {
  // nghttp2 ends the session only after GOAWAY, not when the stream ids are used up.
  if (!closed() && m_draining && m_streams.empty()) Close("no more streams are possible");
}

void ClientConnection::OnSessionFinished() {
  Close(m_draining ? "the peer has shut down" : "the peer broke the protocol");
}

void ClientConnection::OnPingAnswered(std::uint64_t) {}

void ClientConnection::OnClosed(const std::string& reason) {
  for (const auto& [id, stream] : m_streams) {
    if (stream->finished) continue;
    const bool sent = stream->headers_position && *stream->headers_position < send_buffer().written();
    Failure failure{.code = FailureCode::kUnavailable,
                    .verdict = sent ? Verdict::kMayHaveRun : Verdict::kNotRun,
                    .message = "connection to " + m_address.text() + " lost: " + reason,
                    .field = {}};
    Finish(*stream, tl::make_unexpected(std::move(failure)));
  }
  m_listener.OnConnectionClosed(*this, reason);
}

}  // namespace berylgauge
