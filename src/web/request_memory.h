#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/metrics.h"
#include "base/monotonic_time.h"
#include "web/connection_closer.h"

namespace berylgauge {

/// Accounts for the memory of connections and requests and decides which connections are closed when it is used up.
///
/// One object is shared by all listeners of a process. It does no I/O; the listeners carry out its decisions through
/// `Close`. Thread-safe.
class RequestMemory {
 public:
  /// A connection that must be closed.
  struct NamedConnection {
    ConnectionCloser* listener = nullptr;
    ConnectionId connection = 0;
  };

  /// Closed connections and rejections since the previous report.
  struct Report {
    int closed = 0;
    int rejected = 0;
    std::size_t used_bytes = 0;
    std::string peer;  ///< the address of the last closed or rejected connection
  };

  struct Decision {
    bool granted = false;
    ConnectionId connection = 0;         ///< of a granted `Open`
    std::vector<NamedConnection> named;  ///< to be passed to `Close` before the bytes are used
    bool retry = false;                  ///< not granted only because connections that were named are not closed yet
    std::optional<Report> report;        ///< at most one a second
  };

  /// `metrics` may be null; otherwise it must outlive the object.
  explicit RequestMemory(std::size_t budget_bytes, MetricsRegistry* metrics = nullptr);
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  std::size_t budget_bytes() const { return m_budget; }
  std::size_t used_bytes() const;

  void AddListener(ConnectionCloser& listener);
  /// No call of the listener's `CloseForMemory` is under way or begins after this returns.
  void RemoveListener(ConnectionCloser& listener);

  /// Asks for a new connection of the peer's IP address that uses `bytes` as long as it exists. If `listener_full`, a
  /// connection of the same listener must be closed for it.
  Decision Open(ConnectionCloser& listener, std::string_view peer, std::size_t bytes, bool listener_full,
                MonotonicTime now);

  /// Counts a rejection after an `Open` that was not tried again.
  Decision Reject(std::string_view peer, MonotonicTime now);

  /// Notes that a part of the body has arrived, and asks for `bytes` as the memory of the whole body so far. Not
  /// granted if the connection is to be closed.
  Decision ReserveBody(ConnectionId connection, std::size_t bytes, MonotonicTime now);

  /// Frees the memory of a body that is not kept.
  void ReleaseBody(ConnectionId connection);

  /// Keeps the connection from being named until `EndRequest`, because its request is passed to the handler; false if
  /// it has been named already.
  bool BeginDispatch(ConnectionId connection);

  /// Counts the response beside the body until `EndRequest`.
  void AddResponse(ConnectionId connection, std::size_t bytes);

  /// The response has been sent, or the request was given up.
  void EndRequest(ConnectionId connection, MonotonicTime now);

  void Remove(ConnectionId connection);

  /// True if the connection has been named for closing.
  bool IsNamed(ConnectionId connection) const;

  /// Closes the connections through their listeners.
  void Close(const std::vector<NamedConnection>& named);

 private:
  struct Connection {
    ConnectionCloser* listener = nullptr;
    std::string peer;
    std::size_t fixed_bytes = 0;
    std::size_t request_bytes = 0;
    MonotonicTime progress;
    bool dispatched = false;
    bool named = false;

    std::size_t bytes() const { return fixed_bytes + request_bytes; }
  };

  using Connections = std::unordered_map<ConnectionId, Connection>;

  /// What must be freed, and where.
  struct Demand {
    std::size_t bytes = 0;
    std::size_t connections = 0;
    ConnectionCloser* listener = nullptr;  ///< null means any listener
  };

  /// The connections to close for a demand of `peer`; nothing if they do not suffice.
  std::optional<std::vector<ConnectionId>> Choose(const Demand& demand, const std::string& peer, MonotonicTime now);
  void Name(const std::vector<ConnectionId>& chosen, Decision& decision);
  void SetRequestBytes(Connection& connection, std::size_t bytes);
  std::size_t Excess(std::size_t additional) const;
  void Note(int closed, int rejected, const std::string& peer, MonotonicTime now, Decision& decision);
  void Publish();

  const std::size_t m_budget;
  Gauge* m_used_gauge = nullptr;
  Counter* m_closed_counter = nullptr;
  Counter* m_rejected_counter = nullptr;

  mutable std::mutex m_mutex;
  Connections m_connections;
  std::map<std::string, std::size_t, std::less<>> m_bytes_by_peer;
  std::size_t m_used = 0;
  std::size_t m_closing = 0;  ///< part of `m_used` that connections named for closing still hold
  ConnectionId m_last_id = 0;
  Report m_report;
  MonotonicTime m_reported_at = InfinitePast();

  std::mutex m_listeners_mutex;  ///< taken before the listeners' own locks, never together with `m_mutex`
  std::set<ConnectionCloser*> m_listeners;
};

}  // namespace berylgauge
