#include "routing/routing_table.h"

namespace berylgauge {

std::size_t RoutedService::EndpointCount() const {
  std::size_t count = 0;
  for (const auto& tier : tiers) count += tier.size();
  return count;
}

std::unique_ptr<const RoutingTable> RoutingTable::Build(const WorkerRegistry& registry, const RoutingTable& former,
                                                        MonotonicTime now) {
  auto table = std::make_unique<RoutingTable>(former.m_options);
  for (const auto& [worker, record] : registry.workers()) {
    if (record.last.leaving || registry.LivenessOf(record, now) == WorkerLiveness::kSilent) continue;
    table->AddWorker(record, former);
  }
  return table;
}

void RoutingTable::AddWorker(const WorkerRecord& record, const RoutingTable& former) {
  const Heartbeat& heartbeat = record.last;
  Tier tier = Tier::kOtherRegion;
  if (heartbeat.region == m_options.own_region) tier = Tier::kOwnRegion;
  if (heartbeat.availability_zone == m_options.own_availability_zone) tier = Tier::kOwnAvailabilityZone;
  for (const EndpointReport& report : heartbeat.endpoints) {
    if (report.leaving || report.slots <= 0) continue;
    std::shared_ptr<EndpointState> state = former.FindState(heartbeat.worker, report);
    if (!state) state = std::make_shared<EndpointState>();
    // The newest report is stored again, because a former table without this endpoint could not take it.
    if (state->last_heard() < record.last_heard) state->StoreReport(report.outstanding, record.last_heard);
    const auto endpoint =
        std::make_shared<const RoutedEndpoint>(RoutedEndpoint{.service = report.service,
                                                              .address = report.address,
                                                              .incarnation = report.incarnation,
                                                              .worker = heartbeat.worker,
                                                              .agent_address = heartbeat.address,
                                                              .agent_incarnation = heartbeat.incarnation,
                                                              .availability_zone = heartbeat.availability_zone,
                                                              .tier = tier,
                                                              .slots = report.slots,
                                                              .state = std::move(state)});
    m_services[report.service].tiers[static_cast<std::size_t>(tier)].push_back(endpoint);
    m_endpoints_by_worker[heartbeat.worker].push_back(endpoint);
  }
}

std::shared_ptr<EndpointState> RoutingTable::FindState(const WorkerId& worker, const EndpointReport& report) const {
  const auto it = m_endpoints_by_worker.find(worker);
  if (it == m_endpoints_by_worker.end()) return nullptr;
  for (const RoutedEndpointPtr& endpoint : it->second) {
    if (endpoint->service == report.service && endpoint->address == report.address &&
        endpoint->incarnation == report.incarnation) {
      return endpoint->state;
    }
  }
  return nullptr;
}

const RoutedService* RoutingTable::Find(const ServiceId& service) const {
  const auto it = m_services.find(service);
  return it == m_services.end() ? nullptr : &it->second;
}

void RoutingTable::StoreReports(const Heartbeat& heartbeat, MonotonicTime now) const {
  for (const EndpointReport& report : heartbeat.endpoints) {
    const std::shared_ptr<EndpointState> state = FindState(heartbeat.worker, report);
    if (state) state->StoreReport(report.outstanding, now);
  }
}

bool RoutingTable::IsHeard(const RoutedEndpoint& endpoint, MonotonicTime now) const {
  return now - endpoint.state->last_heard() <= m_options.remove_after;
}

bool RoutingTable::IsSuspect(const RoutedEndpoint& endpoint, MonotonicTime now) const {
  const absl::Duration limit =
      endpoint.tier == Tier::kOtherRegion ? m_options.remote_suspect_after : m_options.suspect_after;
  return now - endpoint.state->last_heard() > limit;
}

}  // namespace berylgauge
