#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "schedule/attempt_key.h"
#include "schedule/failure_attribution.h"
#include "state/task_event.h"

namespace berylgauge {

class JobsState;

/// What one entry concludes about workers and jobs from the folded attempts of all shares, whoever owns them.
///
/// Every entry folds all shares, so a change of owner between entries that are up loses no evidence. A process that has
/// just started knows only what its streams hold after the snapshots, and counts delays from when it read that.
/// Not thread-safe.
class FailureMonitor {
 public:
  explicit FailureMonitor(WorkerQuarantineOptions quarantine = {}, JobBackoffOptions backoff = {});

  /// Takes in what was folded into a share since the last call for it.
  void Observe(int share, const JobsState& jobs, MonotonicTime now);

  /// Whether the worker could take attempts if it were not in quarantine. This entry hears that from its agent.
  void RecordAvailable(const WorkerId& worker, bool available);

  /// An owner in this entry has decided to place an attempt on the worker. Until the placement is folded, nothing else
  /// may be placed on a worker whose trial is due.
  void RecordDecided(const WorkerId& worker, MonotonicTime now);

  /// False for a worker in quarantine, unless a trial is due.
  bool MayPlace(const WorkerId& worker, MonotonicTime now) const;

  /// False while the job is delayed. Tasks of a parked job that are not parked themselves are tried again at the
  /// longest delay, because the task that failed most may be running for hours.
  bool MayRetry(const JobId& job, MonotonicTime now) const;

  /// True if the job is to be parked and no other task of it has failed more often. The other tasks go on once the
  /// parked ones are out of the evidence, because a task that never failed may succeed.
  bool ShouldPark(const JobId& job, const TaskId& task, MonotonicTime now) const;

  /// The failures of the job that led to its delay, for the operator.
  std::string DescribeEvidence(const JobId& job) const;

 private:
  void Apply(const TaskEvent& event, MonotonicTime now);
  void ApplyPlaced(const TaskEvent& event, MonotonicTime now);
  void ApplyEnded(const JobId& job, const TaskEvent& event, MonotonicTime now);

  /// Extent of the quarantine among the available workers.
  QuarantineExtent Extent() const;
  QuarantineState StateOf(const WorkerId& worker, MonotonicTime now) const;

  const absl::Duration m_longest_delay;
  FailureAttribution m_attribution;
  std::map<int, Offset> m_seen;  ///< offset observed last, by share
  absl::flat_hash_set<WorkerId> m_available;
  mutable std::optional<QuarantineExtent> m_extent;    ///< nothing if it has to be counted again
  absl::flat_hash_map<WorkerId, AttemptKey> m_trials;  ///< attempt that is the trial of a worker in quarantine
  absl::flat_hash_map<WorkerId, MonotonicTime> m_trial_decided;  ///< not folded yet
};

}  // namespace berylgauge
