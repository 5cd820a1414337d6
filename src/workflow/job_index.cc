#include "workflow/job_index.h"

#include <utility>

#include "base/absl_string_view.h"
#include "workflow/job_codec.h"
#include "workflow/job_summary.h"
#include "workflow/record_keys.h"

namespace berylgauge::workflow {

void JobIndex::ApplySubmission(std::string_view key, std::string_view value) {
  const bool is_cancellation = !key.empty() && key.back() == kCancellationMark;
  const std::string_view id = is_cancellation ? key.substr(0, key.size() - 1) : key;
  if (id.empty()) {
    ++m_corrupt_records;
    return;
  }
  Job& job = m_jobs[std::string(id)];
  Count(job, -1);
  if (is_cancellation) {
    job.cancelled = !value.empty();
  } else {
    job.definition = std::string(value);
    job.queue.clear();
    job.footprint = {};
    if (Result<JobDefinition> definition = DecodeJob(value)) {
      job.footprint = FootprintOf(*definition, value.size());
      job.queue = std::move(definition->queue.name);
    } else if (!value.empty()) {
      ++m_corrupt_records;
    }
  }
  Count(job, 1);
  EraseIfEmpty(id);
}

void JobIndex::ApplyProgress(std::string_view key, std::string_view value) {
  if (key == kOwnerKey) {
    Result<OwnerRecord> owner = DecodeOwner(value);
    if (!owner) {
      ++m_corrupt_records;
      return;
    }
    m_owner = std::move(*owner);
    return;
  }
  const std::size_t dot = key.find('.');
  const std::string_view id = key.substr(0, dot);
  if (id.empty()) {
    ++m_corrupt_records;
    return;
  }
  Job& job = m_jobs[std::string(id)];
  Count(job, -1);
  if (dot != std::string_view::npos) {
    if (value.empty()) {
      job.steps.erase(ToAbsl(key));
    } else {
      job.steps[std::string(key)] = std::string(value);
    }
  } else if (value.empty()) {
    job.summary.reset();
  } else if (const std::optional<JobPhase> phase = DecodeJobSummary(value)) {
    job.summary = phase;
  } else {
    ++m_corrupt_records;
  }
  Count(job, 1);
  EraseIfEmpty(id);
}

std::optional<JobPhase> JobIndex::PhaseOf(std::string_view job) const {
  const Job* found = Find(job);
  if (found == nullptr || found->definition.empty()) return std::nullopt;
  return PhaseOf(*found);
}

int JobIndex::WaitingIn(std::string_view queue) const {
  const auto found = m_waiting.find(ToAbsl(queue));
  return found == m_waiting.end() ? 0 : found->second;
}

const JobIndex::Job* JobIndex::Find(std::string_view job) const {
  const auto found = m_jobs.find(ToAbsl(job));
  return found == m_jobs.end() ? nullptr : &found->second;
}

void JobIndex::ForEachJob(const std::function<void(const std::string& id, const Job& job)>& visit) const {
  for (const auto& [id, job] : m_jobs) visit(id, job);
}

void JobIndex::ClearSubmissions() {
  for (auto& [id, job] : m_jobs) {
    Count(job, -1);
    job.definition.clear();
    job.queue.clear();
    job.footprint = {};
    job.cancelled = false;
  }
  absl::erase_if(m_jobs, [](const auto& entry) { return IsEmpty(entry.second); });
}

void JobIndex::ClearProgress() {
  for (auto& [id, job] : m_jobs) {
    Count(job, -1);
    job.summary.reset();
    job.steps.clear();
    Count(job, 1);
  }
  absl::erase_if(m_jobs, [](const auto& entry) { return IsEmpty(entry.second); });
}

JobPhase JobIndex::PhaseOf(const Job& job) {
  // A job that ended before its cancellation keeps its end.
  if (job.summary && IsFinal(*job.summary)) return *job.summary;
  if (job.cancelled) return JobPhase::kCancelled;
  return job.summary.value_or(JobPhase::kQueued);
}

void JobIndex::Count(const Job& job, int change) {
  if (IsCancellationWithoutJob(job)) m_cancellations_without_job += static_cast<std::size_t>(change);
  if (job.definition.empty()) return;
  const JobPhase phase = PhaseOf(job);
  if (phase == JobPhase::kQueued) m_waiting[job.queue] += change;
  // Unsigned arithmetic wraps around, so that adding the complement subtracts.
  m_footprint_bytes +=
      static_cast<std::size_t>(change) * (IsFinal(phase) ? job.footprint.record : job.footprint.total());
}

bool JobIndex::IsEmpty(const Job& job) {
  return job.definition.empty() && !job.cancelled && !job.summary && job.steps.empty();
}

void JobIndex::EraseIfEmpty(std::string_view id) {
  const auto found = m_jobs.find(ToAbsl(id));
  if (IsEmpty(found->second)) m_jobs.erase(found);
}

}  // namespace berylgauge::workflow
