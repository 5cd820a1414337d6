#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>

#include "transport/byte_budget.h"
#include "transport/client_stream.h"
#include "transport/http2_connection.h"

namespace berylgauge {

class ClientConnectionListener;
class SocketAddress;
struct StreamClientOptions;

/// A connection to the peer and the streams on it; lives on the loop's thread.
class ClientConnection final : public Http2Connection {
 public:
  /// Begins to connect. The outcome is reported to `listener` in a later turn of the loop. `address`, `options`,
  /// `response_budget`, `counters` and `listener` must outlive the connection.
  static std::shared_ptr<ClientConnection> Connect(EventLoop& loop, const SocketAddress& address,
                                                   const StreamClientOptions& options, ByteBudget& response_budget,
                                                   TransportCounters& counters, ClientConnectionListener& listener);

  /// Made by `Connect`.
  ClientConnection(EventLoop& loop, UniqueFd fd, const SocketAddress& address, const StreamClientOptions& options,
                   ByteBudget& response_budget, TransportCounters& counters, ClientConnectionListener& listener);

  void OnIo(std::uint32_t events) override;

  /// True if a stream can be opened now.
  bool HasCapacity() const;

  /// True while streams can be opened, now or when others have ended.
  bool IsUsable() const { return !closed() && peer_ready() && !m_draining; }

  /// True while no settings of the peer have arrived.
  bool IsConnecting() const { return !closed() && !peer_ready(); }

  /// True after GOAWAY: opens no more streams.
  bool draining() const { return m_draining; }

  /// True after the first whole answer.
  bool proven() const { return m_proven; }

  /// Opens a stream for the request and takes it over. Requires `HasCapacity()`. Returns false and leaves `stream`
  /// alone if nghttp2 refuses; the connection then drains.
  bool Open(std::unique_ptr<ClientStream>& stream);

  /// Gives up a stream of this connection because its deadline has passed; sends RST_STREAM.
  void Abandon(ClientStream& stream);

 private:
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

  void FinishConnect();
  void CloseIfDrained();
  ClientStream* Find(std::int32_t stream_id) const;
  void FinishResponse(ClientStream& stream);
  void Fail(ClientStream& stream, Failure failure, std::uint32_t error_code);
  void Finish(ClientStream& stream, Result<StreamResponse> result);

  const SocketAddress& m_address;
  const StreamClientOptions& m_options;
  ByteBudget& m_response_budget;
  ClientConnectionListener& m_listener;
  absl::flat_hash_map<std::int32_t, std::unique_ptr<ClientStream>> m_streams;
  int m_connect_error = 0;
  bool m_tcp_connected = false;
  bool m_draining = false;
  bool m_draining_reported = false;
  bool m_capacity_changed = false;
  bool m_proven = false;
};

}  // namespace berylgauge
