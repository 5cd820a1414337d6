#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/functional/any_invocable.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "transport/http2_connection.h"
#include "transport/message_types.h"
#include "transport/server_stream.h"

namespace berylgauge {

class ResponseInbox;
struct ServerContext;

/// An accepted connection and its streams; lives on the loop's thread.
class ServerConnection final : public Http2Connection {
 public:
  /// Told once, when the connection has ended.
  using ClosedCallback = absl::AnyInvocable<void(ServerConnection&)>;

  ServerConnection(EventLoop& loop, UniqueFd fd, ServerContext& context, ClosedCallback on_closed);

  /// Begins to serve. Closes the connection if the system refuses to watch the socket.
  void Start();

  /// Sends GOAWAY in two steps, so that requests already on their way are still accepted; open streams go on.
  void BeginShutdown();

  /// Sends a last GOAWAY and ends the connection. It stays open for at most a second until the peer has read what was
  /// written, unless the socket takes no more.
  void StopNow();

  /// Answers a stream, or resets it if there is no answer. Does nothing if the stream has ended.
  void Respond(std::int32_t stream_id, std::optional<StreamResponse> response);

 private:
  /// Streams whose last frame ends at or before `position` of the output.
  struct SerialisedStreams {
    std::uint64_t position;
    int count;
  };

  void OnBeginHeaders(const nghttp2_frame& frame) override;
  void OnHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value) override;
  void OnBodyData(std::int32_t stream_id, std::string_view data) override;
  void OnFrameReceived(const nghttp2_frame& frame) override;
  void OnBeforeFrameSent(const nghttp2_frame& frame) override;
  void OnStreamClosed(std::int32_t stream_id, std::uint32_t error_code) override;
  void OnInputHandled() override;
  void OnOutputProgress() override;
  void OnSessionFinished() override;
  void OnClosed(const std::string& reason) override;
  void OnPingAnswered(std::uint64_t payload) override;

  ServerStream* Find(std::int32_t stream_id, ServerStream::State state) const;
  void HandleRequest(std::int32_t stream_id);
  void SendResponse(ServerStream& stream, StreamResponse response);
  void Abort(ServerStream& stream, std::uint32_t error_code);
  void ReleaseBody(ServerStream& stream);
  void SendFinalGoaway();
  void ScheduleSweep();
  void Sweep();
  void SetState(ServerStream& stream, ServerStream::State state);

  ServerContext& m_context;
  ClosedCallback m_on_closed;
  const std::shared_ptr<ResponseInbox> m_inbox;
  absl::flat_hash_map<std::int32_t, std::unique_ptr<ServerStream>> m_streams;
  std::vector<std::int32_t> m_whole_requests;
  std::deque<SerialisedStreams> m_serialised;  ///< waiting for the socket
  int m_newly_serialised = 0;
  int m_timed_streams = 0;  ///< that are receiving or sending
  EventLoop::TimerId m_sweep_timer;
  EventLoop::TimerId m_shutdown_timer;
  bool m_shutting_down = false;
  bool m_final_goaway_sent = false;
};

}  // namespace berylgauge
