#include "schedule/worker_quarantine.h"

#include <algorithm>

namespace berylgauge {

QuarantineExtent QuarantineExtentOf(std::size_t out, std::size_t workers) {
  return 2 * out > workers ? QuarantineExtent::kMost : QuarantineExtent::kFew;
}

WorkerQuarantine::WorkerQuarantine(WorkerQuarantineOptions options) : m_options(options) {}

bool WorkerQuarantine::RecordFailure(const WorkerId& worker, const JobId& job, MonotonicTime now,
                                     QuarantineExtent extent) {
  Record& record = m_records[worker];
  record.failed_jobs.insert(job);
  if (record.quarantined) {
    // Attempts that were placed before the quarantine may still fail; only trials count.
    if (!record.trial_running) return false;
    record.trial_running = false;
    if (extent == QuarantineExtent::kFew) record.pause = std::min(record.pause * 2, m_options.longest_pause);
    record.paused_since = now;
    return true;
  }
  if (record.failed_jobs.size() < m_options.failed_jobs) return false;
  record.quarantined = true;
  record.out_since = now;
  record.pause = m_options.first_pause;
  record.paused_since = now;
  return true;
}

bool WorkerQuarantine::RecordSuccess(const WorkerId& worker) {
  const auto found = m_records.find(worker);
  if (found == m_records.end()) return false;
  const bool was_out = found->second.quarantined;
  m_records.erase(found);
  return was_out;
}

void WorkerQuarantine::RecordPlaced(const WorkerId& worker, MonotonicTime now) {
  const auto found = m_records.find(worker);
  if (found == m_records.end() || !found->second.quarantined) return;
  found->second.trial_running = true;
  found->second.trial_since = now;
}

void WorkerQuarantine::RecordTrialAborted(const WorkerId& worker) {
  const auto found = m_records.find(worker);
  if (found != m_records.end()) found->second.trial_running = false;
}

void WorkerQuarantine::DiscountJob(const JobId& job) {
  for (auto& [worker, record] : m_records) {
    if (record.failed_jobs.erase(job) == 0) continue;
    if (record.quarantined && record.failed_jobs.size() < m_options.failed_jobs) {
      record.quarantined = false;
      record.trial_running = false;
    }
  }
  absl::erase_if(m_records, [](const auto& item) { return item.second.failed_jobs.empty(); });
}

void WorkerQuarantine::Forget(const WorkerId& worker) { m_records.erase(worker); }

MonotonicTime WorkerQuarantine::NextTrial(const Record& record, QuarantineExtent extent) const {
  if (record.trial_running) return record.trial_since + m_options.longest_trial;
  const bool is_common = extent == QuarantineExtent::kMost;
  return record.paused_since + (is_common ? std::min(record.pause, m_options.most_out_pause) : record.pause);
}

QuarantineState WorkerQuarantine::StateOf(const WorkerId& worker, MonotonicTime now, QuarantineExtent extent) const {
  const auto found = m_records.find(worker);
  if (found == m_records.end() || !found->second.quarantined) return QuarantineState::kOpen;
  if (now >= NextTrial(found->second, extent)) return QuarantineState::kTrialDue;
  return found->second.trial_running ? QuarantineState::kTrialRunning : QuarantineState::kQuarantined;
}

bool WorkerQuarantine::MayPlace(const WorkerId& worker, MonotonicTime now, QuarantineExtent extent) const {
  const QuarantineState state = StateOf(worker, now, extent);
  return state == QuarantineState::kOpen || state == QuarantineState::kTrialDue;
}

std::size_t WorkerQuarantine::CountOut(const absl::flat_hash_set<WorkerId>& workers) const {
  return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [&](const auto& item) {
    return item.second.quarantined && workers.contains(item.first);
  }));
}

MonotonicTime WorkerQuarantine::OutSince(const WorkerId& worker) const {
  const auto found = m_records.find(worker);
  return found != m_records.end() && found->second.quarantined ? found->second.out_since : InfiniteFuture();
}

MonotonicTime WorkerQuarantine::TrialAt(const WorkerId& worker, MonotonicTime now, QuarantineExtent extent) const {
  const auto found = m_records.find(worker);
  if (found == m_records.end() || !found->second.quarantined) return InfiniteFuture();
  const MonotonicTime next = NextTrial(found->second, extent);
  return now < next ? next : InfiniteFuture();
}

std::vector<JobId> WorkerQuarantine::Evidence(const WorkerId& worker) const {
  const auto found = m_records.find(worker);
  if (found == m_records.end()) return {};
  return {found->second.failed_jobs.begin(), found->second.failed_jobs.end()};
}

}  // namespace berylgauge
