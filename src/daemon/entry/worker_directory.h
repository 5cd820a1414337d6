#pragma once

#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/rcu_cell.h"
#include "membership/worker_registry.h"
#include "routing/routing_table.h"

namespace berylgauge {

/// What an entry hears of all workers, and the routing table made of it.
class WorkerDirectory {
 public:
  WorkerDirectory(WorkerRegistry::Options registry, RoutingTable::Options routing);

  /// Takes in a heartbeat; publishes a new routing table if anything in it changed.
  HeartbeatOutcome Apply(const Heartbeat& heartbeat, MonotonicTime now);

  /// Notes the workers that have become silent and returns them. Call it several times a second.
  std::vector<WorkerId> Expire(MonotonicTime now);

  /// The table that requests read; no lock is taken.
  const RcuCell<RoutingTable>& table() const { return m_table; }

  std::optional<absl::Duration> SilenceOf(const WorkerId& worker, MonotonicTime now) const;
  AvailabilityZoneId ZoneOf(const WorkerId& worker) const;

  /// "ip:port" of the agent's internal listener; empty for an unknown worker.
  std::string AddressOf(const WorkerId& worker) const;

  struct Entry {
    Heartbeat last;
    WorkerLiveness liveness = WorkerLiveness::kSilent;
    MonotonicTime last_heard;
  };

  /// All workers that were heard.
  std::vector<Entry> Workers(MonotonicTime now) const;

 private:
  void PublishIfChanged(MonotonicTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  mutable absl::Mutex m_mutex;
  WorkerRegistry m_registry ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_published_generation ABSL_GUARDED_BY(m_mutex) = 0;
  RcuCell<RoutingTable> m_table;
};

}  // namespace berylgauge
