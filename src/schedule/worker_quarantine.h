#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstddef>
#include <set>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"

namespace berylgauge {

struct WorkerQuarantineOptions {
  /// Different jobs that must fail in a row. One job alone never suffices, because the job may be at fault.
  std::size_t failed_jobs = 3;
  absl::Duration first_pause = absl::Minutes(1);  ///< until the first trial; doubles with each failed trial
  absl::Duration longest_pause = absl::Minutes(30);
  /// Longest pause while most workers are out. Their failures then probably have a common cause, which may end for all
  /// of them at any time.
  absl::Duration most_out_pause = absl::Seconds(1);
  /// A trial without a result for this long no longer keeps other attempts from the worker.
  absl::Duration longest_trial = absl::InfiniteDuration();
};

/// How many of the workers that may take the same work are out.
enum class QuarantineExtent {
  kFew,
  kMost,  ///< more than half
};

inline constexpr auto kQuarantineExtentNames = MakeEnumNames<QuarantineExtent>({
    {QuarantineExtent::kFew, "few"},
    {QuarantineExtent::kMost, "most"},
});

/// The extent if `out` of `workers` are out.
QuarantineExtent QuarantineExtentOf(std::size_t out, std::size_t workers);

enum class QuarantineState {
  kOpen,
  kQuarantined,
  kTrialDue,      ///< one attempt may be placed
  kTrialRunning,  ///< that attempt was placed; nothing else may be before `longest_trial`
};

inline constexpr auto kQuarantineStateNames = MakeEnumNames<QuarantineState>({
    {QuarantineState::kOpen, "open"},
    {QuarantineState::kQuarantined, "quarantined"},
    {QuarantineState::kTrialDue, "trial-due"},
    {QuarantineState::kTrialRunning, "trial-running"},
});

/// Takes workers out that fail everything, and lets them back in by trial.
///
/// A worker is taken out when `failed_jobs` different jobs failed on it without a success in between.
class WorkerQuarantine {
 public:
  explicit WorkerQuarantine(WorkerQuarantineOptions options = {});

  /// An attempt failed by itself; stops, evictions and lost workers are no failures. Returns true if the worker is
  /// taken out by this, or stays out because its trial failed. A trial that fails while most workers are out says
  /// little about this one, so its pause doubles only for `kFew`.
  bool RecordFailure(const WorkerId& worker, const JobId& job, MonotonicTime now,
                     QuarantineExtent extent = QuarantineExtent::kFew);

  /// An attempt succeeded, or a service replica has become ready. Returns true if this ends a quarantine.
  bool RecordSuccess(const WorkerId& worker);

  /// An attempt was placed on the worker; in quarantine it is a trial.
  void RecordPlaced(const WorkerId& worker, MonotonicTime now);

  /// The trial ended without a result, for example because it was cancelled; another one may be placed.
  void RecordTrialAborted(const WorkerId& worker);

  /// The job fails everywhere, so its failures are no evidence against workers. Workers that were taken out because of
  /// it are let back in.
  void DiscountJob(const JobId& job);

  /// The worker is gone or was replaced.
  void Forget(const WorkerId& worker);

  QuarantineState StateOf(const WorkerId& worker, MonotonicTime now,
                          QuarantineExtent extent = QuarantineExtent::kFew) const;
  bool MayPlace(const WorkerId& worker, MonotonicTime now, QuarantineExtent extent = QuarantineExtent::kFew) const;
  /// How many of the workers are out.
  std::size_t CountOut(const absl::flat_hash_set<WorkerId>& workers) const;
  /// When the worker was taken out; `InfiniteFuture()` if it is not out.
  MonotonicTime OutSince(const WorkerId& worker) const;
  /// When the next attempt may be placed on a worker to which none may be now; `InfiniteFuture()` for any other.
  MonotonicTime TrialAt(const WorkerId& worker, MonotonicTime now,
                        QuarantineExtent extent = QuarantineExtent::kFew) const;
  /// Jobs that failed on the worker since its last success.
  std::vector<JobId> Evidence(const WorkerId& worker) const;

 private:
  struct Record {
    std::set<JobId> failed_jobs;
    bool quarantined = false;
    bool trial_running = false;
    MonotonicTime out_since;
    MonotonicTime paused_since;  ///< last failure that counted
    absl::Duration pause = absl::ZeroDuration();
    MonotonicTime trial_since;
  };

  /// When the next trial of a worker that is out may begin.
  MonotonicTime NextTrial(const Record& record, QuarantineExtent extent) const;

  WorkerQuarantineOptions m_options;
  absl::flat_hash_map<WorkerId, Record> m_records;  ///< of workers with failures since their last success
};

}  // namespace berylgauge
