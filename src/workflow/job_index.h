#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "workflow/job_footprint.h"
#include "workflow/job_phase.h"
#include "workflow/owner_record.h"

namespace berylgauge::workflow {

/// The newest records of all jobs, folded from the two partitions of the work topic.
///
/// Each entry keeps one: it answers clients from it, and the next owner starts from it. Records may be applied again
/// and out of order between the partitions; within a partition the last one counts.
class JobIndex {
 public:
  struct Job {
    std::string definition;  ///< encoded; empty while only progress was read
    std::string queue;
    JobFootprint footprint;                               ///< while there is a definition
    bool cancelled = false;                               ///< also of a job that is not stored
    std::optional<JobPhase> summary;                      ///< of the owner; none before the first start
    absl::flat_hash_map<std::string, std::string> steps;  ///< encoded progress by step name
  };

  /// Applies a record of the submissions partition; an empty value removes the key.
  void ApplySubmission(std::string_view key, std::string_view value);

  /// Applies a record of the progress partition; an empty value removes the key.
  void ApplyProgress(std::string_view key, std::string_view value);

  /// Nothing for an unknown job.
  std::optional<JobPhase> PhaseOf(std::string_view job) const;

  /// Jobs of a queue of which no task has started.
  int WaitingIn(std::string_view queue) const;

  /// The owner as of the last record read; epoch 0 before the first claim.
  const OwnerRecord& owner() const { return m_owner; }

  const Job* Find(std::string_view job) const;
  void ForEachJob(const std::function<void(const std::string& id, const Job& job)>& visit) const;
  std::size_t size() const { return m_jobs.size(); }
  /// Cancellations of jobs that are not stored.
  std::size_t cancellations_without_job() const { return m_cancellations_without_job; }
  /// Estimated memory of all stored jobs, in an entry that schedules them.
  std::size_t footprint_bytes() const { return m_footprint_bytes; }
  std::uint64_t corrupt_records() const { return m_corrupt_records; }

  /// Forget what one partition said, before its newest records are applied again: keys that were removed meanwhile are
  /// not among them. The owner stays known, because its record is never removed.
  void ClearSubmissions();
  void ClearProgress();

 private:
  static JobPhase PhaseOf(const Job& job);
  /// Adds a job to the counts (`change` 1), or takes it out of them (-1) before it changes.
  void Count(const Job& job, int change);
  static bool IsCancellationWithoutJob(const Job& job) { return job.cancelled && job.definition.empty(); }
  static bool IsEmpty(const Job& job);
  void EraseIfEmpty(std::string_view id);

  absl::flat_hash_map<std::string, Job> m_jobs;
  absl::flat_hash_map<std::string, int> m_waiting;  ///< by queue
  OwnerRecord m_owner;
  std::size_t m_cancellations_without_job = 0;
  std::size_t m_footprint_bytes = 0;
  std::uint64_t m_corrupt_records = 0;
};

}  // namespace berylgauge::workflow
