#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "schedule/worker_quarantine.h"
#include "workflow/interference_model.h"
#include "workflow/job_index.h"
#include "workflow/lasting_shares.h"
#include "workflow/lasting_step_state.h"
#include "workflow/late_calls.h"
#include "workflow/locality_history.h"
#include "workflow/locality_policy.h"
#include "workflow/orders.h"
#include "workflow/placement_policy.h"
#include "workflow/quarantine_filter.h"
#include "workflow/rack_outlook.h"
#include "workflow/readmission_reason.h"
#include "workflow/room_hold.h"
#include "workflow/room_planner.h"
#include "workflow/run_loss.h"
#include "workflow/worker_pool.h"
#include "workflow/worker_report.h"
#include "workflow/workflow_job.h"

namespace berylgauge::workflow {

struct SchedulerOptions {
  /// Length of the lease that is granted from each reading of a worker's clock. Shorter than the platform's longest
  /// lease (6 s at the smaller sites) and than the time after which a lasting task must run again (6 s).
  absl::Duration lease = absl::Milliseconds(4500);
  /// Length to which the platform shortens longer leases. A call for a worker's former life may give the next one a
  /// lease of that length, because it names a time on the former clock.
  absl::Duration longest_lease = absl::Seconds(10);
  /// A call to a worker that has no answer is carried out within this time of its order, or never. The platform delays
  /// calls by up to 12 s, and an agent repeats a start for 1.5 s; the rest is for the way.
  absl::Duration late_call_limit = absl::Seconds(15);
  /// A start without an answer is ordered again up to so many times, for 1.5 s each. Giving up costs a wait of 13 s,
  /// until none of its calls may be carried out any more, so the worker is tried for about as long.
  int most_start_repeats = 8;
  /// Time between two batches that record nothing but how runs are bounded (`RunBound`).
  absl::Duration bound_interval = absl::Milliseconds(500);
  /// Factor for worker clocks that are slow: the platform allows 2%, and 1% is added for rounding.
  double clock_tolerance = 1.03;
  /// Longest time for which a former owner may have gone on granting leases after this owner's claim.
  absl::Duration former_owner_grants = absl::Milliseconds(4500);
  /// While this many tasks of all jobs wait, a job gets a further occurrence only if none of its tasks waits. Bounds
  /// the memory of jobs whose due times pass faster than workers carry them out.
  int most_waiting_tasks = 50'000;
  /// How long a finished job is kept for clients that ask for its state.
  absl::Duration retention = absl::Seconds(130);
  /// Finished jobs that are retired in one second; half of the submissions that an entry lets wait for the store.
  std::size_t most_retirements = 1000;
  /// Pause before a submission whose removal was not stored is removed again.
  absl::Duration removal_retry = absl::Seconds(5);
  /// Pause before a task runs again after its first failure; doubles up to the longest.
  absl::Duration first_retry_pause = absl::Milliseconds(20);
  absl::Duration longest_retry_pause = absl::Seconds(2);
  /// A stop whose result is not known after this time is ordered again; longer than an order takes to be answered.
  absl::Duration stop_repeat = absl::Seconds(3);
  /// Pause of a worker that refused a start because it is unhealthy or has less room than recorded.
  absl::Duration refusal_pause = absl::Milliseconds(300);
  /// A worker is taken out when this many different jobs failed on it in a row.
  WorkerQuarantineOptions quarantine = {.failed_jobs = 3,
                                        .first_pause = absl::Seconds(3),
                                        .longest_pause = absl::Seconds(30),
                                        .most_out_pause = absl::Seconds(1),
                                        .longest_trial = absl::Seconds(2)};
  /// The quarantine is only an estimate, too: a task that lasts, or whose job has no run, takes a worker in quarantine
  /// after it has waited for the first time, or for the second one if runs of its step have failed. With the placement
  /// itself both stay under the 3 s for which the platform accepts that a job has no run while there is room.
  absl::Duration quarantine_patience = absl::Seconds(1);
  absl::Duration longest_quarantine_patience = absl::Seconds(2);
  /// A filling task that runs below this share of its speed is moved if another worker promises the higher one, and if
  /// that saves at least this time after a restart from its checkpoint.
  double slow_filling_speed = 0.5;
  double good_filling_speed = 0.7;
  absl::Duration move_cost = absl::Milliseconds(900);  ///< stop, placement and restore (600 ms)
  absl::Duration least_gain = absl::Milliseconds(800);
  absl::Duration move_interval = absl::Milliseconds(500);
  /// Moves in one interval, because each changes the figures of the next: at least the first figure, and this share of
  /// the workers.
  std::size_t least_moves = 4;
  double moves_per_worker = 0.2;
  /// Size of the step records in a batch beyond which the others wait for the next one; half of what the platform takes
  /// in one call, because one record more may follow.
  std::size_t max_batch_bytes = std::size_t{1} << 20;
  /// A task that lasts and has waited this long for room gets some by stopping others, if that is fair (`RoomPlanner`).
  absl::Duration room_patience = absl::Seconds(2);
  absl::Duration room_interval = absl::Milliseconds(500);
  /// Room is kept for the task for this long while others are stopped; a stop takes up to 0.4 s, and its report one
  /// more. Below the 3 s for which the platform accepts that a task waits beside free room.
  absl::Duration longest_room_hold = absl::Seconds(2);
  /// Tasks for which room is made at a time: at least the first figure, and this share of the workers.
  std::size_t least_room_holds = 2;
  double room_holds_per_worker = 0.1;
  RoomPlannerOptions room;
  PlacementOptions placement;
  LocalityPolicyOptions locality;
};

/// Counters of decisions, for metrics.
struct SchedulerCounts {
  std::uint64_t placements = 0;
  std::uint64_t ends_done = 0;
  std::uint64_t ends_failed = 0;
  std::uint64_t ends_lost = 0;  ///< lapsed leases, lives that ended, runs that never began
  std::uint64_t ends_other = 0;
  std::array<std::uint64_t, kRunLossNames.entries().size()> lost_runs{};  ///< the same by `RunLoss`
  std::uint64_t unknown_runs = 0;    ///< listed as running by a worker on which they are not, or no longer, placed
  std::uint64_t ends_unmatched = 0;  ///< listed by a worker for a run that is not, or no longer, placed there
  std::uint64_t refused_starts = 0;
  std::uint64_t quarantines = 0;   ///< workers taken out
  std::uint64_t trials = 0;        ///< runs placed on workers that are out
  std::uint64_t readmissions = 0;  ///< workers let back in
  std::uint64_t moves = 0;         ///< filling tasks stopped to run faster elsewhere
  std::uint64_t rooms_made = 0;    ///< tasks that last for which others were stopped
  std::uint64_t room_moves = 0;    ///< tasks that last stopped for them, with room elsewhere
  std::uint64_t room_losses = 0;   ///< the same without room elsewhere, of steps that were served better
  /// Runs of tasks that prefer a rack, by where they were placed, and those among them that waited for it.
  std::uint64_t near_placements = 0;
  std::uint64_t far_placements = 0;
  std::uint64_t delayed_placements = 0;
  std::uint64_t jobs_done = 0;
  std::uint64_t jobs_failed = 0;
};

/// Decides which task runs where; the heart of the owner.
///
/// Its functions stand in scheduler.cc (jobs and batches), scheduler_workers.cc, scheduler_runs.cc,
/// scheduler_late_calls.cc, scheduler_locality.cc, scheduler_lasting.cc and scheduler_placement.cc. It does no I/O:
/// events go in, batches of records and orders come out. The caller writes a batch to the store, calls
/// `OnBatchDurable`, and only then sends the orders of that batch. One batch is under way at a time.
class Scheduler {
 public:
  explicit Scheduler(const SchedulerOptions& options, MonotonicTime now);

