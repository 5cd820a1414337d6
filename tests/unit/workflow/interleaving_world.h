#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "workflow/job_index.h"
#include "workflow/late_calls.h"
#include "workflow/owner_record.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {

/// What is broken on purpose, so that the checks can be shown to notice it.
enum class Breakage {
  kNone,
  kAcknowledgeBeforeDurable,  ///< workers forget ends whose records are not stored
  kStartBeforeDurable,        ///< starts are sent before their placement is stored
  kNoWaitForFormerOwner,      ///< a new owner takes workers that it cannot reach for empty
  kRefusalIsFinal,            ///< a start without an answer counts as refused
  kLeaseTooShort,             ///< the owner takes leases for shorter than they are
  kUnknownIsOtherLife,        ///< an agent that was started again says that it does not know the worker's life
  kTokenOfOwnerOnly,          ///< tokens do not tell the lives of a worker apart
  kAcknowledgeFormerLife,     ///< calls to a life carry the last end that was noted in the former one
  kOrdersBeforeFirstList,     ///< a life gets orders before it has answered a call
  kCutListIsWhole,            ///< a run counts as absent although its end may stand behind those that are listed
  kForgetReadEnds,            ///< agents forget the ends of a worker that has left
  kGoneAtOnce,                ///< agents do not wait for the lists that a worker has sent before it left
  kGangEndIsBroken,           ///< the end of a gang as done is taken for that of a broken one
  kGangInParts,               ///< one member of each gang is not started
  kNoFormerLeases,            ///< the owner takes every lease for one that was granted to the present life
  kNoLateCalls,               ///< the owner takes calls without an answer for calls without an effect
  kNoteAtOnce,                ///< workers forget ends as done while a late call may begin the task again
  kEndOfRecordedOwnerIsAll,   ///< when the recorded owner has ended, no owner before it counts as granting
};

/// How late calls are carried out in a world, with the time that an agent adds for the way.
inline constexpr absl::Duration kLateCalls = absl::Milliseconds(6200);

/// Which faults a world has.
enum class WorldFaults {
  kMixed,            ///< all, in any order
  kRestartsAndCuts,  ///< long tasks, and workers that start again and are cut off while owners are lost
};

/// An owner, its successors, agents and workers with the platform's rules, under faults at random: cuts, restarts, lost
/// owners, lost batches, agents and workers that are started again, workers that leave, lists of ends that are cut,
/// calls that are carried out seconds late or by the next life of a worker, clocks that are slow.
///
/// Each step lasts 100 ms. Everything follows from the seed.
class InterleavingWorld {
 public:
  InterleavingWorld(std::uint64_t seed, WorldFaults faults, Breakage breakage);

  /// One step with a fault or an event.
  void Step();
  /// Ends all faults and runs until everything should be done.
  void Heal();

  /// What must never happen, in words; empty if nothing did.
  const std::vector<std::string>& violations() const { return m_violations; }
  int runs_done() const { return m_runs_done; }
  int takeovers() const { return m_takeovers; }
  /// Takeovers from an owner that has ended while one before it still granted leases.
  int hidden_owners() const { return m_hidden_owners; }
  int late_starts() const { return m_late_starts; }
  int repeated_starts() const { return m_repeated_starts; }
  /// Starts for a life that the next life of the worker carried out.
  int strayed_starts() const { return m_strayed_starts; }
  /// Those among them of which the run had been given up, or had ended, in the former life.
  int revived_runs() const { return m_revived_runs; }
  /// Reports with a list of ends that was cut.
  int cut_lists() const { return m_cut_lists; }
  /// Ends as done that a worker listed just before it left.
  int past_ends() const { return m_past_ends; }
  /// Leaves of which the last lists, with an end that the agent did not know, came after the message of leaving.
  int late_lists() const { return m_late_lists; }
  /// Gangs that ended as done with one end.
  int single_gang_ends() const { return m_single_gang_ends; }

 private:
  /// Fencing token of a call.
  struct Token {
    std::int64_t epoch = 0;   ///< of the owner
    std::int64_t number = 0;  ///< of the life under that owner

