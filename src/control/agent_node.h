#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/monotonic_time.h"
#include "control/agent_messages.h"
#include "control/worker_announcement.h"
#include "control/worker_port.h"
#include "transport/event_loop.h"
#include "workflow/late_calls.h"
#include "workflow/pace_controller.h"

namespace berylgauge::control {

struct AgentNodeOptions {
  Incarnation incarnation = 0;  ///< random, not 0
  /// Longest wait of a call that lists what the worker runs. Shorter while pacing, because it reads half-second
  /// figures.
  absl::Duration hold_wait = absl::Milliseconds(1000);
  absl::Duration paced_hold_wait = absl::Milliseconds(500);
  /// Time allowed for an answer of the worker on the same host, beyond any wait.
  absl::Duration call_timeout = absl::Milliseconds(600);
  /// Pause between two lists while ends wait for their acknowledgement, or after a failed call.
  absl::Duration pending_pause = absl::Milliseconds(150);
  absl::Duration retry_pause = absl::Milliseconds(60);
  /// Calls that must find no listener in a row before the worker counts as gone.
  int refused_calls = 2;
  /// Pause between two calls to a worker that is gone, as long as a late call may matter.
  absl::Duration gone_pause = absl::Milliseconds(250);
  /// The whole list of runs is sent to the owner at most this often.
  absl::Duration runs_interval = absl::Milliseconds(900);
  /// A start that has no answer for this time is given up and left to the owner's stop. Half the platform's bound for
  /// cancellations, because the owner may have no way to tell this agent of one.
  absl::Duration start_limit = absl::Milliseconds(1500);
  /// A call without an answer is carried out within this time, or never: the platform delays calls by up to 12 s, and
  /// the rest is for the way.
  absl::Duration late_call_limit = absl::Seconds(13);
  /// Ends of a past life are reported for this long: until a new owner has claimed (under 3 s) and regards workers that
  /// it cannot reach as empty (9.2 s after that).
  absl::Duration past_ends_kept = absl::Seconds(15);
};

/// The logic of an agent: carries the owner's orders to its worker and the worker's lists to the owner.
///
/// Used on the loop's thread. It decides nothing about placement; it refuses orders of a former owner and starts on a
/// worker that drains.
class AgentNode {
 public:
  /// Nothing stands for "a newer owner has given orders".
  using WatchReply = absl::AnyInvocable<void(std::optional<WatchAnswer>)>;
  using OrdersReply = absl::AnyInvocable<void(std::optional<OrdersAnswer>)>;

  AgentNode(EventLoop& loop, WorkerPort& worker, MetricsRegistry& metrics, const AgentNodeOptions& options);
  ~AgentNode();

  // Commands.
  void OnAnnouncement(const WorkerAnnouncement& announcement);
  /// `life.born` is 0 if the worker did not say when its life began.
  void OnLeave(const workflow::WorkerLife& life);
  void OnWatch(const WatchRequest& request, WatchReply reply);
  void OnOrders(const OrdersRequest& request, OrdersReply reply);

  // Queries.
  std::int64_t epoch() const { return m_epoch; }
  /// When an owner asked last.
  MonotonicTime watched_at() const { return m_watched_at; }

 private:
  struct StartAttempt;
  struct StopAttempt;
  struct OrderBatch;
  using RunKey = std::pair<std::string, int>;  ///< task and run

  bool AdoptEpoch(std::int64_t epoch);
  void BeginLife(const WorkerAnnouncement& announcement);
  void SetCondition(workflow::WorkerCondition condition, const char* reason);
  void NoteChange();

  /// The worker has left once each call for its lists was answered or has failed.
  void EndLeave();

  void ScheduleHold(absl::Duration delay);
  void CallHold(const HoldCall& call, absl::AnyInvocable<void(Result<HoldAnswer>)> callback);
  void SendHold(bool is_regular);
  /// `number` is that of a regular call, else 0.
  void OnHold(Result<HoldAnswer> answer, const HoldCall& call, MonotonicTime sent_at, std::uint64_t number);
  void OnHoldFailure(const Failure& failure);
  /// The worker answered in another life than the announced one.
  void OnOtherLife(const HoldAnswer& answer);
  /// The worker at the address has another id.
  void OnOtherWorker();
  void ForgetUnconfirmedAnnouncement();
  void SetFence(const FencingTokens::Grant& fence);
  /// The announced life has answered a call with its fence token: nothing that was meant for a former life has an
  /// effect any more, and what such calls did before is in its lists.
  void ConfirmLife();
  void TakeLists(HoldAnswer answer);
  HoldCall MakeHoldCall() const;
  /// Ends that the worker forgot before this process has read them, told by their numbers.
  void LogSkippedEnds(const HoldAnswer& answer) const;
  void LogCutEnds(const HoldAnswer& answer) const;
  void LogPastLists(const HoldAnswer& answer, const workflow::WorkerLife& life) const;
  /// Lists of a life that has left or has a successor: the ends in them are reported all the same.
  void KeepPastLists(HoldAnswer answer, const workflow::WorkerLife& life);
  void KeepUnacknowledgedEnds();
  void KeepPastEnds(const workflow::WorkerLife& life, std::vector<workflow::RunEnd> ends);
  std::vector<workflow::PastEnds> PastEndsToReport();
  /// Number of the last end that the worker may forget. It goes on listing an end as done for as long as a call without
  /// an answer may begin the task again in its next life: once that end is noted, another start is one too many.
  std::int64_t NotableEnds() const;
  bool HasEndsToNote() const;

