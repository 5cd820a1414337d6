#include "membership/worker_registry.h"

#include <algorithm>

namespace berylgauge {
namespace {

bool IsSameEndpoint(const EndpointReport& a, const EndpointReport& b) {
  return a.service == b.service && a.address == b.address && a.incarnation == b.incarnation && a.slots == b.slots &&
         a.leaving == b.leaving;
}

/// True if a routing table built from either heartbeat is the same but for the counts of outstanding requests.
bool IsSameForRouting(const Heartbeat& a, const Heartbeat& b) {
  return a.incarnation == b.incarnation && a.address == b.address && a.availability_zone == b.availability_zone &&
         a.region == b.region && a.rack == b.rack && a.leaving == b.leaving &&
         std::equal(a.endpoints.begin(), a.endpoints.end(), b.endpoints.begin(), b.endpoints.end(), IsSameEndpoint);
}

}  // namespace

bool WorkerRegistry::IsFormer(const Heartbeat& heartbeat, MonotonicTime now) const {
  const auto it = m_former.find({heartbeat.worker, heartbeat.incarnation});
  if (it == m_former.end()) return false;
  if (heartbeat.sequence <= it->second.last_sequence) return true;
  return LivenessOf(it->second.successor, now) != WorkerLiveness::kSilent;
}

void WorkerRegistry::ForgetOldest() {
  const auto oldest = std::min_element(m_former.begin(), m_former.end(), [](const auto& a, const auto& b) {
    return a.second.replaced < b.second.replaced;
  });
  if (oldest != m_former.end()) m_former.erase(oldest);
}

void WorkerRegistry::Retire(const WorkerRecord& record, const WorkerId& successor, MonotonicTime now) {
  if (m_former.size() >= m_options.max_former) ForgetOldest();
  m_former[{record.last.worker, record.last.incarnation}] = {
      .last_sequence = record.last.sequence, .successor = successor, .replaced = now};
  m_workers_by_address.erase(record.last.address);
}

std::optional<WorkerId> WorkerRegistry::DisplaceAddress(const Heartbeat& heartbeat, MonotonicTime now) {
  const auto holder = m_workers_by_address.find(heartbeat.address);
  if (holder == m_workers_by_address.end() || holder->second == heartbeat.worker) return std::nullopt;
  const WorkerId displaced = holder->second;
  const auto it = m_workers.find(displaced);
  Retire(it->second, heartbeat.worker, now);
  m_workers.erase(it);
  m_reported_silent.erase(displaced);
  return displaced;
}

HeartbeatOutcome WorkerRegistry::Apply(const Heartbeat& heartbeat, MonotonicTime now) {
  if (IsFormer(heartbeat, now)) return {.decision = HeartbeatDecision::kFormer};
  const auto it = m_workers.find(heartbeat.worker);
  HeartbeatOutcome outcome{.decision = HeartbeatDecision::kNewWorker};
  MonotonicTime first_heard = now;
  bool is_changed = true;
  if (it != m_workers.end()) {
    const WorkerRecord& former = it->second;
    const bool is_same_process = former.last.incarnation == heartbeat.incarnation;
    if (is_same_process && heartbeat.sequence <= former.last.sequence) return {.decision = HeartbeatDecision::kStale};
    outcome.is_new_boot =
        !former.last.boot_id.empty() && !heartbeat.boot_id.empty() && former.last.boot_id != heartbeat.boot_id;
    if (is_same_process) {
      outcome.decision = outcome.is_new_boot ? HeartbeatDecision::kNewBoot : HeartbeatDecision::kRefreshed;
      first_heard = former.first_heard;
      const bool was_silent = LivenessOf(former, now) == WorkerLiveness::kSilent;
      is_changed = was_silent || !IsSameForRouting(former.last, heartbeat);
      if (former.last.address != heartbeat.address) m_workers_by_address.erase(former.last.address);
    } else {
      outcome.decision = HeartbeatDecision::kNewIncarnation;
      Retire(former, heartbeat.worker, now);
    }
  }
  m_former.erase({heartbeat.worker, heartbeat.incarnation});
  outcome.displaced = DisplaceAddress(heartbeat, now);
  WorkerRecord record{.last = heartbeat, .first_heard = first_heard, .last_heard = now};
  if (record.last.boot_id.empty() && it != m_workers.end()) record.last.boot_id = it->second.last.boot_id;
  m_workers[heartbeat.worker] = std::move(record);
  m_workers_by_address[heartbeat.address] = heartbeat.worker;
  m_reported_silent.erase(heartbeat.worker);
  if (is_changed || outcome.displaced) ++m_generation;
  return outcome;
}

std::vector<WorkerId> WorkerRegistry::Expire(MonotonicTime now) {
  std::vector<WorkerId> silent;
  for (auto it = m_workers.begin(); it != m_workers.end();) {
    const auto& [worker, record] = *it;
    if (LivenessOf(record, now) == WorkerLiveness::kSilent &&
        m_reported_silent.try_emplace(worker, record.last_heard).second) {
      silent.push_back(worker);
      ++m_generation;
    }
    if (now - record.last_heard > m_options.forget_after) {
      m_workers_by_address.erase(record.last.address);
      m_reported_silent.erase(worker);
      it = m_workers.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(m_former, [&](const auto& item) { return now - item.second.replaced > m_options.forget_after; });
  return silent;
}

const WorkerRecord* WorkerRegistry::Find(const WorkerId& worker) const {
  const auto it = m_workers.find(worker);
  return it == m_workers.end() ? nullptr : &it->second;
}

WorkerLiveness WorkerRegistry::LivenessOf(const WorkerRecord& record, MonotonicTime now) const {
  const absl::Duration silence = now - record.last_heard;
  if (silence > m_options.remove_after) return WorkerLiveness::kSilent;
  const bool is_remote = record.last.region != m_options.own_region;
  const absl::Duration suspect_after = is_remote ? m_options.remote_suspect_after : m_options.suspect_after;
  return silence > suspect_after ? WorkerLiveness::kSuspect : WorkerLiveness::kLive;
}

WorkerLiveness WorkerRegistry::LivenessOf(const WorkerId& worker, MonotonicTime now) const {
  const WorkerRecord* record = Find(worker);
  return record == nullptr ? WorkerLiveness::kSilent : LivenessOf(*record, now);
}

std::optional<absl::Duration> WorkerRegistry::SilenceOf(const WorkerId& worker, MonotonicTime now) const {
  const WorkerRecord* record = Find(worker);
  if (record == nullptr) return std::nullopt;
  return now - record->last_heard;
}

}  // namespace berylgauge