    friend bool operator<(const Token& a, const Token& b) {
      return a.epoch != b.epoch ? a.epoch < b.epoch : a.number < b.number;
    }
  };
  /// Part that all calls to a worker have.
  struct Call {
    WorkerLife life;  ///< for which it is meant; the worker sees its id only
    Token token;
  };
  struct HoldCall {
    Call call;
    std::int64_t last_seen = 0;
    std::int64_t until_ms = 0;
  };
  struct DelayedCall {
    MonotonicTime carried_out_at;
    std::function<void()> carry_out;
  };
  /// Ends of a life that is over, which its agent reports for a while.
  struct KeptEnds {
    PastEnds past;
    MonotonicTime kept_until;
  };
  /// What an agent knows of the worker beside it.
  struct Agent {
    Incarnation incarnation = 1;
    MonotonicTime begun_at;  ///< when its process was started
    LateCalls late_calls;
    bool knows_former_calls = false;
    std::int64_t epoch = 0;                         ///< of the owner that it follows
    WorkerLife life;                                ///< announced last; empty if none since the agent was started
    bool is_confirmed = false;                      ///< the life has answered a call with its token under that owner
    MonotonicTime confirmed_at = InfiniteFuture();  ///< when it did so first, under any owner
    bool is_other = false;                          ///< an answer came from another life
    bool is_gone = false;                           ///< connections were refused
    std::int64_t last_seen = 0;
    std::int64_t until_ms = 0;
    std::set<std::pair<std::string, int>> unanswered;  ///< starts with a call without an answer
    std::vector<RunEnd> read_ends;                     ///< as the life has listed them last
    bool is_leaving = false;                           ///< has left, but its last lists are still on the way
    std::vector<RunEnd> last_ends;                     ///< in these lists
    MonotonicTime last_ends_at;                        ///< when they arrive
    WorkerReport last_report;                          ///< with lists
    std::vector<KeptEnds> kept_ends;                   ///< of former lives
    /// Tasks done by ends that were listed before a leave, not recorded yet, with no fault of the agent since.
    std::set<std::string> listed_done;
    std::set<std::string> passed_on;  ///< of these, those that the agent has told an owner
  };
  struct Worker {
    std::string host;
    Agent agent;
    WorkerLife life;
    bool is_up = true;
    bool has_left = false;  ///< in a planned way; the next worker has another id
    MonotonicTime left_at;  ///< last
    MonotonicTime born_at;  ///< if it is down, of its next life
    std::int64_t first_clock_ms = 0;
    double clock_rate = 1;
    Resources capacity = {.cpu_millis = 4000, .memory_mb = 8000};
    MonotonicTime cut_until;
    MonotonicTime announced_at;        ///< when the agent hears of the present life
    MonotonicTime former_owner_until;  ///< a former owner still grants leases until then
    std::int64_t former_epoch = 0;
    Token highest_token;
    bool has_own_token = false;  ///< a call that was meant for this life was carried out
    MonotonicTime reported_at;   ///< last, to any owner
    std::int64_t lease_end_ms = 0;
    std::map<std::string, int> runs;
    std::map<std::string, MonotonicTime> begun;
    std::map<std::string, int> settled;  ///< highest run that was stopped or ended here
    std::vector<RunEnd> ends;
    std::set<std::int64_t> repeated_ends;  ///< numbers of ends whose task began again elsewhere
    std::int64_t last_end = 0;
    std::int64_t void_ends =
        0;  ///< ends up to this number were not noted before the lease lapsed, so they do not count
    bool has_had_token = false;  ///< a former life had a token of its own
  };
  /// A start whose agent has no answer and gives up after a while.
  struct UnansweredStart {
    StartOrder order;
    std::int64_t until_ms = 0;
    MonotonicTime given_up_at;
    bool is_repeated = false;  ///< the agent was started again, so the owner sends the order anew
  };

  void Tick();
  void RandomEvent();
  void SubmitJob();
  void CancelJob();
  void EndRun(RunEndKind kind);
  /// Ends as done whatever has run for that time.
  void EndRunsAfter(absl::Duration work);
  void EndAsDone(Worker& worker, const std::string& task);
  /// Members that wait too long for the other one, and members whose other one has ended.
  void PlayGangs();
  /// Another process takes over from an owner that is cut off, and that some agents still follow.
  void ReplaceOwner();
  /// The owner's process ends, and another one takes over; owners before it may grant on.
  void RestartOwner();
  void TakeOver(bool has_ended);
  void RestartWorker();
  void LeaveWorker();
  void RestartAgent();
  void CutWorker();
  /// A worker starts again while calls to it have no answer, and is cut off just before or soon after; the owner may be
  /// lost near that.
  void RestartAndCutWorker();

  // Agents.
  void Hear(Worker& worker, std::int64_t epoch);
  Token TokenFor(const Worker& worker, std::int64_t epoch);
  void TakeTurn(Worker& worker);
  void TakeTurnForFormerOwner(Worker& worker);
  /// The last lists of a worker that has left arrive.
  void EndLeave(Worker& worker);
  void Confirm(Worker& worker) const;
  void FollowOwner(Agent& agent, std::int64_t epoch) const;
  void Report(Worker& worker, WorkerCondition condition);
  /// Says only that the agent has no lists from a worker that lives, and which ends it has read.
  void ReportPastEnds(Worker& worker);
  std::vector<PastEnds> PastEndsOf(Agent& agent) const;
  StartAnswer CallStart(Worker& worker, const StartOrder& order, std::int64_t until_ms);
  bool CallStop(Worker& worker, const StopOrder& order);
  /// Number of the last end that the worker may forget, as the agent knows.
  std::int64_t NotableEnds(const Agent& agent) const;
  void ReportLateCalls(const Agent& agent, WorkerReport& report) const;
  /// What a worker had listed when it left counts as noted, unless a fault keeps its agent from passing it on.
  void NotePastEnds(Worker& worker);
  static void UnnotePastEnds(Worker& worker);
  /// Whether the store has the task as done.
  bool IsRecordedDone(const std::string& task) const;
  /// What the worker lists at a time.
  std::vector<RunEnd> ListedEnds(const Worker& worker) const;
  /// Whether the worker lists all its ends at a time.
  bool ListsAllEnds(const Worker& worker) const;
  /// Whether the worker's lists show the end of the run, or may do so once earlier ends are acknowledged.
  bool IsEndListed(const Worker& worker, const StopOrder& order) const;
  /// Whether the agent may call the worker for that life.
  bool IsPresent(const Worker& worker, const WorkerLife& life) const {
    return worker.agent.life == life && worker.agent.is_confirmed && !worker.agent.is_other;
  }