  // Commands: what happened.

  /// Takes a job over as recorded, or a new one. Does nothing for a job that is known, has ended or is corrupt. A
  /// cancellation without a job counts as a job that has ended. `unix_now_ms` is the time of day.
  void AddJob(const std::string& id, const JobIndex::Job& recorded, MonotonicTime now, std::int64_t unix_now_ms);
  void CancelJob(std::string_view id, MonotonicTime now);
  void SetLimits(PlacementLimits limits);
  void OnReport(const std::string& agent, const WorkerReport& report, MonotonicTime now);
  /// The agent was started again and has no list of the worker yet: nothing more is placed there until it has.
  void OnWorkerUnknown(const WorkerLife& life);
  /// The start is sent, or sent again.
  void OnStartSent(const StartOrder& order, MonotonicTime now);
  void OnStartAnswer(const std::string& task, int run, const WorkerLife& life, const StartAnswer& answer,
                     MonotonicTime now);
  /// A stop was answered: the run is listed as ended, or will never be there.
  void OnStopAnswer(const std::string& task, int run, const WorkerLife& life, bool end_listed, MonotonicTime now);
  /// Leases that lapsed, occurrences that are due, retries, then placement. `unix_now_ms` is the time of day.
  void Advance(MonotonicTime now, std::int64_t unix_now_ms);

