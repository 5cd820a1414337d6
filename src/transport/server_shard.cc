#include "transport/server_shard.h"

#include <utility>
#include <vector>

#include "transport/server_connection.h"
#include "transport/server_context.h"

namespace berylgauge {

ServerShard::ServerShard(const std::string& thread_name, ServerContext& context)
    : m_context(context), m_loop(thread_name) {}

ServerShard::~ServerShard() = default;

void ServerShard::Add(UniqueFd fd) {
  if (m_stopped) {
    m_context.connections.fetch_sub(1);
    return;
  }
  auto connection =
      std::make_shared<ServerConnection>(m_loop, std::move(fd), m_context, [this](ServerConnection& closed) {
        m_context.connections.fetch_sub(1);
        m_connections.erase(&closed);
        ReportIfAllClosed();
      });
  m_connections.emplace(connection.get(), connection);
  connection->Start();
  if (m_shutting_down) connection->BeginShutdown();
}

void ServerShard::BeginShutdown() {
  m_shutting_down = true;
  for (const auto& [key, connection] : m_connections) connection->BeginShutdown();
}

void ServerShard::Stop() {
  m_stopped = true;
  std::vector<std::shared_ptr<ServerConnection>> connections;
  connections.reserve(m_connections.size());
  for (const auto& [key, connection] : m_connections) connections.push_back(connection);
  for (const std::shared_ptr<ServerConnection>& connection : connections) connection->StopNow();
  ReportIfAllClosed();
}

void ServerShard::ReportIfAllClosed() {
  if (!m_stopped || !m_connections.empty()) return;
  const std::lock_guard lock(m_mutex);
  m_all_closed = true;
  m_changed.notify_all();
}

void ServerShard::WaitUntilClosed() {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_all_closed; });
}

}  // namespace berylgauge
