#include "schedule/job_backoff.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace berylgauge {
namespace {

/// Evidence beyond this many failures is dropped, oldest first; bounds the memory of a job with many tasks.
constexpr std::size_t kMaxEvidence = 32;

/// Largest exponent of the delay; the delay is limited by the options long before.
constexpr std::size_t kMaxDoublings = 20;

}  // namespace

JobBackoff::JobBackoff(JobBackoffOptions options) : m_options(options) {}

void JobBackoff::RecordFailure(const JobId& job, JobFailure failure) {
  std::vector<JobFailure>& failures = m_records[job].failures;
  if (failures.size() >= kMaxEvidence) failures.erase(failures.begin());
  failures.push_back(std::move(failure));
}

void JobBackoff::RecordSuccess(const JobId& job, const TaskId& task) {
  const auto found = m_records.find(job);
  if (found == m_records.end()) return;
  std::erase_if(found->second.failures, [&](const JobFailure& failure) { return failure.key.task == task; });
  if (found->second.failures.empty()) m_records.erase(found);
}

void JobBackoff::DiscountWorker(const WorkerId& worker) {
  for (auto& [job, record] : m_records) {
    std::erase_if(record.failures, [&](const JobFailure& failure) { return failure.worker == worker; });
  }
  absl::erase_if(m_records, [](const auto& item) { return item.second.failures.empty(); });
}

void JobBackoff::Forget(const JobId& job) { m_records.erase(job); }

std::size_t JobBackoff::CountWorkers(const Record& record) {
  std::set<WorkerId> workers;
  for (const JobFailure& failure : record.failures) workers.insert(failure.worker);
  return workers.size();
}

std::size_t JobBackoff::MostFailuresOfOneTask(const Record& record) {
  std::map<TaskId, std::size_t> failures;
  std::size_t most = 0;
  for (const JobFailure& failure : record.failures) most = std::max(most, ++failures[failure.key.task]);
  return most;
}

bool JobBackoff::IsParked(const Record& record) const {
  return record.failures.size() >= m_options.park_failures && CountWorkers(record) >= m_options.park_workers;
}

JobBackoffState JobBackoff::StateOf(const JobId& job, MonotonicTime now) const {
  const auto found = m_records.find(job);
  if (found == m_records.end()) return JobBackoffState::kReady;
  if (IsParked(found->second)) return JobBackoffState::kParked;
  return now < RetryAt(job) ? JobBackoffState::kDelayed : JobBackoffState::kReady;
}

MonotonicTime JobBackoff::RetryAt(const JobId& job) const {
  const auto found = m_records.find(job);
  if (found == m_records.end()) return InfinitePast();
  const Record& record = found->second;
  if (IsParked(record)) return InfiniteFuture();
  // With one worker involved the worker may be at fault. Several tasks that failed there once each say nothing about
  // the job; one task that fails there again and again does, as on a site where only that worker can run it.
  const bool one_worker = CountWorkers(record) < m_options.delay_workers;
  const std::size_t count = one_worker ? MostFailuresOfOneTask(record) : record.failures.size();
  if (one_worker && count < m_options.delay_failures) return InfinitePast();
  const std::size_t doublings = std::min(count - std::min(count, m_options.delay_workers), kMaxDoublings);
  const absl::Duration delay =
      std::min(m_options.first_delay * static_cast<double>(std::size_t{1} << doublings), m_options.longest_delay);
  return record.failures.back().at + delay;
}

bool JobBackoff::IsSuspect(const JobId& job) const { return FailedWorkers(job) >= m_options.delay_workers; }

std::size_t JobBackoff::FailedWorkers(const JobId& job) const {
  const auto found = m_records.find(job);
  return found == m_records.end() ? 0 : CountWorkers(found->second);
}

std::vector<JobFailure> JobBackoff::Evidence(const JobId& job) const {
  const auto found = m_records.find(job);
  return found == m_records.end() ? std::vector<JobFailure>{} : found->second.failures;
}

}  // namespace berylgauge
