#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "workflow/job_definition.h"

namespace berylgauge::control {

/// A queue and the requests that belong to it.
struct QueueRoute {
  std::string host;         ///< of the request, without port
  std::string path_prefix;  ///< begins and ends with '/'
  workflow::QueuePolicy queue;
};

/// Version of the operators' configuration, as queues by host and path.
class QueueTable {
 public:
  QueueTable() = default;
  QueueTable(std::int64_t version, std::vector<QueueRoute> routes);

  /// The queue with the longest prefix of the path, or null. `host` may carry a port.
  const QueueRoute* Find(std::string_view host, std::string_view path) const;

  std::int64_t version() const { return m_version; }
  std::size_t size() const { return m_count; }

 private:
  std::int64_t m_version = 0;
  std::size_t m_count = 0;
  absl::flat_hash_map<std::string, std::vector<QueueRoute>> m_by_host;  ///< longest prefix first
};

}  // namespace berylgauge::control