  /// Everything that changed since the last batch; null if there is nothing to store or a batch is under way. Valid
  /// until `OnBatchDurable`.
  const Batch* TakeBatch(MonotonicTime now);
  /// The records of the batch are stored. Returns the batch with those of its starts that may still be sent.
  Batch OnBatchDurable(MonotonicTime now);
  /// Starts without an answer that are to be sent again; each is returned once.
  std::vector<StartOrder> TakeRepeatedStarts();
  /// Stops that are due; each is returned once until its answer.
  std::vector<StopOrder> TakeStops();
  /// Finished jobs whose retention is over: their submissions may be removed from the store. The summary of each is
  /// removed after `OnSubmissionRemoved`, because a submission without a summary is a job that has not run.
  std::vector<std::string> TakeRetiredJobs();
  void OnSubmissionRemoved(const std::string& job);
  /// The removal was not stored; the job is retired once more, after a pause.
  void OnSubmissionNotRemoved(const std::string& job, MonotonicTime now);

  // Queries.

  /// Whether the start may still be sent: nothing that forbids it has happened since it was decided.
  bool MaySend(const StartOrder& order);
  /// Until which reading of its own clock the worker may keep its runs; 0 if none is known.
  std::int64_t LeaseEndFor(const PoolWorker& worker) const;
  /// Number of the last end that the worker may forget: its record is durable, and so are those before it, and no call
  /// that may be carried out yet begins a task again that is done by one of them.
  std::int64_t NotableEnds(const PoolWorker& worker, MonotonicTime now) const;
  /// Whether the start is still under way.
  bool IsStarting(const StartOrder& order);
  bool IsStopping(const StopOrder& order);
  const JobDefinition* FindJob(std::string_view id) const;
  /// What was learnt of the images on the worker since the last call; nothing more often than every few seconds.
  std::vector<InterferenceEntry> TakeInterferenceFor(std::string_view agent, MonotonicTime now);
  const PoolWorker* FindWorker(std::string_view agent) { return m_workers.Find(agent); }
  /// When `Advance` has to be called next without another event.
  MonotonicTime NextDeadline(MonotonicTime now) const;
  const SchedulerCounts& counts() const { return m_counts; }
  std::size_t WaitingTasks() const;
  std::size_t PlacedTasks() const;
  std::size_t QuarantinedWorkers() const;
  /// How long the task that waits longest has waited; zero if none waits.
  absl::Duration LongestWait(MonotonicTime now) const;
  /// Parts of the tasks that last which are at work, by queue; up to two seconds old.
  const std::map<std::string, LastingShares>& lasting_shares() const { return m_lasting_shares; }

 private:
  /// The job's cancellation was stored before the job, or stored again. The submission may be under way, and must not
  /// run whenever it is stored, so the cancellation is kept for the whole retention from now on.
  void KeepCancelled(const std::string& id, const JobIndex::Job& recorded, MonotonicTime now);
  /// `begun`: when the objective began to count.
  void AddOccurrence(WorkflowJob& job, std::int64_t occurrence, const JobIndex::Job* recorded, MonotonicTime begun,
                     MonotonicTime now);
  void RefreshReadySteps(std::vector<std::unique_ptr<WorkflowStep>>& steps, MonotonicTime now);
  WorkflowStep* FindStep(const StepName& name);
  std::optional<TaskRef> FindTask(const std::string& task);
  std::optional<TaskRef> FindRun(const std::string& task, int run, const WorkerLife& life);
  /// The task if that run of it is placed, at whatever worker.
  std::optional<TaskRef> FindNewestRun(const std::string& task, int run);

