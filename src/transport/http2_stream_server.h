#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "transport/listener.h"
#include "transport/server_context.h"
#include "transport/server_shard.h"
#include "transport/stream_server.h"

namespace berylgauge {

/// `StreamServer` over HTTP/2: one listener, whose connections are distributed over the shards in turn.
class Http2StreamServer final : public StreamServer {
 public:
  explicit Http2StreamServer(const StreamServerOptions& options);
  ~Http2StreamServer() override;

  Result<int> Start(const std::string& address, int port, Handler handler) override;
  void BeginShutdown() override;
  int OpenStreams() const override;
  void Stop() override;

 private:
  enum class State { kNew, kRunning, kStopped };

  void Distribute(UniqueFd fd);

  ServerContext m_context;
  std::mutex m_mutex;           ///< serialises Start, BeginShutdown and Stop
  State m_state = State::kNew;  ///< guarded by m_mutex
  std::vector<std::unique_ptr<ServerShard>> m_shards;
  std::unique_ptr<Listener> m_listener;
  std::size_t m_next_shard = 0;  ///< used on the first shard's thread
};

}  // namespace berylgauge
