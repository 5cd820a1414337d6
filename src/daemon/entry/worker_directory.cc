#include "daemon/entry/worker_directory.h"

#include <utility>

namespace berylgauge {

WorkerDirectory::WorkerDirectory(WorkerRegistry::Options registry, RoutingTable::Options routing)
    : m_registry(std::move(registry)), m_table(std::make_unique<const RoutingTable>(std::move(routing))) {}

HeartbeatOutcome WorkerDirectory::Apply(const Heartbeat& heartbeat, MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  const HeartbeatOutcome outcome = m_registry.Apply(heartbeat, now);
  if (!outcome.IsAccepted()) return outcome;
  PublishIfChanged(now);
  m_table.Read([&](const RoutingTable& table) { table.StoreReports(heartbeat, now); });
  return outcome;
}

std::vector<WorkerId> WorkerDirectory::Expire(MonotonicTime now) {
  const absl::MutexLock lock(&m_mutex);
  std::vector<WorkerId> silent = m_registry.Expire(now);
  PublishIfChanged(now);
  return silent;
}

void WorkerDirectory::PublishIfChanged(MonotonicTime now) {
  if (m_registry.generation() == m_published_generation) return;
  m_published_generation = m_registry.generation();
  std::unique_ptr<const RoutingTable> next =
      m_table.Read([&](const RoutingTable& former) { return RoutingTable::Build(m_registry, former, now); });
  m_table.Publish(std::move(next));
}

std::optional<absl::Duration> WorkerDirectory::SilenceOf(const WorkerId& worker, MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  return m_registry.SilenceOf(worker, now);
}

AvailabilityZoneId WorkerDirectory::ZoneOf(const WorkerId& worker) const {
  const absl::MutexLock lock(&m_mutex);
  const WorkerRecord* record = m_registry.Find(worker);
  return record == nullptr ? AvailabilityZoneId() : record->last.availability_zone;
}

std::string WorkerDirectory::AddressOf(const WorkerId& worker) const {
  const absl::MutexLock lock(&m_mutex);
  const WorkerRecord* record = m_registry.Find(worker);
  return record == nullptr ? std::string() : record->last.address;
}

std::vector<WorkerDirectory::Entry> WorkerDirectory::Workers(MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<Entry> workers;
  for (const auto& [id, record] : m_registry.workers()) {
    workers.push_back(
        {.last = record.last, .liveness = m_registry.LivenessOf(record, now), .last_heard = record.last_heard});
  }
  return workers;
}

}  // namespace berylgauge