  void ApplyEnd(const WorkerLife& life, const RunEnd& end, MonotonicTime now);
  /// The newest run of a task that waits for another one has ended as done after all, so it needs no other. Returns
  /// false for any other end.
  bool ApplyLateDone(const RunEnd& end, MonotonicTime now);
  /// Ends that hold although their life is over.
  void ApplyPastEnds(const PastEnds& past, MonotonicTime now);
  void LogUnmatchedEnd(const WorkerLife& life, const RunEnd& end);
  /// Nothing if the task's job is not, or no longer, known.
  std::optional<TaskProgress> RecordedProgress(const std::string& task);
  /// A worker has shown that the present run of the task is, or was, carried out.
  void NoteBegun(PoolWorker* worker, TaskRef task);
  static void NoteAtWork(WorkflowJob& job, MonotonicTime at);
  /// The newest list of the worker has the present run of the task.
  void NoteListed(PoolWorker& worker, TaskRef task, const ActiveRun& run, MonotonicTime now);
  void FinishRun(TaskRef task, RunEndKind kind, const std::string& checkpoint, MonotonicTime now);
  void LoseForbiddenStarts(const std::vector<StartOrder>& starts, MonotonicTime now);
  void LoseRun(TaskRef task, RunLoss reason, MonotonicTime now);
  /// A run of the job has failed on the worker.
  void RecordWorkerFailure(const std::string& worker, const WorkflowJob& job, MonotonicTime now);
  void RecordWorkerSuccess(const std::string& worker, ReadmissionReason reason, MonotonicTime now);
  void LogReadmission(const std::string& worker, MonotonicTime out_since, ReadmissionReason reason, MonotonicTime now);
  void Release(TaskRef task, const std::string& checkpoint, MonotonicTime now);
  void CountFailure(TaskRef task, MonotonicTime now);
  void AfterTaskDone(WorkflowStep& step, MonotonicTime now);
  void SettleGang(WorkflowStep& step, int ended_index, RunEndKind kind, MonotonicTime now);
  void EndJob(WorkflowJob& job, JobPhase phase, MonotonicTime now);
  void ForgetIfIdle(WorkflowJob& job, MonotonicTime now);

  void StartLife(PoolWorker& worker, const WorkerReport& report, MonotonicTime now);
  /// The run is in the worker's present life, with every call of its start answered.
  void SettleStart(const PoolWorker* worker, TaskRef task, MonotonicTime now);
  /// Sees to it that stronger bounds of runs are stored within a while.
  void RecordBounds(MonotonicTime now);
  /// For how long after the last order or grant a run with that bound may go on.
  absl::Duration LongestRunAfterOrder(RunBound bound) const;
  /// A run of the worker's former life, until the lists of the present one tell whether that carried its start out.
  void CarryOver(PoolWorker& worker, TaskRef task, MonotonicTime now);
  void LoseOrphansOfHost(const std::string& agent, const std::string& present_worker, MonotonicTime now);
  /// The worker was gone before this owner met it: what certainly began in no later life is over.
  void LoseOrphansOfGoneWorker(const std::string& agent, const WorkerReport& report, MonotonicTime now);
  void LoseAllRuns(PoolWorker& worker, RunLoss reason, MonotonicTime now);
  void LoseRuns(PoolWorker& worker, const std::vector<TaskRef>& tasks, RunLoss reason, MonotonicTime now);
  /// Gives up what ended with the worker's process. Starts with a call without an answer stay: the next life may carry
  /// that call out.
  void LoseSettledRuns(PoolWorker& worker, MonotonicTime now);
  void CompareRuns(PoolWorker& worker, const WorkerReport& report, MonotonicTime now);

  // Late calls.

