#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>

#include "transport/event_loop.h"
#include "transport/unique_fd.h"

namespace berylgauge {

class ServerConnection;
struct ServerContext;

/// One event loop of a server with its connections. All functions but `loop` run on the loop's thread.
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

  /// Closes all connections and those added from now on.
  void Stop();

 private:
  ServerContext& m_context;
  absl::flat_hash_map<ServerConnection*, std::shared_ptr<ServerConnection>> m_connections;
  bool m_shutting_down = false;
  bool m_stopped = false;
  EventLoop m_loop;  ///< last, so that its thread ends before the rest is destroyed
};

}  // namespace berylgauge
