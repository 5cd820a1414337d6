#pragma once

#include <absl/container/flat_hash_map.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "transport/event_loop.h"
#include "transport/unique_fd.h"

namespace berylgauge {

class ServerConnection;
struct ServerContext;

/// One event loop of a server with its connections. `Add`, `BeginShutdown` and `Stop` run on the loop's thread.
class ServerShard {
 public:
  ServerShard(const std::string& thread_name, ServerContext& context);
  ~ServerShard();
  ServerShard(const ServerShard&) = delete;
  ServerShard& operator=(const ServerShard&) = delete;

  EventLoop& loop() { return m_loop; }

  /// Serves an accepted socket, which counts towards `ServerContext::connections` already.
  void Add(UniqueFd fd);

  void BeginShutdown();

  /// Begins to close all connections; refuses those added from now on.
  void Stop();

  /// Waits on another thread, after `Stop`, until the peers have read the last answers and all connections are closed.
  /// The time that a connection lingers bounds it.
  void WaitUntilClosed();

 private:
  void ReportIfAllClosed();

  ServerContext& m_context;
  absl::flat_hash_map<ServerConnection*, std::shared_ptr<ServerConnection>> m_connections;
  bool m_shutting_down = false;
  bool m_stopped = false;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_all_closed = false;  ///< guarded by m_mutex
  EventLoop m_loop;           ///< last, so that its thread ends before the rest is destroyed
};

}  // namespace berylgauge