  void FlushWatch();
  WatchAnswer MakeWatchAnswer(const WatchRequest& request);

  /// Whether the worker has given its lists in the life that it announced, to a call with the present owner's token.
  /// Until then this process knows nothing of what runs there, and the announcement may be a delayed one of a former
  /// life.
  bool IsWorkerKnown() const { return m_announcement && m_lists && m_is_confirmed; }
  /// Whether the worker is in that life and has not gone, as far as is known.
  bool IsPresent(const workflow::WorkerLife& life) const;
  std::vector<workflow::ReportedLateCall> ReportedLateCalls() const;
  /// The present life has answered a call that was sent then: earlier calls that were too late by then have no effect
  /// but what its lists show.
  void ForgetLateCalls(MonotonicTime answered_call_sent_at);
  /// Calls a worker that is gone: if nothing listens there once a late call is too late, no life has carried it out.
  void CallGoneWorker();
  void OnGoneWorker(const Result<HoldAnswer>& answer, MonotonicTime sent_at);
  /// Whether nothing depends any more on what a call for that life, ordered in that epoch, achieves.
  bool IsOver(const workflow::WorkerLife& life, std::int64_t epoch) const;
  /// Why no further call of the start is made; `kNone` if one is. Where a call had no answer, the owner has to find out
  /// what became of it (`kEnded`, `kUnanswered`); otherwise the run certainly never begins.
  workflow::StartRefusal ReasonToGiveUp(const StartAttempt& attempt) const;

  void TryStart(std::shared_ptr<StartAttempt> attempt);
  void OnStart(std::shared_ptr<StartAttempt> attempt, Result<workflow::StartAnswer> answer);
  void FinishStart(StartAttempt& attempt, workflow::StartAnswer answer);
  void LogStartForFormerLife(const StartAttempt& attempt, const Result<workflow::StartAnswer>& answer) const;
  /// Ends the repeats of a start that is under way.
  void AbandonStart(const RunKey& run);
  void TryStop(std::shared_ptr<StopAttempt> attempt);
  void ResolveStop(std::shared_ptr<StopAttempt> attempt);
  void FinishStop(StopAttempt& attempt, bool end_listed);
  void FinishOne(OrderBatch& batch);

  std::vector<workflow::MeasuredRun> MeasuredRuns() const;
  void Pace();
  void PaceStarted(const StartCall& call, bool is_settled);
  void SendPace(const workflow::PaceChange& change);
  bool IsPacing() const;

  EventLoop& m_loop;
  WorkerPort& m_worker;
  const AgentNodeOptions m_options;

  std::int64_t m_epoch = 0;
  MonotonicTime m_watched_at = InfinitePast();
  std::optional<WorkerAnnouncement> m_announcement;  ///< newest of the present life
  workflow::WorkerCondition m_condition = workflow::WorkerCondition::kGone;
  std::int64_t m_fencing_token = 0;  ///< for calls to the announced life; 0 while no owner has given one
  std::int64_t m_fence_epoch = 0;    ///< of the owner that gave it
  bool m_is_confirmed = false;       ///< see `ConfirmLife`
  workflow::WorkerLife m_confirmed_life;
  MonotonicTime m_confirmed_at;       ///< when that life was confirmed first
  std::int64_t m_lease_end_ms = 0;    ///< granted, on the worker's clock
  std::int64_t m_acknowledged = 0;    ///< number of the last end that is durable
  std::int64_t m_notable = 0;         ///< number of the last end that the worker may forget, as the owner knows
  std::optional<HoldAnswer> m_lists;  ///< newest of the present life
  std::int64_t m_last_end = 0;        ///< highest number listed in the present life
  MonotonicTime m_begun_at;           ///< when this process began to make calls
  workflow::LateCalls m_late_calls;
  bool m_knows_former_calls = false;  ///< see `WorkerReport`
  absl::flat_hash_map<RunKey, std::weak_ptr<StartAttempt>> m_pending_starts;
  int m_refused_calls = 0;
  EventLoop::TimerId m_gone_timer;
  std::optional<MonotonicTime>
      m_gone_refused_at;  ///< when the last call to the gone worker was made, if it was refused

  struct KeptEnds {
    MonotonicTime kept_until;
    workflow::PastEnds past;
  };
  std::vector<KeptEnds> m_past_ends;  ///< oldest first

  std::uint64_t m_lives = 0;  ///< lives announced so far
  bool m_is_leaving = false;  ///< the present life has said that it leaves
  int m_holds_under_way = 0;  ///< calls for lists of the present life without an answer
  bool m_hold_sent = false;
  std::uint64_t m_hold_number = 0;  ///< of the newest regular call for lists
  EventLoop::TimerId m_hold_timer;
  MonotonicTime m_hold_at;

  std::uint64_t m_version = 1;
  std::optional<WatchRequest> m_watch;
  WatchReply m_watch_reply;
  EventLoop::TimerId m_watch_timer;
  bool m_flush_deferred = false;
  MonotonicTime m_runs_sent_at = InfinitePast();

  struct KnownTraits {
    TaskTraits traits;
    MonotonicTime told_at;  ///< when the owner named them last
  };
  absl::flat_hash_map<std::string, KnownTraits> m_traits;  ///< by task
  workflow::InterferenceTable m_interference;
  workflow::PaceController m_pace;
  std::shared_ptr<bool> m_alive;

  Counter& m_starts;
  Counter& m_refused_starts;
  Counter& m_ends;
  Counter& m_hold_failures;
  Counter& m_cut_lists;
  Counter& m_pace_changes;
};

}  // namespace berylgauge::control