  /// A start of the run is about to be sent.
  void ExpectCall(TaskRef task, const StartOrder& order, MonotonicTime now);
  /// Takes over what an owner before this one has recorded of late calls for the task.
  void AdoptLateCalls(TaskRef task);
  /// An order of the run may be on its way to the agent, or a call to the worker: the order is not answered.
  bool IsOrderUnderWay(const std::string& task, int run);
  void NoteLateCalls(const std::string& agent, const WorkerReport& report, MonotonicTime now);
  /// The agent tells which of its calls have no answer, so the others are certain.
  void SettleAnsweredCalls(const std::string& agent, const WorkerReport& report, MonotonicTime now);
  /// Every call of the start was answered, or none was sent.
  void SettleCalls(const LateCall& call, MonotonicTime now);
  /// Keeps the worker from forgetting an end as done for as long as a late call may begin the task again.
  void HoldEnd(PoolWorker& worker, const RunEnd& end, const WorkerReport& report, MonotonicTime now);
  void ExpireLateCalls(MonotonicTime now);
  /// The tasks may be placed again if they wait, so they are no longer recorded as having a late call.
  void OnLateCallsOver(const std::vector<std::string>& tasks);
  /// Whether a call for a run of the task may be carried out yet. Until then a waiting task gets no other run: a
  /// worker's next life could begin the former one beside it, or after it is done.
  bool HasLateCall(const WorkflowStep& step, int index) const;
  /// Orders a start without an answer once more, with the same number: whichever call comes late, the run begins once.
  /// Returns false if the run has to be stopped.
  bool RepeatStart(TaskRef task);
  /// Counts what late calls of runs that were given up would take of the next lives of their workers.
  void ReserveForLateCalls();
  /// A worker lists the newest run of a task that waits: a late call has begun it. Returns false for any other run.
  bool AdoptRun(PoolWorker& worker, const ActiveRun& run, MonotonicTime now);

