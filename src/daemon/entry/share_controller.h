#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "daemon/entry/attempt_schedule.h"
#include "daemon/entry/share_decisions.h"
#include "daemon/entry/share_inputs.h"
#include "daemon/entry/share_usage.h"
#include "schedule/attempt_key.h"
#include "schedule/pending_queue.h"
#include "state/job.h"

namespace berylgauge {

class FailureMonitor;
class Placer;
struct TaskEvent;

/// Identity of an entry and the times of its rights as owner of a share.
struct ShareControllerOptions {
  EntryId entry;
  Incarnation incarnation = 0;
  int share = 0;
  absl::Duration share_lease = absl::Seconds(4);
  absl::Duration task_lease = absl::Seconds(30);
  absl::Duration worker_silent = absl::Seconds(10);
  absl::Duration outage_grace = absl::Milliseconds(3'900'000);
  absl::Duration start_repeat = absl::Seconds(1);  ///< a start command without effect is sent again after this
  absl::Duration stop_repeat = absl::Seconds(5);
  absl::Duration handover_after = absl::Seconds(5);  ///< another entry must be preferred for this long
};

/// Decisions of an entry about one share of the jobs: claim it, place its tasks, follow their attempts.
///
/// Pure: the caller appends the records, waits until they have been folded, and then sends the messages. Holds nothing
/// that the log does not, but for times and repeats, so that a new owner goes on where the former one was. What is
/// known of faulty workers and jobs is in the `FailureMonitor` of the entry.
class ShareController {
 public:
  ShareController(ShareControllerOptions options, Placer& placer, FailureMonitor& failures);

  /// Decides about ownership and, as owner, about all tasks. Call it again when the records were folded.
  ShareDecisions Step(const ShareInputs& inputs, MonotonicTime now, absl::BitGenRef random);

  /// True if the state says that this process owns the share.
  bool IsOwner(const JobsState& jobs) const;

  /// Why a waiting task was not placed; empty if it was not considered yet.
  std::string WaitReason(const TaskId& task) const;

 private:
  struct AttemptTimes {
    MonotonicTime next_start = InfinitePast();
    MonotonicTime next_stop = InfinitePast();
  };

  void DecideOwnership(const ShareInputs& inputs, MonotonicTime now, ShareDecisions& decisions);
  bool MayClaim(const ShareInputs& inputs) const;
  void StepAsOwner(const ShareInputs& inputs, MonotonicTime now, absl::BitGenRef random, ShareDecisions& decisions);

  void UpdateIndexes(const ShareInputs& inputs, MonotonicTime now);
  void RebuildIndexes(const ShareInputs& inputs, MonotonicTime now);
  void ApplyEvent(const ShareInputs& inputs, const TaskEvent& event, MonotonicTime now);
  void Enqueue(const ShareInputs& inputs, const TaskId& id, MonotonicTime now);

  void HandleAnswers(const ShareInputs& inputs, MonotonicTime now, ShareDecisions& decisions);
  void HandleHeartbeat(const ShareInputs& inputs, const Heartbeat& heartbeat, MonotonicTime now,
                       ShareDecisions& decisions);
  void HandleCleared(const ShareInputs& inputs, const Heartbeat& heartbeat, ShareDecisions& decisions) const;
  void HandleRunning(const ShareInputs& inputs, const Heartbeat& heartbeat, const RunningAttemptReport& running,
                     MonotonicTime now, ShareDecisions& decisions);
  void HandleMissing(const ShareInputs& inputs, const Heartbeat& heartbeat, const std::set<AttemptKey>& listed,
                     ShareDecisions& decisions);
  void FollowAttempts(const ShareInputs& inputs, MonotonicTime now, ShareDecisions& decisions);
  void FollowWorkers(const ShareInputs& inputs, MonotonicTime now);
  absl::Duration SilenceOf(const ShareInputs& inputs, const WorkerId& worker, MonotonicTime now) const;
  /// Returns when the attempt has to be looked at again if nothing happens to it or its worker.
  MonotonicTime FollowAttempt(const ShareInputs& inputs, const TaskId& id, const Job& job, const Task& task,
                              MonotonicTime now, ShareDecisions& decisions);
  MonotonicTime StopAttempt(const ShareInputs& inputs, const AttemptKey& key, const Job& job, const Task& task,
                            MonotonicTime now, ShareDecisions& decisions);
  void FollowSilentWorker(const ShareInputs& inputs, const TaskId& id, const Job& job, const Task& task,
                          MonotonicTime now, ShareDecisions& decisions);
  static void Revoke(const WorkerId& worker, ShareDecisions& decisions);
  bool TakeEvictionToken(const ShareInputs& inputs, MonotonicTime now);
  void PlaceWaiting(const ShareInputs& inputs, MonotonicTime now, absl::BitGenRef random, ShareDecisions& decisions);
  /// Returns when the task has to be considered again unless it was placed by then.
  MonotonicTime PlaceTask(const ShareInputs& inputs, const PlacementRequest& request, MonotonicTime now,
                          absl::BitGenRef random, ShareDecisions& decisions);
  bool HoldBackFailing(const TaskId& id, MonotonicTime now, ShareDecisions& decisions);

  void End(const TaskId& id, const Task& task, AttemptOutcome outcome, std::string checkpoint, std::string detail,
           ShareDecisions& decisions);
  StartCommand MakeStart(const ShareInputs& inputs, const TaskId& id, const Job& job, const Task& task) const;
  AttemptTerms TermsOf(const Job& job) const;
  absl::Duration GraceOf(const Job& job) const;

  const ShareControllerOptions m_options;
  Placer& m_placer;
  FailureMonitor& m_failures;
  ShareUsage m_usage;
  ShareEpoch m_epoch = 0;  ///< of the state in the present step
  std::optional<MonotonicTime> m_owner_since;
  std::optional<MonotonicTime> m_other_preferred_since;
  std::set<AttemptKey> m_ended;  ///< ended in the present step

  // Indexes of the share, kept only while this entry owns it.
  std::optional<Offset> m_indexed;  ///< up to where events are contained; nothing if the indexes have to be built
  ShareEpoch m_indexed_epoch = 0;
  Offset m_indexed_config = kNoOffset;
  AttemptSchedule m_schedule;
  PendingQueue m_queue;

  std::map<AttemptKey, AttemptTimes> m_times;
  std::map<std::pair<AttemptKey, Incarnation>, MonotonicTime> m_terms_sent;
  std::map<std::pair<WorkerId, Offset>, MonotonicTime> m_revoked_since;
  std::map<TaskId, std::string> m_wait_reasons;
  double m_start_tokens = 0;
  MonotonicTime m_start_tokens_at = InfinitePast();
  double m_eviction_tokens = 0;
  MonotonicTime m_eviction_tokens_at = InfinitePast();
};

}  // namespace berylgauge
