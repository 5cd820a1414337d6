#include "workflow/quarantine_filter.h"

#include <algorithm>

#include "base/ids.h"

namespace berylgauge::workflow {

QuarantineFilter::QuarantineFilter(const std::vector<PoolWorker*>& workers, const WorkerQuarantine& quarantine,
                                   MonotonicTime now)
    : m_workers(workers), m_quarantine(quarantine), m_now(now) {
  std::vector<const PoolWorker*> out;
  for (PoolWorker* worker : workers) {
    const bool is_out = quarantine.OutSince(WorkerId(worker->life.worker)) != InfiniteFuture();
    if (is_out) out.push_back(worker);
    if (worker->condition != WorkerCondition::kReady) continue;
    ServiceState& service = m_services[worker->service];
    ++service.workers;
    if (is_out) ++service.out;
    service.capacity += worker->capacity;
    service.reserved += worker->reserved;
  }
  m_has_quarantined = !out.empty();
  for (const PoolWorker* worker : out) {
    const WorkerId id(worker->life.worker);
    m_next_trial = std::min(m_next_trial, quarantine.TrialAt(id, now, ExtentIn(worker->service)));
    m_next_early_trial = std::min(m_next_early_trial, quarantine.TrialAt(id, now, QuarantineExtent::kMost));
  }
  for (std::vector<PoolWorker*>& list : m_lists) list = workers;
  for (const PoolWorker* worker : out) Close(*worker);
}

const std::vector<PoolWorker*>& QuarantineFilter::Candidates(QuarantineAccess access) const {
  return m_lists[Index(access)];
}

void QuarantineFilter::OnPlaced(const PoolWorker& worker) {
  if (!m_has_quarantined) return;
  m_next_trial = std::min(m_next_trial, m_quarantine.TrialAt(WorkerId(worker.life.worker), m_now));
  Close(worker);
}

void QuarantineFilter::Close(const PoolWorker& worker) {
  for (std::size_t i = 0; i < Index(AccessNeededFor(worker)); ++i) std::erase(m_lists[i], &worker);
}

QuarantineExtent QuarantineFilter::ExtentIn(const std::string& service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return QuarantineExtent::kFew;
  return QuarantineExtentOf(found->second.out, found->second.workers);
}

bool QuarantineFilter::IsMostlyFree(const std::string& service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return false;
  const ServiceState& state = found->second;
  return 2 * state.reserved.cpu_millis < state.capacity.cpu_millis ||
         2 * state.reserved.memory_mb < state.capacity.memory_mb;
}

QuarantineAccess QuarantineFilter::AccessNeededFor(const PoolWorker& worker) const {
  const WorkerId id(worker.life.worker);
  if (m_quarantine.OutSince(id) == InfiniteFuture()) return QuarantineAccess::kNone;
  if (m_quarantine.MayPlace(id, m_now, ExtentIn(worker.service))) return QuarantineAccess::kTrial;
  return m_quarantine.MayPlace(id, m_now, QuarantineExtent::kMost) ? QuarantineAccess::kEarly : QuarantineAccess::kAll;
}

}  // namespace berylgauge::workflow
