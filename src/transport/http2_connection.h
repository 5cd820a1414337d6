#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "transport/event_loop.h"
#include "transport/http2_events.h"
#include "transport/http2_session.h"
#include "transport/io_handler.h"
#include "transport/keepalive_monitor.h"
#include "transport/send_buffer.h"
#include "transport/transport_counters.h"
#include "transport/unique_fd.h"

namespace berylgauge {

/// Settings of a connection that both sides have.
struct Http2ConnectionOptions {
  Http2SessionOptions session;
  absl::Duration handshake_timeout;
  absl::Duration keepalive_timeout;
  absl::Duration ping_after;     ///< silence after which the peer is pinged; less than keepalive_timeout
  absl::Duration write_timeout;  ///< longest time in which the socket takes no byte although some are waiting
};

/// One TCP connection that carries HTTP/2; the part that client and server have in common.
///
/// Reads, writes, pings, closes. Lives on one event loop's thread; owned through std::shared_ptr.
class Http2Connection : public IoHandler, protected Http2Events, public std::enable_shared_from_this<Http2Connection> {
 public:
  ~Http2Connection() override;
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  void OnIo(std::uint32_t events) override;

  /// Ends the connection at once; `OnClosed` follows before the return, the first time only.
  void Close(const std::string& reason);

  bool closed() const { return m_closed; }

 protected:
  Http2Connection(EventLoop& loop, UniqueFd fd, const Http2ConnectionOptions& options, TransportCounters& counters);

  /// Watches the socket; false if the system refuses.
  bool Watch(std::uint32_t events);

  /// Limits the time until `OnPeerReady`.
  void StartHandshakeTimer();

  /// Creates the session, sends the preface and begins to read.
  void StartSession();

  /// Serialises and writes the queued frames at the end of the turn of the loop.
  void ScheduleFlush();
  void Flush();

  /// Queues a PING with this payload; its answer is reported through `OnPingAnswered`.
  void SendPing(std::uint64_t payload);

  /// Closes the sending side and discards what arrives, until the peer closes or a second has passed. Closing at once
  /// could send RST, which may destroy the last frames before the peer has read them.
  void Linger();

  /// To be called when the first SETTINGS of the peer have arrived: ends the handshake, starts the keepalive.
  void MarkPeerReady();

  /// To be called for PING frames.
  void HandlePing(const nghttp2_frame& frame);

  EventLoop& loop() const { return m_loop; }
  TransportCounters& counters() const { return m_counters; }
  nghttp2_session* session() const { return m_session ? m_session->get() : nullptr; }
  const SendBuffer& send_buffer() const { return m_send_buffer; }
  bool peer_ready() const { return m_peer_ready; }
  int fd() const { return m_fd.get(); }

  /// True while the socket takes no more bytes.
  bool write_blocked() const { return m_write_blocked; }

  /// All frames that had arrived were read; user code may be called.
  virtual void OnInputHandled() = 0;

  /// Bytes were written or the socket became writable.
  virtual void OnOutputProgress() = 0;

  /// The session has no more to read or write, because GOAWAY was exchanged or the input was malformed.
  virtual void OnSessionFinished() = 0;

  /// The connection has ended; nothing else is called after this.
  virtual void OnClosed(const std::string& reason) = 0;

  virtual void OnPingAnswered(std::uint64_t payload) = 0;

 private:
  enum class ReadStatus { kMore, kShort, kEmpty, kClosed };

  void ReadAvailable();
  ReadStatus ReadChunk();
  void OnWriteFailed(const std::string& reason);
  SendBuffer::Status WriteQueuedFrames();
  bool FillSendBuffer();
  void SetWriteBlocked(bool blocked);
  void CheckKeepalive();
  void ArmKeepalive();
  void OnWriteTimeout();
  void DiscardUntilClosed();
  void DiscardInput() const;

  EventLoop& m_loop;
  UniqueFd m_fd;
  const Http2ConnectionOptions m_options;
  TransportCounters& m_counters;
  std::unique_ptr<Http2Session> m_session;
  SendBuffer m_send_buffer;
  std::optional<KeepaliveMonitor> m_keepalive;
  EventLoop::TimerId m_handshake_timer;
  EventLoop::TimerId m_keepalive_timer;
  EventLoop::TimerId m_write_timer;
  EventLoop::TimerId m_linger_timer;
  std::uint64_t m_written_at_block = 0;
  std::uint64_t m_watch_token = 0;
  bool m_peer_ready = false;
  bool m_write_blocked = false;
  bool m_flush_scheduled = false;
  bool m_finished = false;
  bool m_lingering = false;
  bool m_closed = false;
};

}  // namespace berylgauge
