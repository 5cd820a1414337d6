#include "transport/http2_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace berylgauge {
namespace {

constexpr std::size_t kReadSize = std::size_t{64} * 1024;

// Bounds the time that one busy connection takes from the others of its loop.
constexpr int kMaxReadsPerTurn = 4;

// Bounds the input that is read after a failed write: more than a socket's receive buffer holds.
constexpr int kMaxReadsAfterWriteError = 256;

// Frames are serialised only up to this many bytes ahead of the socket. What is not serialised yet can still be
// withdrawn, and it needs no second copy of a body.
constexpr std::size_t kSendBufferTarget = std::size_t{64} * 1024;

// Answers to PING, SETTINGS and invalid frames that wait because the peer does not read. nghttp2 limits some of them;
// this limits all.
constexpr std::size_t kMaxQueuedFrames = 20'000;

// Time for the peer to read the last frames and to close its side.
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);

constexpr std::size_t kMaxDiscardedBytes = std::size_t{1024} * 1024;
constexpr std::uint64_t kKeepalivePayload = 0;

std::string ErrnoText(const char* what, int error) { return std::string(what) + ": " + std::strerror(error); }

/// Shared by the connections of a thread, because its content is consumed before the next read.
std::array<std::uint8_t, kReadSize>& ReadBuffer() {
  static thread_local std::array<std::uint8_t, kReadSize> buffer;
  return buffer;
}

}  // namespace

Http2Connection::Http2Connection(EventLoop& loop, UniqueFd fd, const Http2ConnectionOptions& options,
                                 TransportCounters& counters)
    : m_loop(loop), m_fd(std::move(fd)), m_options(options), m_counters(counters) {}

Http2Connection::~Http2Connection() = default;

bool Http2Connection::Watch(std::uint32_t events) {
  m_watch_token = m_loop.Watch(m_fd.get(), events, this);
  return m_watch_token != 0;
}

void Http2Connection::StartHandshakeTimer() {
  m_handshake_timer = m_loop.AddTimer(m_loop.Now() + m_options.handshake_timeout, [this] {
    m_handshake_timer = {};
    Close("no HTTP/2 settings from the peer within " + absl::FormatDuration(m_options.handshake_timeout));
  });
}

void Http2Connection::StartSession() {
  m_session = std::make_unique<Http2Session>(m_options.session, static_cast<Http2Events&>(*this));
  m_loop.ChangeWatch(m_watch_token, m_fd.get(), EPOLLIN);
  ScheduleFlush();
}

void Http2Connection::OnIo(std::uint32_t events) {
  const std::shared_ptr<Http2Connection> self = shared_from_this();
  if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) ReadAvailable();
  if (!m_closed && (events & EPOLLOUT) != 0) Flush();
}

void Http2Connection::ReadAvailable() {
  if (m_lingering) {
    DiscardUntilClosed();
    return;
  }
  for (int i = 0; i < kMaxReadsPerTurn && ReadChunk() == ReadStatus::kMore; ++i) {
  }
  if (m_closed) return;
  OnInputHandled();
  if (!m_closed) ScheduleFlush();
}

Http2Connection::ReadStatus Http2Connection::ReadChunk() {
  auto& buffer = ReadBuffer();
  ssize_t count = 0;
  do {
    count = recv(m_fd.get(), buffer.data(), buffer.size(), 0);
  } while (count < 0 && errno == EINTR);
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return ReadStatus::kEmpty;
  if (count <= 0) {
    Close(count == 0 ? "closed by the peer" : ErrnoText("recv", errno));
    return ReadStatus::kClosed;
  }
  const auto size = static_cast<std::size_t>(count);
  m_counters.bytes_in.Add(size);
  if (m_keepalive) m_keepalive->OnBytesReceived(m_loop.Now());
  const ssize_t handled = nghttp2_session_mem_recv(session(), buffer.data(), size);
  if (handled < 0) {
    Close(std::string("malformed input: ") + nghttp2_strerror(static_cast<int>(handled)));
    return ReadStatus::kClosed;
  }
  if (nghttp2_session_get_outbound_queue_size(session()) > kMaxQueuedFrames) {
    Close("the peer causes more frames than it reads");
    return ReadStatus::kClosed;
  }
  // A short read has emptied the socket; the rest of an exact fit is reported again by the level-triggered epoll.
  return size == buffer.size() ? ReadStatus::kMore : ReadStatus::kShort;
}

void Http2Connection::ScheduleFlush() {
  if (std::exchange(m_flush_scheduled, true)) return;
  m_loop.Defer([self = shared_from_this()] { self->Flush(); });
}

void Http2Connection::Flush() {
  m_flush_scheduled = false;
  if (m_closed || m_lingering || !m_session) return;
  const std::uint64_t written_before = m_send_buffer.written();
  const SendBuffer::Status status = WriteQueuedFrames();
  const int error = errno;
  m_counters.bytes_out.Add(m_send_buffer.written() - written_before);
  if (m_closed) return;
  if (status == SendBuffer::Status::kFailed) {
    OnWriteFailed(ErrnoText("send", error));
    return;
  }
  SetWriteBlocked(status == SendBuffer::Status::kBlocked);
  OnOutputProgress();
  if (m_closed || m_finished || m_send_buffer.pending() > 0) return;
  if (nghttp2_session_want_read(session()) == 0 && nghttp2_session_want_write(session()) == 0) {
    m_finished = true;
    OnSessionFinished();
  }
}

void Http2Connection::OnWriteFailed(const std::string& reason) {
  // The peer may have sent whole answers before it closed; they are still in the socket. New requests among them are
  // not handled.
  for (int i = 0; i < kMaxReadsAfterWriteError; ++i) {
    const ReadStatus status = ReadChunk();
    if (status == ReadStatus::kClosed) return;
    if (status == ReadStatus::kEmpty) break;
  }
  Close(reason);
}

