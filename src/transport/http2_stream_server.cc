#include "transport/http2_stream_server.h"

#include <system_error>
#include <utility>

#include "transport/socket_address.h"

namespace berylgauge {

Http2StreamServer::Http2StreamServer(const StreamServerOptions& options) : m_context(options) {}

Http2StreamServer::~Http2StreamServer() { Http2StreamServer::Stop(); }

Result<int> Http2StreamServer::Start(const std::string& address, int port, Handler handler) {
  const std::lock_guard lock(m_mutex);
  if (m_state != State::kNew) return NotRun(FailureCode::kConflict, "the server was started before");
  const Result<SocketAddress> parsed = SocketAddress::Parse(address, port);
  if (!parsed) return tl::make_unexpected(parsed.error());
  std::vector<std::unique_ptr<ServerShard>> shards;
  try {
    for (int i = 0; i < m_context.options.loops; ++i) {
      shards.push_back(std::make_unique<ServerShard>("stream-server-" + std::to_string(i), m_context));
    }
  } catch (const std::system_error& error) {
    return NotRun(FailureCode::kUnavailable, error.what());
  }
  Result<std::unique_ptr<Listener>> listener = Listener::Open(
      shards.front()->loop(), *parsed,
      {.backlog = m_context.options.backlog, .receive_buffer_bytes = m_context.options.receive_buffer_bytes});
  if (!listener) return tl::make_unexpected(listener.error());
  m_context.handler = std::move(handler);
  m_shards = std::move(shards);
  m_listener = std::move(*listener);
  m_state = State::kRunning;
  m_shards.front()->loop().RunSync([this] { m_listener->Start([this](UniqueFd fd) { Distribute(std::move(fd)); }); });
  return m_listener->port();
}

void Http2StreamServer::Distribute(UniqueFd fd) {
  if (m_context.connections.fetch_add(1) >= m_context.options.max_connections) {
    m_context.connections.fetch_sub(1);
    m_context.counters.connections_failed.Add();
    return;
  }
  ServerShard& shard = *m_shards[m_next_shard];
  m_next_shard = (m_next_shard + 1) % m_shards.size();
  if (shard.loop().IsInLoopThread()) {
    shard.Add(std::move(fd));
    return;
  }
  shard.loop().Post([&shard, fd = std::move(fd)]() mutable { shard.Add(std::move(fd)); });
}

void Http2StreamServer::BeginShutdown() {
  const std::lock_guard lock(m_mutex);
  if (m_state != State::kRunning) return;
  m_shards.front()->loop().Post([this] { m_listener->Stop(); });
  for (const std::unique_ptr<ServerShard>& shard : m_shards) {
    shard->loop().Post([raw = shard.get()] { raw->BeginShutdown(); });
  }
}

int Http2StreamServer::OpenStreams() const { return m_context.open_streams.load(); }

void Http2StreamServer::Stop() {
  const std::lock_guard lock(m_mutex);
  if (m_state != State::kRunning) return;
  m_state = State::kStopped;
  m_shards.front()->loop().RunSync([this] { m_listener->Stop(); });
  for (const std::unique_ptr<ServerShard>& shard : m_shards) {
    shard->loop().RunSync([raw = shard.get()] { raw->Stop(); });
  }
  for (const std::unique_ptr<ServerShard>& shard : m_shards) shard->WaitUntilClosed();
  m_shards.clear();
}

}  // namespace berylgauge
