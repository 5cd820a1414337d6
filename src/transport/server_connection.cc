#include "transport/server_connection.h"

#include <absl/container/inlined_vector.h>
#include <sys/epoll.h>

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "transport/header_rules.h"
#include "transport/pending_response.h"
#include "transport/response_inbox.h"
#include "transport/server_context.h"

namespace berylgauge {
namespace {

// The client pings after a third of its keepalive timeout. A server with the same timeout then stays quiet.
constexpr int kPingAfterDivisor = 2;

constexpr std::uint64_t kShutdownPayload = 1;

// The final GOAWAY is sent without the answer to the PING after this time.
constexpr absl::Duration kShutdownPingTimeout = absl::Seconds(1);

// Streams end at most this fraction of their timeout too late.
constexpr int kSweepsPerTimeout = 4;

constexpr int kMinStatus = 200;
constexpr int kMaxStatus = 599;
constexpr int kMethodNotAllowed = 405;
constexpr std::size_t kInlineHeaders = 16;

Http2ConnectionOptions ConnectionOptions(const StreamServerOptions& options) {
  return {.session = {.role = Http2Role::kServer,
                      .stream_window_bytes = options.stream_window_bytes,
                      .connection_window_bytes = options.connection_window_bytes,
                      .max_header_list_bytes = options.max_header_list_bytes,
                      .max_concurrent_streams = options.max_concurrent_streams},
          .handshake_timeout = options.handshake_timeout,
          .keepalive_timeout = options.keepalive_timeout,
          .ping_after = options.keepalive_timeout / kPingAfterDivisor,
          .write_timeout = options.write_timeout};
}

ssize_t ReadResponseBody(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size,
                         std::uint32_t* data_flags, nghttp2_data_source* source, void*) {
  auto& stream = *static_cast<ServerStream*>(source->ptr);
  if (stream.state != ServerStream::State::kSending) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::string& body = stream.response.body;
  const std::size_t count = body.copy(reinterpret_cast<char*>(buffer), size, stream.body_serialised);
  stream.body_serialised += count;
  if (stream.body_serialised == body.size()) *data_flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

bool IsTimed(ServerStream::State state) {
  return state == ServerStream::State::kReceiving || state == ServerStream::State::kSending;
}

}  // namespace

ServerConnection::ServerConnection(EventLoop& loop, UniqueFd fd, ServerContext& context, ClosedCallback on_closed)
    : Http2Connection(loop, std::move(fd), ConnectionOptions(context.options), context.counters),
      m_context(context),
      m_on_closed(std::move(on_closed)),
      m_inbox(std::make_shared<ResponseInbox>(loop, *this)) {}

void ServerConnection::Start() {
  if (!Watch(EPOLLIN)) {
    Close("epoll_ctl failed");
    return;
  }
  StartHandshakeTimer();
  StartSession();
}

void ServerConnection::BeginShutdown() {
  if (closed() || std::exchange(m_shutting_down, true)) return;
  nghttp2_submit_shutdown_notice(session());
  SendPing(kShutdownPayload);
  m_shutdown_timer = loop().AddTimer(loop().Now() + kShutdownPingTimeout, [this] {
    m_shutdown_timer = {};
    SendFinalGoaway();
  });
}

void ServerConnection::OnPingAnswered(std::uint64_t payload) {
  if (payload == kShutdownPayload) SendFinalGoaway();
}

void ServerConnection::SendFinalGoaway() {
  if (closed() || std::exchange(m_final_goaway_sent, true)) return;
  loop().CancelTimer(m_shutdown_timer);
  nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session()),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  ScheduleFlush();
}

void ServerConnection::StopNow() {
  const std::shared_ptr<Http2Connection> self = shared_from_this();
  if (closed()) return;
  nghttp2_session_terminate_session(session(), NGHTTP2_NO_ERROR);
  Flush();
  if (closed()) return;
  if (send_buffer().pending() > 0) {
    Close("the server has stopped");
    return;
  }
  Linger();
}

ServerStream* ServerConnection::Find(std::int32_t stream_id, ServerStream::State state) const {
  const auto found = m_streams.find(stream_id);
  return found != m_streams.end() && found->second->state == state ? found->second.get() : nullptr;
}

void ServerConnection::OnBeginHeaders(const nghttp2_frame& frame) {
  if (frame.headers.cat != NGHTTP2_HCAT_REQUEST) return;
  const std::int32_t id = frame.hd.stream_id;
  if (m_context.open_streams.fetch_add(1) >= m_context.options.max_open_streams) {
    m_context.open_streams.fetch_sub(1);
    counters().streams_not_run.Add();
    nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
    return;
  }
  auto stream = std::make_unique<ServerStream>();
  stream->id = id;
  stream->deadline = loop().Now() + m_context.options.receive_timeout;
  m_streams.emplace(id, std::move(stream));
  ++m_timed_streams;
  counters().streams_opened.Add();
}

void ServerConnection::OnHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value) {
  ServerStream* const stream = Find(frame.hd.stream_id, ServerStream::State::kReceiving);
  if (stream == nullptr) return;
  stream->header_bytes += HeaderSize(name.size(), value.size());
  if (stream->header_bytes > m_context.options.max_header_list_bytes) {
    Abort(*stream, NGHTTP2_REFUSED_STREAM);
    return;
  }
  // Trailers carry nothing that the messages of this system use.
  if (stream->headers_received) return;
  if (name == ":path") {
    stream->request.path = value;
  } else if (name == ":method") {
    stream->method = value;
  } else if (name.front() != ':' && name != "content-length") {
    stream->request.headers.emplace_back(name, value);
  }
}

