#pragma once

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "schedule/job_backoff.h"
#include "schedule/worker_quarantine.h"

namespace berylgauge {

/// What a failed attempt is evidence against.
enum class FailureSuspect {
  kUndecided,  ///< counts against both until one of them stands out
  kJob,        ///< the job has failed on several good workers
  kWorker,     ///< the worker has failed several different jobs
};

inline constexpr auto kFailureSuspectNames = MakeEnumNames<FailureSuspect>({
    {FailureSuspect::kUndecided, "undecided"},
    {FailureSuspect::kJob, "job"},
    {FailureSuspect::kWorker, "worker"},
});

/// Tells faulty jobs and faulty workers apart and keeps `WorkerQuarantine` and `JobBackoff` consistent.
///
/// A failure counts against both sides first. Once the job has failed on several good workers, all its failures stop
/// counting against workers; once the worker is taken out, all its failures stop counting against jobs.
class FailureAttribution {
 public:
  explicit FailureAttribution(WorkerQuarantineOptions quarantine = {}, JobBackoffOptions backoff = {});

  /// `extent` is that of the workers in quarantine at present.
  FailureSuspect RecordFailure(const JobId& job, const JobFailure& failure,
                               QuarantineExtent extent = QuarantineExtent::kFew);
  void RecordSuccess(const JobId& job, const TaskId& task, const WorkerId& worker);

  WorkerQuarantine& quarantine() { return m_quarantine; }
  const WorkerQuarantine& quarantine() const { return m_quarantine; }
  JobBackoff& backoff() { return m_backoff; }
  const JobBackoff& backoff() const { return m_backoff; }

 private:
  WorkerQuarantine m_quarantine;
  JobBackoff m_backoff;
};

}  // namespace berylgauge