  /// The worker lists a run that is not placed there.
  void StopUnknownRun(PoolWorker& worker, const ActiveRun& run);
  static std::int64_t RemainingFormerLeaseMs(const PoolWorker& worker, MonotonicTime now);
  void MoveLastingTasks(PoolWorker& worker);
  void NoteProgress(PoolWorker& worker, const WorkerReport& report, MonotonicTime now);
  void RefreshInterference(MonotonicTime now);
  void LearnInterference(PoolWorker& worker, MonotonicTime now);
  /// Spare rate that a serving task is expected to lose beside filling tasks, 1/s.
  double KnownLoss(const StepDefinition& serving, const InterferenceModel::FillingUse& use) const;
  void MoveSlowFillers(MonotonicTime now);
  bool IsWorthMoving(const PoolWorker& worker, TaskRef task, MonotonicTime now) const;
  void LapseLeases(MonotonicTime now);
  void LapseFormerWorkers(MonotonicTime now);
  void CreateDueOccurrences(MonotonicTime now, std::int64_t unix_now_ms);
  void PlaceWaiting(MonotonicTime now);
  /// Sees to it that the step is looked at again when more workers are open to it by time alone.
  void ScheduleRetry(const WorkflowStep& step, const QuarantineFilter& filter, MonotonicTime now);
  /// A step of which no task found a worker.
  struct FailedSearch {
    const WorkflowStep* step = nullptr;
    QuarantineAccess access = QuarantineAccess::kNone;
  };
  void PlaceTasks(WorkflowStep& step, QuarantineFilter& filter, std::vector<FailedSearch>& failed, MonotonicTime now);
  /// Waiting tasks of the step that may have a run now, in the order in which they get one.
  std::vector<std::size_t> PlaceableTasks(const WorkflowStep& step, const QuarantineFilter& filter, MonotonicTime now);
  /// Whether the tasks of the step get room one by one, by the share that the step has; the members of a gang do not.
  static bool SharesRoom(const StepDefinition& definition) { return definition.long_running && !definition.gang; }
  /// Places tasks of those steps which share room and have the queue's priority and service, the least served first.
  void PlaceLastingSteps(const std::vector<WorkflowStep*>& waiting, const QueuePolicy& queue, QuarantineFilter& filter,
                         MonotonicTime now);
  /// Returns false if no worker has room for the task; true if it was placed, or waits for room near its data although
  /// another worker has some.
  bool PlaceTask(WorkflowStep& step, int index, QuarantineAccess access, QuarantineFilter& filter, MonotonicTime now);
  bool PlaceGang(WorkflowStep& step, QuarantineAccess access, QuarantineFilter& filter, MonotonicTime now);
  /// Workers for a task, or for all members of a gang.
  struct WorkerChoice {
    std::vector<PoolWorker*> workers;  ///< empty if they do not all find one
    double speed = 1;                  ///< expected of the slowest
    bool is_waiting = false;           ///< for near capacity, although workers have room
  };
  /// Candidates of one rack, which is named by `rack` or, for the rack of a step's data, by a label of its workers.
  struct WorkerGroup {
    std::string label;
    std::optional<std::string> rack;
    std::vector<PoolWorker*> workers;
  };
  struct SplitCandidates {
    std::vector<WorkerGroup> near;  ///< each satisfies the preference of the step
    std::vector<WorkerGroup> far;   ///< those that do not, in the order of preference
  };
  /// When near workers are expected to have room for the task or the gang.
  struct ExpectedCapacity {
    MonotonicTime at = InfiniteFuture();
    RackOutlook* outlook = nullptr;
    std::vector<RackOutlook::Slot> slots;  ///< one for each task
  };
  /// Chooses workers by locality for the task, or for the whole gang.
  WorkerChoice ChooseByLocality(WorkflowStep& step, int index, QuarantineAccess access, const QuarantineFilter& filter,
                                MonotonicTime now);
  /// Whether the tasks of the step run faster near their data or near one another.
  static bool PrefersRack(const StepDefinition& definition);
  static SplitCandidates SplitByLocality(const StepDefinition& definition, const std::vector<PoolWorker*>& candidates);
  /// Chooses from the first group that has room.
  WorkerChoice ChooseFromFirst(WorkflowStep& step, int index, const std::vector<WorkerGroup>& groups,
                               MonotonicTime now);
  WorkerChoice ChooseFrom(WorkflowStep& step, int index, const std::vector<PoolWorker*>& candidates, MonotonicTime now);
  WorkerChoice ChooseForGang(WorkflowStep& step, const std::vector<PoolWorker*>& candidates, MonotonicTime now);
  /// Whether a start on one of the workers is likely to fail or to stay without an answer.
  bool IsDoubtful(const WorkflowStep& step, int index, const WorkerChoice& choice, MonotonicTime now) const;
  ExpectedCapacity ExpectCapacity(const WorkflowStep& step, int index, const std::vector<WorkerGroup>& groups,
                                  MonotonicTime now);
  RackOutlook& OutlookOf(const WorkerGroup& group, MonotonicTime now);
  void NoteDecision(WorkflowStep& step, int index, const LocalityDecision& decision, MonotonicTime now);
  /// Counts and learns from the placement of a task that prefers a rack.
  void CountLocality(WorkflowStep& step, int index, const PoolWorker& worker, MonotonicTime now);
  /// Whether the task, or the gang of which it is the first member, waits for near capacity.
  static bool IsWaitingForRack(const WorkflowStep& step, int index);
  QuarantineAccess AccessOf(const WorkflowStep& step, int index, const QuarantineFilter& filter,
                            MonotonicTime now) const;
  /// Whether the task may be the trial of a worker in quarantine, which is likely to fail.
  static bool MayTry(const WorkflowStep& step, int index);
  /// The widest access of those tasks of the step that wait.
  QuarantineAccess WidestAccessOf(const WorkflowStep& step, const QuarantineFilter& filter, MonotonicTime now) const;
  /// When the quarantine no longer keeps the task from any worker; see `WorkflowStep::PatienceEnds`.
  MonotonicTime QuarantineEndsFor(const WorkflowStep& step, int index, MonotonicTime now) const;
  void LogLongWaits(MonotonicTime now);
  /// Whether the worker would take a run if it has room.
  bool TakesRuns(const PoolWorker& worker, MonotonicTime now) const;
  /// Whether the amount is far below what is free on all workers of the service together.
  bool IsAmple(const Resources& asked, const std::string& service, MonotonicTime now) const;
  /// Makes room for tasks that last and have waited for long, the least served step first.
  void MakeRoom(MonotonicTime now);
  void MakeRoomFor(WorkflowStep& step, int index, const RoomPlan& plan, MonotonicTime now);
  /// Drops holds that are over, and counts the others at their workers.
  void RefreshRoomHolds(MonotonicTime now);
  /// Places a task of a step that shares room, which may use the room that is kept for the step.
  bool PlaceLastingTask(WorkflowStep& step, int index, QuarantineFilter& filter, MonotonicTime now);
  /// Keeps and logs, every two seconds, how far the steps that last are served.
  void NoteLastingSteps(MonotonicTime now);
  LastingStepState StateOf(const WorkflowStep& step, MonotonicTime now) const;
  void LogLastingShares(MonotonicTime now) const;
  void Place(WorkflowStep& step, int index, PoolWorker& worker, int run, MonotonicTime now);
  /// Records the worker of a waiting task and takes its room there.
  void Assign(TaskRef task, PoolWorker& worker, int run);
  static StartOrder MakeStartOrder(TaskRef task);
  void OrderStop(TaskRef task);
  void MarkChanged(WorkflowStep& step);
  void UpdateWaiting(WorkflowStep& step);
  void RetireJobs(MonotonicTime now);