  /// Whether a call for that life, with an effect, arrives. A connection ends with the life that it was opened to, and
  /// the first call on the next one has no effect and shows the next life.
  static bool IsReached(const Worker& worker, const WorkerLife& life) { return worker.life == life; }

  // Workers.
  void Die(Worker& worker);
  void GiveBirth(Worker& worker);
  /// Whether the worker carries the call out.
  bool Admit(Worker& worker, const Call& call);
  bool CarryOutHold(Worker& worker, const HoldCall& hold);
  void CarryOutStop(Worker& worker, const Call& call, const std::string& task, int run);
  /// What the worker does with a start; says whether the task runs.
  bool Begin(Worker& worker, const Call& call, const StartOrder& order, std::int64_t until_ms);
  void CheckBegin(const std::string& task);
  bool IsNoted(const std::string& unit) const;
  void ExtendLease(Worker& worker, std::int64_t until_ms);
  /// The worker forgets its ends up to that number.
  void Acknowledge(Worker& worker, std::int64_t number);
  void Lapse(Worker& worker);
  void LapseRuns(Worker& worker);
  void ListEnd(Worker& worker, const std::string& task, RunEndKind kind);

  // Messages that are late or lost.
  void CallAt(MonotonicTime at, std::function<void()> carry_out);
  void CallLate(std::function<void()> carry_out);
  void CallStartLate(Worker& worker, const StartOrder& order, std::int64_t until_ms);
  void CarryOutLateCalls();

  // The owner's messages.
  void GiveUpStarts();
  void RepeatStart(const UnansweredStart& start);
  void DeliverStops();
  void StoreBatch();
  void Send(const StartOrder& order);

  bool IsConnected(const Worker& worker) const { return m_now >= worker.cut_until; }
  std::int64_t ClockOf(const Worker& worker) const;
  Worker& At(const std::string& host);
  Worker& AnyWorker();
  int Random(int below) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(below)); }
  /// Says yes once in so many times while there are faults.
  bool IsFault(int once_in) { return !m_healed && Random(once_in) == 0; }
  SchedulerOptions Options() const;
  bool IsSoleOwner() const { return m_owner_record.is_sole || m_now - m_claimed_at > m_former_owner_grants; }

  std::mt19937_64 m_random;
  const WorldFaults m_faults;
  const Breakage m_breakage;
  MonotonicTime m_next_restart;
  MonotonicTime m_now{absl::Hours(1)};
  JobIndex m_index;
  std::unique_ptr<Scheduler> m_scheduler;
  const bool m_has_few_events;  ///< so that runs and owners outlast leases
  MonotonicTime m_claimed_at;
  MonotonicTime m_owner_ends_at = InfiniteFuture();
  absl::Duration m_former_owner_grants;  ///< as the present owner reckons
  OwnerRecord m_owner_record;            ///< as stored last
  std::int64_t m_epoch = 1;
  std::vector<Worker> m_workers;
  /// Last life at a host that an owner, by its epoch, has given a number.
  std::map<std::pair<std::string, std::int64_t>, std::pair<WorkerLife, std::int64_t>> m_numbers;
  std::vector<DelayedCall> m_late;
  std::vector<UnansweredStart> m_unanswered;
  std::vector<StopOrder> m_stops;
  std::set<std::string> m_jobs;
  std::set<std::string> m_cancelled;
  std::set<std::string> m_done_tasks;                      ///< ended as done at a worker
  std::set<std::string> m_noted_units;                     ///< tasks and gangs with an end as done that was noted
  std::set<std::pair<std::string, int>> m_complete_gangs;  ///< runs of gangs whose members were all present at once
  MonotonicTime m_healed_at = InfiniteFuture();
  std::int64_t m_next_born = 1'700'000'000'000;
  int m_next_id = 0;
  int m_lost_answers = 0;  ///< so many of the next starts have no answer
  bool m_lose_batch = false;
  bool m_healed = false;
  int m_runs_done = 0;
  int m_takeovers = 0;
  int m_hidden_owners = 0;
  int m_late_starts = 0;
  int m_repeated_starts = 0;
  int m_strayed_starts = 0;
  int m_revived_runs = 0;
  int m_cut_lists = 0;
  int m_past_ends = 0;
  int m_late_lists = 0;
  int m_single_gang_ends = 0;
  std::vector<std::string> m_violations;
};

}  // namespace berylgauge::workflow
