#pragma once

#include <absl/random/random.h>
#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "transport/byte_budget.h"
#include "transport/client_connection_listener.h"
#include "transport/client_stream.h"
#include "transport/reconnect_backoff.h"
#include "transport/socket_address.h"
#include "transport/stream_client.h"
#include "transport/stream_client_options.h"
#include "transport/transport_counters.h"

namespace berylgauge {

class ClientConnection;
class EventLoop;

/// Gives requests to connections, reconnects, watches deadlines and runs the callbacks.
///
/// `Submit` may be called from any thread, everything else on the loop's thread.
class ClientDispatcher final : public ClientConnectionListener, public std::enable_shared_from_this<ClientDispatcher> {
 public:
  ClientDispatcher(EventLoop& loop, SocketAddress address, const StreamClientOptions& options);
  ~ClientDispatcher() override;

  void Submit(StreamRequest request, absl::Duration timeout, StreamClient::Callback callback);

  /// Ends all connections and completes every callback before it returns.
  void Close();

  void OnCapacity() override;
  void OnDraining(ClientConnection& connection) override;
  void OnConnectionClosed(ClientConnection& connection, const std::string& reason) override;
  void OnStreamFinished(ClientStream& stream, Result<StreamResponse> result) override;

 private:
  struct Completion {
    StreamClient::Callback callback;
    Result<StreamResponse> result;
  };

  Result<void> Admit(const ClientStream& stream, absl::Duration timeout);
  void DrainInbox();
  void Accept(std::unique_ptr<ClientStream> stream);
  void DispatchQueue();
  bool OpenStream(std::unique_ptr<ClientStream>& stream);
  void Enqueue(std::unique_ptr<ClientStream> stream);
  void OnDeadline(ClientStream& stream);
  void FailQueue(const std::string& reason);

  ClientConnection* FindConnectionWithCapacity() const;
  void ConnectIfNeeded();
  void OnConnectionLost(bool proven, const std::string& reason);

  void ScheduleCompletions();
  void RunCompletions(std::size_t max_count);

  EventLoop& m_loop;
  const SystemClock m_clock;
  const SocketAddress m_address;
  const StreamClientOptions m_options;
  MetricsRegistry m_own_metrics;  ///< used if the options name none
  TransportCounters m_counters;
  ByteBudget m_request_budget;
  ByteBudget m_response_budget;
  std::atomic<std::size_t> m_waiting{0};  ///< requests without a stream

  std::mutex m_mutex;
  std::vector<std::unique_ptr<ClientStream>> m_inbox;  ///< guarded by m_mutex

  ClientStream::Queue m_queue;
  std::vector<std::shared_ptr<ClientConnection>> m_connections;
  ReconnectBackoff m_backoff;
  absl::BitGen m_random;
  EventLoop::TimerId m_reconnect_timer;
  bool m_used = false;         ///< a request has arrived, so that connections are made
  bool m_unreachable = false;  ///< the last attempt to connect failed
  std::string m_last_error;
  std::deque<Completion> m_completions;
  bool m_completions_scheduled = false;
  bool m_closed = false;
};

}  // namespace berylgauge