void ServerConnection::OnBodyData(std::int32_t stream_id, std::string_view data) {
  ServerStream* const stream = Find(stream_id, ServerStream::State::kReceiving);
  if (stream == nullptr) return;
  if (stream->request.body.size() + data.size() > m_context.options.max_request_body_bytes ||
      !m_context.body_budget.TryReserve(data.size())) {
    Abort(*stream, NGHTTP2_REFUSED_STREAM);
    return;
  }
  stream->reserved += data.size();
  stream->request.body.append(data);
}

void ServerConnection::OnFrameReceived(const nghttp2_frame& frame) {
  switch (frame.hd.type) {
    case NGHTTP2_SETTINGS:
      if ((frame.hd.flags & NGHTTP2_FLAG_ACK) == 0) MarkPeerReady();
      return;
    case NGHTTP2_PING:
      HandlePing(frame);
      return;
    case NGHTTP2_HEADERS:
    case NGHTTP2_DATA:
      break;
    default:
      return;
  }
  ServerStream* const stream = Find(frame.hd.stream_id, ServerStream::State::kReceiving);
  if (stream == nullptr) return;
  stream->headers_received = true;
  if ((frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) m_whole_requests.push_back(stream->id);
}

void ServerConnection::OnBeforeFrameSent(const nghttp2_frame&) {}

void ServerConnection::OnStreamClosed(std::int32_t stream_id, std::uint32_t error_code) {
  const auto found = m_streams.find(stream_id);
  if (found == m_streams.end()) return;
  ServerStream& stream = *found->second;
  ReleaseBody(stream);
  if (stream.state == ServerStream::State::kSending && error_code == NGHTTP2_NO_ERROR) {
    // Its last frame is serialised; it counts as open until the socket has taken that frame.
    ++m_newly_serialised;
  } else {
    (stream.handled ? counters().streams_may_have_run : counters().streams_not_run).Add();
    m_context.open_streams.fetch_sub(1);
  }
  SetState(stream, ServerStream::State::kAborted);
  m_streams.erase(found);
}

void ServerConnection::OnInputHandled() {
  std::vector<std::int32_t> whole_requests;
  whole_requests.swap(m_whole_requests);
  for (const std::int32_t id : whole_requests) {
    if (closed()) return;
    HandleRequest(id);
  }
  if (!closed()) ScheduleSweep();
}

void ServerConnection::HandleRequest(std::int32_t stream_id) {
  // Absent if the client has reset the stream in the same turn; it is then not run.
  ServerStream* const stream = Find(stream_id, ServerStream::State::kReceiving);
  if (stream == nullptr) return;
  SetState(*stream, ServerStream::State::kHandling);
  if (stream->method != "POST") {
    SendResponse(*stream, {.status = kMethodNotAllowed, .headers = {{"allow", "POST"}}, .body = {}});
    return;
  }
  stream->handled = true;
  const auto pending = std::make_shared<PendingResponse>(m_inbox, stream_id);
  m_context.handler(std::move(stream->request),
                    [pending](StreamResponse response) { pending->Answer(std::move(response)); });
}

void ServerConnection::Respond(std::int32_t stream_id, std::optional<StreamResponse> response) {
  ServerStream* const stream = Find(stream_id, ServerStream::State::kHandling);
  if (stream == nullptr) return;
  if (!response) {
    Abort(*stream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  SendResponse(*stream, std::move(*response));
  ScheduleSweep();
}

void ServerConnection::SendResponse(ServerStream& stream, StreamResponse response) {
  Result<void> check = CheckHeaders(response.headers, response.body.size(), m_context.options.max_header_list_bytes);
  if (check && (response.status < kMinStatus || response.status > kMaxStatus)) {
    check = NotRun(FailureCode::kInvalidArgument, "the status is not in 200..599", "status");
  }
  if (check && response.body.size() > m_context.options.max_response_body_bytes) {
    check = NotRun(FailureCode::kRefused, "the body is too large", "body");
  }
  if (check && !m_context.body_budget.TryReserve(response.body.size())) {
    check = NotRun(FailureCode::kOverloaded, "the bodies of the open streams exceed their limit", "body");
  } else if (check) {
    stream.reserved += response.body.size();
  }
  if (!check) {
    LogEvent(LogLevel::kWarning, "response_not_sent",
             {{"reason", check.error().message}, {"field", check.error().field}});
    Abort(stream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  stream.response = std::move(response);
  stream.status = std::to_string(stream.response.status);
  stream.content_length = std::to_string(stream.response.body.size());
  absl::InlinedVector<nghttp2_nv, kInlineHeaders> fields;
  fields.push_back(MakeHeaderField(":status", stream.status));
  fields.push_back(MakeHeaderField("content-length", stream.content_length));
  AppendHeaderFields(stream.response.headers, fields);
  nghttp2_data_provider body{};
  body.source.ptr = &stream;
  body.read_callback = ReadResponseBody;
  SetState(stream, ServerStream::State::kSending);
  stream.deadline = loop().Now() + m_context.options.send_timeout;
  if (nghttp2_submit_response(session(), stream.id, fields.data(), fields.size(),
                              stream.response.body.empty() ? nullptr : &body) != 0) {
    Abort(stream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  ScheduleFlush();
}

void ServerConnection::Abort(ServerStream& stream, std::uint32_t error_code) {
  // The headers stay: nghttp2 may still refer to them.
  SetState(stream, ServerStream::State::kAborted);
  ReleaseBody(stream);
  std::string().swap(stream.request.body);
  std::string().swap(stream.response.body);
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream.id, error_code);
  ScheduleFlush();
}

void ServerConnection::ReleaseBody(ServerStream& stream) {
  m_context.body_budget.Release(std::exchange(stream.reserved, 0));
}

void ServerConnection::OnOutputProgress() {
  if (m_newly_serialised > 0) {
    m_serialised.push_back({send_buffer().appended(), std::exchange(m_newly_serialised, 0)});
  }
  while (!m_serialised.empty() && m_serialised.front().position <= send_buffer().written()) {
    const int count = m_serialised.front().count;
    counters().streams_completed.Add(static_cast<std::uint64_t>(count));
    m_context.open_streams.fetch_sub(count);
    m_serialised.pop_front();
  }
}

void ServerConnection::OnSessionFinished() { Linger(); }

void ServerConnection::OnClosed(const std::string& reason) {
  m_inbox->Detach();
  loop().CancelTimer(m_sweep_timer);
  loop().CancelTimer(m_shutdown_timer);
  LogEvent(LogLevel::kDebug, "connection_closed", {{"reason", reason}});
  int unfinished = static_cast<int>(m_streams.size()) + m_newly_serialised;
  for (const SerialisedStreams& serialised : m_serialised) unfinished += serialised.count;
  counters().streams_may_have_run.Add(static_cast<std::uint64_t>(unfinished));
  m_context.open_streams.fetch_sub(unfinished);
  for (const auto& [id, stream] : m_streams) ReleaseBody(*stream);
  m_on_closed(*this);
}

void ServerConnection::SetState(ServerStream& stream, ServerStream::State state) {
  m_timed_streams += static_cast<int>(IsTimed(state)) - static_cast<int>(IsTimed(stream.state));
  stream.state = state;
}

void ServerConnection::ScheduleSweep() {
  // One timer per connection, armed only while it is needed, costs less than one for each stream.
  if (m_sweep_timer.valid() || m_timed_streams == 0) return;
  const absl::Duration interval =
      std::min(m_context.options.receive_timeout, m_context.options.send_timeout) / kSweepsPerTimeout;
  m_sweep_timer = loop().AddTimer(loop().Now() + interval, [this] {
    m_sweep_timer = {};
    Sweep();
  });
}

void ServerConnection::Sweep() {
  for (const auto& [id, stream] : m_streams) {
    if (loop().Now() < stream->deadline) continue;
    if (stream->state == ServerStream::State::kReceiving) Abort(*stream, NGHTTP2_REFUSED_STREAM);
    if (stream->state == ServerStream::State::kSending) Abort(*stream, NGHTTP2_CANCEL);
  }
  ScheduleSweep();
}

}  // namespace berylgauge
