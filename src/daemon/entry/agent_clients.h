#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/rcu_cell.h"

namespace berylgauge {

class StreamClient;

/// One connection to each agent, shared by requests and owners. Looking one up takes no lock once it exists.
class AgentClients {
 public:
  using Factory = std::function<std::unique_ptr<StreamClient>(const std::string& address)>;

  explicit AgentClients(Factory factory);
  ~AgentClients();

  /// The connection to an agent, made on first use.
  std::shared_ptr<StreamClient> For(const std::string& address);

  /// Drops the connections to all addresses but those given; requests under way keep theirs.
  void Retain(const std::vector<std::string>& addresses);

  /// Closes all connections, which completes the requests under way; later ones fail with `not run`.
  void Close();

 private:
  using Table = absl::flat_hash_map<std::string, std::shared_ptr<StreamClient>>;

  const Factory m_factory;
  absl::Mutex m_writer_mutex;
  bool m_closed ABSL_GUARDED_BY(m_writer_mutex) = false;
  RcuCell<Table> m_table;
};

}  // namespace berylgauge