  const SchedulerOptions m_options;
  const MonotonicTime m_claimed_at;
  PlacementLimits m_limits;
  WorkerPool m_workers;
  WorkerQuarantine m_quarantine;
  absl::flat_hash_map<std::string, std::unique_ptr<WorkflowJob>> m_jobs;
  absl::flat_hash_set<WorkflowStep*> m_waiting;  ///< ready steps with a task that waits
  std::set<WorkflowJob*> m_scheduled;            ///< jobs with occurrences to come
  /// Finished jobs, and those whose cancellation was stored before them.
  absl::flat_hash_map<std::string, MonotonicTime> m_retire_at;
  std::vector<WorkflowStep*> m_changed_steps;
  absl::flat_hash_set<WorkflowStep*> m_steps_with_new_bounds;  ///< not yet in a batch
  MonotonicTime m_next_bound_record;
  std::vector<WorkflowJob*> m_changed_jobs;
  std::vector<std::pair<std::string, std::string>> m_final_records;  ///< summaries of jobs that were forgotten
  std::vector<std::string> m_removed_keys;
  std::vector<std::string> m_retired_jobs;
  absl::flat_hash_set<std::string> m_retiring;  ///< retired, with a submission that may still be in the store
  std::vector<StartOrder> m_new_starts;         ///< of the next batch
  std::vector<StartOrder> m_repeated_starts;
  std::vector<StopOrder> m_stops;
  std::optional<Batch> m_batch;                                      ///< under way
  absl::flat_hash_map<std::string, std::vector<TaskRef>> m_orphans;  ///< placed by a former owner, by worker id
  LateCalls m_late_calls;                                            ///< of all workers
  InterferenceModel m_interference;
  PlacementPolicy m_policy;  ///< uses `m_interference`
  LocalityPolicy m_locality;
  LocalityHistory m_locality_history;
  absl::flat_hash_map<std::string, std::unique_ptr<RackOutlook>> m_outlooks;  ///< of this pass of placement, by rack
  MonotonicTime m_interference_refreshed_at = InfinitePast();
  SchedulerCounts m_counts;
  bool m_placement_due = true;
  MonotonicTime m_next_retry = InfiniteFuture();  ///< when a pause of a worker or task ends
  MonotonicTime m_next_retirement;
  MonotonicTime m_next_move;
  MonotonicTime m_next_wait_check;
  std::vector<RoomHold> m_room_holds;
  MonotonicTime m_next_room_check;
  /// What the newest `lasting_step` line of a step says; another one follows when that changes.
  struct LoggedLastingStep {
    int at_work = 0;
    int waiting = 0;

    friend bool operator==(const LoggedLastingStep&, const LoggedLastingStep&) = default;
  };
  absl::flat_hash_map<std::string, LoggedLastingStep> m_logged_lasting_steps;  ///< by name of the step
  std::map<std::string, LastingShares> m_lasting_shares;                       ///< by queue
  MonotonicTime m_next_lasting_check;
};

}  // namespace berylgauge::workflow
