#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "settings/ip_port.h"

namespace berylgauge {

/// Settings of the role `agent`.
struct AgentSettings {
  WorkerId worker_id;
  RackId rack;
  IpPort local;     ///< listener for announcements of endpoints, health and metrics
  IpPort internal;  ///< listener for entries; announced to them
  std::string worker_url;
  std::vector<IpPort> entries;  ///< internal listeners of entries; one that is reachable suffices
  std::int64_t reserve_cpu_millis = 0;
  std::int64_t reserve_memory_mb = 0;
  std::size_t request_memory_bytes = 0;  ///< for the connections and requests of endpoints
};

}  // namespace berylgauge
