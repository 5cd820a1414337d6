#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/resources.h"
#include "workflow/worker_report.h"

namespace berylgauge::control {

/// What a worker says of itself to the agent beside it.
struct WorkerAnnouncement {
  workflow::WorkerLife life;
  std::uint64_t sequence = 0;  ///< rises within a life; tells late announcements
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  std::string rack;  ///< the label that names its rack; empty if none does
  Resources capacity;
  bool draining = false;
  std::int64_t remaining_ms = 0;  ///< least time left while draining
};

}  // namespace berylgauge::control
