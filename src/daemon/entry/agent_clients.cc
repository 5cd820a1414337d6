#include "daemon/entry/agent_clients.h"

#include <algorithm>
#include <utility>

#include "daemon/common/unusable_stream_client.h"

namespace berylgauge {

AgentClients::AgentClients(Factory factory) : m_factory(std::move(factory)), m_table(std::make_unique<const Table>()) {}

AgentClients::~AgentClients() = default;

std::shared_ptr<StreamClient> AgentClients::For(const std::string& address) {
  const auto find = [&](const Table& table) {
    const auto it = table.find(address);
    return it == table.end() ? nullptr : it->second;
  };
  if (std::shared_ptr<StreamClient> known = m_table.Read(find)) return known;
  const absl::MutexLock lock(&m_writer_mutex);
  if (std::shared_ptr<StreamClient> known = m_table.Read(find)) return known;
  if (m_closed) return std::make_shared<UnusableStreamClient>();
  auto next = std::make_unique<Table>(m_table.Read([](const Table& table) { return table; }));
  const std::shared_ptr<StreamClient> client = m_factory(address);
  next->emplace(address, client);
  m_table.Publish(std::move(next));
  return client;
}

void AgentClients::Close() {
  std::unique_ptr<const Table> former;
  {
    const absl::MutexLock lock(&m_writer_mutex);
    m_closed = true;
    former = std::make_unique<const Table>(m_table.Read([](const Table& table) { return table; }));
    m_table.Publish(std::make_unique<const Table>());
  }
  // The clients are destroyed without the lock, because their last callbacks may ask for other connections.
  former.reset();
}

void AgentClients::Retain(const std::vector<std::string>& addresses) {
  const absl::MutexLock lock(&m_writer_mutex);
  auto next = std::make_unique<Table>();
  const std::size_t former_size = m_table.Read([&](const Table& table) {
    for (const std::string& address : addresses) {
      const auto it = table.find(address);
      if (it != table.end()) next->insert(*it);
    }
    return table.size();
  });
  if (next->size() != former_size) m_table.Publish(std::move(next));
}

}  // namespace berylgauge
