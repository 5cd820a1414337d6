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
    if (worker->condition != WorkerCondition::kReady || !worker->reconciled) continue;
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
  auto next_out = out.begin();
  for (PoolWorker* worker : workers) {
    const bool is_out = next_out != out.end() && *next_out == worker;
    if (is_out) ++next_out;
    const QuarantineAccess needed = is_out ? AccessNeededFor(*worker) : QuarantineAccess::kNone;
    for (std::size_t i = Index(needed); i < std::size(m_lists); ++i) m_lists[i].push_back(worker);
  }
}

const std::vector<PoolWorker*>& QuarantineFilter::Candidates(QuarantineAccess access) const {
  return m_lists[Index(access)];
}

void QuarantineFilter::OnPlaced(const PoolWorker& worker) {
  if (!m_has_quarantined) return;
  m_next_trial = std::min(m_next_trial, m_quarantine.TrialAt(WorkerId(worker.life.worker), m_now));
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
  return 2 * found->second.reserved.cpu_millis < found->second.capacity.cpu_millis;
}

QuarantineAccess QuarantineFilter::AccessNeededFor(const PoolWorker& worker) const {
  const WorkerId id(worker.life.worker);
  if (m_quarantine.OutSince(id) == InfiniteFuture()) return QuarantineAccess::kNone;
  if (m_quarantine.MayPlace(id, m_now, ExtentIn(worker.service))) return QuarantineAccess::kTrial;
  return m_quarantine.MayPlace(id, m_now, QuarantineExtent::kMost) ? QuarantineAccess::kEarly : QuarantineAccess::kAll;
}

}  // namespace berylgauge::workflow