SendBuffer::Status Http2Connection::WriteQueuedFrames() {
  for (;;) {
    if (!FillSendBuffer()) return SendBuffer::Status::kFailed;
    if (m_send_buffer.pending() == 0) return SendBuffer::Status::kDrained;
    const SendBuffer::Status status = m_send_buffer.WriteTo(m_fd.get());
    if (status != SendBuffer::Status::kDrained) return status;
  }
}

bool Http2Connection::FillSendBuffer() {
  while (m_send_buffer.pending() < kSendBufferTarget) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session(), &data);
    if (size < 0) {
      Close(std::string("serialising failed: ") + nghttp2_strerror(static_cast<int>(size)));
      return false;
    }
    if (size == 0) break;
    m_send_buffer.Append(data, static_cast<std::size_t>(size));
  }
  return true;
}

void Http2Connection::SetWriteBlocked(bool blocked) {
  if (blocked != m_write_blocked) {
    m_write_blocked = blocked;
    m_loop.ChangeWatch(m_watch_token, m_fd.get(), blocked ? EPOLLIN | EPOLLOUT : EPOLLIN);
  }
  if (!blocked) {
    m_loop.CancelTimer(m_write_timer);
    return;
  }
  if (m_write_timer.valid() && m_send_buffer.written() == m_written_at_block) return;
  m_written_at_block = m_send_buffer.written();
  m_loop.CancelTimer(m_write_timer);
  m_write_timer = m_loop.AddTimer(m_loop.Now() + m_options.write_timeout, [this] { OnWriteTimeout(); });
}

void Http2Connection::OnWriteTimeout() {
  m_write_timer = {};
  Close("the peer took no data for " + absl::FormatDuration(m_options.write_timeout));
}

void Http2Connection::SendPing(std::uint64_t payload) {
  std::array<std::uint8_t, 8> opaque{};
  std::memcpy(opaque.data(), &payload, sizeof(payload));
  nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, opaque.data());
  ScheduleFlush();
}

void Http2Connection::HandlePing(const nghttp2_frame& frame) {
  if ((frame.hd.flags & NGHTTP2_FLAG_ACK) == 0) return;
  std::uint64_t payload = 0;
  std::memcpy(&payload, frame.ping.opaque_data, sizeof(payload));
  if (payload != kKeepalivePayload) OnPingAnswered(payload);
}

void Http2Connection::MarkPeerReady() {
  if (std::exchange(m_peer_ready, true)) return;
  m_loop.CancelTimer(m_handshake_timer);
  m_counters.connections_opened.Add();
  m_keepalive.emplace(m_options.keepalive_timeout, m_options.ping_after, m_loop.Now());
  ArmKeepalive();
}

void Http2Connection::ArmKeepalive() {
  m_keepalive_timer = m_loop.AddTimer(m_keepalive->NextCheck(), [this] {
    m_keepalive_timer = {};
    CheckKeepalive();
  });
}

void Http2Connection::CheckKeepalive() {
  const std::shared_ptr<Http2Connection> self = shared_from_this();
  if (m_lingering) return;
  switch (m_keepalive->Check(m_loop.Now())) {
    case KeepaliveMonitor::Action::kNone:
      break;
    case KeepaliveMonitor::Action::kSendPing:
      SendPing(kKeepalivePayload);
      break;
    case KeepaliveMonitor::Action::kPeerLost:
      // After a pause of this process the answer may be waiting in the socket.
      ReadAvailable();
      if (m_closed) return;
      if (m_keepalive->Check(m_loop.Now()) == KeepaliveMonitor::Action::kPeerLost) {
        Close("no answer to a PING; nothing received for " + absl::FormatDuration(m_options.keepalive_timeout));
        return;
      }
      break;
  }
  ArmKeepalive();
}

void Http2Connection::Close(const std::string& reason) {
  if (std::exchange(m_closed, true)) return;
  const std::shared_ptr<Http2Connection> self = shared_from_this();
  m_loop.CancelTimer(m_handshake_timer);
  m_loop.CancelTimer(m_keepalive_timer);
  m_loop.CancelTimer(m_write_timer);
  m_loop.CancelTimer(m_linger_timer);
  if (m_watch_token != 0) m_loop.Unwatch(m_watch_token, m_fd.get());
  if (m_peer_ready) {
    m_counters.connections_closed.Add();
  } else {
    m_counters.connections_failed.Add();
  }
  DiscardInput();
  m_fd.Reset();
  OnClosed(reason);
}

void Http2Connection::Linger() {
  if (std::exchange(m_lingering, true)) return;
  m_loop.CancelTimer(m_keepalive_timer);
  shutdown(m_fd.get(), SHUT_WR);
  m_linger_timer = m_loop.AddTimer(m_loop.Now() + kLingerTimeout, [this] {
    m_linger_timer = {};
    Close("finished");
  });
}

void Http2Connection::DiscardUntilClosed() {
  const ssize_t count = recv(m_fd.get(), ReadBuffer().data(), kReadSize, 0);
  if (count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))) return;
  Close("finished");
}

void Http2Connection::DiscardInput() const {
  // Closing a socket with unread input sends RST, which may destroy what the peer has not read yet.
  auto& buffer = ReadBuffer();
  std::size_t discarded = 0;
  while (discarded < kMaxDiscardedBytes) {
    const ssize_t count = recv(m_fd.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count <= 0) return;
    discarded += static_cast<std::size_t>(count);
  }
}

}  // namespace berylgauge
