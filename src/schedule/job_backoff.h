#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "schedule/attempt_key.h"

namespace berylgauge {

struct JobBackoffOptions {
  std::size_t delay_workers = 2;  ///< good workers that must have failed the job before it is delayed
  std::size_t park_workers = 3;   ///< good workers that must have failed the job before it is parked
  std::size_t park_failures = 6;  ///< failures on good workers before it is parked
  /// Failures of one task after which the job is delayed although fewer workers were involved, as on a site where only
  /// one worker can run it.
  std::size_t delay_failures = 3;
  absl::Duration first_delay = absl::Seconds(10);  ///< doubles with each further failure
  absl::Duration longest_delay = absl::Minutes(30);
};

enum class JobBackoffState {
  kReady,
  kDelayed,  ///< waits until `RetryAt`
  kParked,   ///< waits for an operator
};

inline constexpr auto kJobBackoffStateNames = MakeEnumNames<JobBackoffState>({
    {JobBackoffState::kReady, "ready"},
    {JobBackoffState::kDelayed, "delayed"},
    {JobBackoffState::kParked, "parked"},
});

/// One failure of a job, as evidence for the operator.
struct JobFailure {
  AttemptKey key;
  WorkerId worker;
  std::string detail;
  MonotonicTime at;
};

/// Delays jobs that fail on several good workers, and parks them in the end.
class JobBackoff {
 public:
  explicit JobBackoff(JobBackoffOptions options = {});

  /// An attempt of the job failed by itself on a worker that is not known to be at fault.
  void RecordFailure(const JobId& job, JobFailure failure);

  /// A task of the job succeeded, or a service replica has become ready. Only the failures of that task are dropped,
  /// or the other tasks of the job would hide one that always fails.
  void RecordSuccess(const JobId& job, const TaskId& task);

  /// The worker fails everything, so its failures are no evidence against jobs. Jobs delayed or parked because of it
  /// become ready again.
  void DiscountWorker(const WorkerId& worker);

  /// The operator lets the job run again, or it is gone.
  void Forget(const JobId& job);

  JobBackoffState StateOf(const JobId& job, MonotonicTime now) const;
  /// When the job may be tried again; infinite if it is parked.
  MonotonicTime RetryAt(const JobId& job) const;
  /// True once the job has failed on several good workers.
  bool IsSuspect(const JobId& job) const;
  /// Different good workers on which tasks of the job have failed that have not succeeded since.
  std::size_t FailedWorkers(const JobId& job) const;
  std::vector<JobFailure> Evidence(const JobId& job) const;

 private:
  struct Record {
    std::vector<JobFailure> failures;
  };

  static std::size_t CountWorkers(const Record& record);
  static std::size_t MostFailuresOfOneTask(const Record& record);
  bool IsParked(const Record& record) const;

  JobBackoffOptions m_options;
  absl::flat_hash_map<JobId, Record> m_records;  ///< of jobs with failures
};

}  // namespace berylgauge
