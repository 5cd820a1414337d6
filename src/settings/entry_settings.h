#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <string>

#include "settings/ip_port.h"

namespace berylgauge {

/// Settings of the role `entry`.
struct EntrySettings {
  IpPort callers;    ///< listener for callers' requests
  IpPort operators;  ///< listener for operators, health and metrics
  IpPort internal;   ///< listener for agents and other entries; announced to them
  std::string operator_token_file;
  std::string log_url;
  int job_shares = 0;
  std::size_t max_request_bytes = 0;
  int max_callers_connections = 0;
  std::size_t request_memory_bytes = 0;  ///< for the connections and requests of callers and operators
  absl::Duration request_timeout;
  int retry_budget_percent = 0;
};

}  // namespace berylgauge
