#include "workflow/room_hold.h"

#include <algorithm>

namespace berylgauge::workflow {

Resources RoomHold::AmountOn(const PoolWorker& worker) const {
  Resources amount = demand;
  for (const TaskRef task : stops) {
    const auto run = worker.runs.find(task);
    if (run != worker.runs.end()) amount -= run->second;
  }
  return {.cpu_millis = std::max<std::int64_t>(amount.cpu_millis, 0),
          .memory_mb = std::max<std::int64_t>(amount.memory_mb, 0),
          .accelerators = std::max<std::int64_t>(amount.accelerators, 0),
          .slots = std::max<std::int64_t>(amount.slots, 0)};
}

}  // namespace berylgauge::workflow
