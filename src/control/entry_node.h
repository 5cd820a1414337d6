#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "base/metrics.h"
#include "control/entry_peers.h"
#include "control/job_admission.h"
#include "control/keyed_log.h"
#include "control/log_writer.h"
#include "control/operator_settings.h"
#include "control/owner_role.h"
#include "control/ownership_policy.h"
#include "control/partition_tail.h"
#include "control/queue_table.h"
#include "control/shared_read.h"
#include "control/submission_queue.h"
#include "transport/event_loop.h"
#include "workflow/job_index.h"

namespace berylgauge::control {

struct EntryNodeOptions {
  std::string host;
  std::string address;  ///< where the other entries reach this one
  int internal_port = 0;
  std::string incarnation;  ///< random text that tells the runs of this process apart
  LogPartition submissions;
  LogPartition progress;
  LogPartition operators;
  LogPartition members;
  OwnershipOptions ownership;
  workflow::SchedulerOptions scheduler;
  JobAdmissionOptions admission;
  /// Time between two reads of an entry that is not the owner; clients see the end of a job this much later.
  absl::Duration follower_interval = absl::Milliseconds(100);
  /// The store counts as silent after this time: two reads that wait half a second and time out.
  absl::Duration store_silence = absl::Milliseconds(1600);
  /// Failed reads in a row, or time since appends fail, after which another entry takes the clients' requests.
  int failed_reads = 2;
  absl::Duration failing_appends = absl::Milliseconds(100);
  /// Cancellations of unknown jobs that the store keeps at a time: anyone may send them without bound, and each is kept
  /// as long as a finished job. 10,000 take about 4 MB of an entry's memory.
  std::size_t max_cancellations_without_job = 10'000;
  /// The same while they are stored; half of what one append takes, so that they do not fill the queue of submissions.
  std::size_t max_unstored_cancellations = 100;

  /// Names this process in the store: another one of the same host has another incarnation.
  std::string ProcessName() const { return host + "." + incarnation; }
};

enum class SubmitOutcome {
  kAccepted,
  kRefused,     ///< the job was not stored and never will be
  kUnknown,     ///< the job was stored or never will be
  kUnservable,  ///< refused: the queue demands what this version cannot do, so the job could never start
  kCancelled,   ///< refused: its cancellation was acknowledged before
  kNoMemory,    ///< refused: accepted jobs take the memory
  kTooLarge,    ///< refused: no entry may accept a job of this size
};

enum class CancelOutcome {
  kCancelled,
  kUnknownJob,  ///< stored all the same, so the job will not run if its submission is still under way
  kFailed,      ///< not stored, or the store cannot be asked for the job; the client may repeat it
  kTooMany,     ///< not stored, because too many cancellations of unknown jobs are kept; the client may repeat it
  kUnknown,     ///< the cancellation was stored or never will be
};

inline constexpr auto kCancelOutcomeNames = MakeEnumNames<CancelOutcome>({
    {CancelOutcome::kCancelled, "cancelled"},
    {CancelOutcome::kUnknownJob, "unknown-job"},
    {CancelOutcome::kFailed, "failed"},
    {CancelOutcome::kTooMany, "too-many"},
    {CancelOutcome::kUnknown, "unknown"},
});

/// What an entry knows of a job. Neither a phase nor `is_certain`: the store could not be asked.
struct JobLookup {
  std::optional<workflow::JobPhase> phase;
  bool is_certain = false;  ///< the job does not exist if there is no phase
};

/// The logic of an entry: accepts and cancels jobs, answers for their state, follows the configuration, and takes part
/// in the choice of the owner. Used on the loop's thread.
class EntryNode {
 public:
  EntryNode(EventLoop& loop, KeyedLog& log, const Clock& clock, const OperatorRecordDecoder& operators,
            MetricsRegistry& metrics, EntryNodeOptions options);
  ~EntryNode();

  void Start();

  // Commands.
  /// The callback may never be called while it stays unknown whether the job was stored.
  void Submit(const workflow::JobDefinition& job, absl::AnyInvocable<void(SubmitOutcome)> callback);
  /// The job will not run on, or not run at all if its submission is stored after this.
  void Cancel(const std::string& job, absl::AnyInvocable<void(CancelOutcome)> callback);
  /// Gives the ownership up, if this entry has it; `done` is called when that is stored.
  void HandOver(std::function<void()> done);

  /// Another entry answered for this one, with `configuration` in force.
  void OnAnsweredByPeer(std::int64_t configuration);

  // Queries.
  /// Reads to the end of the log for an id that is not known here.
  void Lookup(const std::string& job, absl::AnyInvocable<void(JobLookup)> callback);
  int WaitingIn(std::string_view queue) const { return m_index.WaitingIn(queue); }
  /// Null before the first configuration.
  const QueueTable* queues() const { return m_queues ? &*m_queues : nullptr; }
  /// Whether a client may have been answered, through a peer, by a newer configuration than is known here.
  bool IsBehindPeers() const;
  bool IsReady(MonotonicTime now) const;
  /// Whether the store serves this entry at present; otherwise another entry should take its clients' requests.
  bool IsServedByStore(MonotonicTime now) const;
  EntryPeers& peers() { return m_peers; }
  bool IsOwner() const { return m_owner != nullptr; }
  const workflow::JobIndex& index() const { return m_index; }

 private:
  /// Estimated memory of jobs that were accepted, or whose submission is under way.
  std::size_t JobMemoryUsed() const;
  /// Leaves jobs that were stored here and read back to the index.
  void ForgetReadJobs();
  /// Refuses a job with `outcome`, unless another entry has accepted it before.
  void Refuse(const std::string& job, SubmitOutcome outcome, absl::AnyInvocable<void(SubmitOutcome)> callback);
  void StoreJob(const std::string& job, std::string record, std::size_t footprint,
                absl::AnyInvocable<void(SubmitOutcome)> callback);
  void OnSubmissionRecord(const KeyedRecord& record);
  void OnProgressRecord(const KeyedRecord& record);
  void OnOperatorRecord(const KeyedRecord& record);
  void OnOperatorReset();
  void OnMemberRecord(const KeyedRecord& record);
  void Register();
  void ApplyLimits();
  void ConsiderClaim();
  void Claim();
  void OnClaimed(const AppendAnswer& answer, std::unique_ptr<LogWriter> writer, const workflow::OwnerRecord& record,
                 const workflow::SchedulerOptions& scheduler);
  bool FormerOwnerHasEnded() const;
  /// Reads the submissions to their end and lets the owner begin.
  void BeginOwnership();
  /// Whether this entry owns the decisions by the claim of that epoch.
  bool IsOwnerOf(std::int64_t epoch) const { return m_owner != nullptr && m_owner->epoch() == epoch; }
  void EndOwnership();
  /// Whether the cancellation of a job that is not stored may be stored; see `max_cancellations_without_job`.
  bool MayKeepCancellation(const std::string& job) const;
  void StoreCancellation(const std::string& job, bool is_known, absl::AnyInvocable<void(CancelOutcome)> callback);
  /// Removes what is stored of retired jobs.
  void RemoveRecords(const std::vector<std::string>& jobs);
  /// Removes the submission and the cancellation of a retired job from the store.
  void RemoveSubmission(const std::string& job);
  /// Removes cancellations of jobs that are not stored, on condition that the owner has read every record before:
  /// another entry may just have acknowledged the same cancellation again, or stored the job.
  void RemoveCancellations(std::vector<std::string> jobs);
  /// Tells the owner which submissions were removed, once that was read: until then an older record of one may be read,
  /// and nothing but the owner's memory says that its job has ended.
  void NoteRemovals();
  void Tick();
  void PublishMetrics();

  EventLoop& m_loop;
  KeyedLog& m_log;
  const Clock& m_clock;
  const OperatorRecordDecoder& m_decoder;
  const EntryNodeOptions m_options;
  workflow::JobIndex m_index;
  std::int64_t m_newest_passed_on = 0;  ///< newest configuration of an answer that was passed on
  std::optional<QueueTable> m_queues;
  absl::flat_hash_set<std::string> m_evacuated_zones;
  std::map<std::string, MemberRecord> m_members;  ///< by host
  OwnershipPolicy m_ownership;
  MonotonicTime m_last_owner_sign;
  SubmissionQueue m_submissions;
  JobAdmission m_admission;
  std::size_t m_unstored_job_bytes = 0;  ///< footprint of the jobs under way to the store
  struct StoredJob {
    MonotonicTime stored_at;
    std::size_t footprint = 0;
  };
  std::deque<StoredJob> m_unread_jobs;                ///< stored by this entry, possibly not read back
  std::size_t m_unstored_cancellations = 0;           ///< of unknown jobs, under way to the store
  std::unique_ptr<LogWriter> m_cancellation_remover;  ///< of the newest removal; null before the first
  std::int64_t m_cancellation_removals = 0;           ///< so far; the epoch of the newest one
  std::vector<std::string> m_removed_jobs;            ///< at the owner: stored, and not yet read
  PartitionTail m_submission_tail;
  SharedRead m_lookups;  ///< reads for ids that are not known here
  PartitionTail m_progress_tail;
  PartitionTail m_operator_tail;
  PartitionTail m_member_tail;
  LogWriter m_registration;
  EntryPeers m_peers;
  bool m_claiming = false;
  /// Of the last claim that the store refused for its epoch. The recorded epoch may be lower than the one that the
  /// store has seen, if the owner's record is unreadable.
  std::int64_t m_fenced_epoch = 0;
  bool m_leaving = false;
  std::int64_t m_progress_end = 0;  ///< while owner: end of the progress partition
  std::unique_ptr<OwnerRole> m_owner;
  EventLoop::TimerId m_timer;
  std::shared_ptr<bool> m_alive;

  MetricsRegistry& m_metrics;
  Counter& m_accepted;
  Counter& m_refused;
  Counter& m_refused_for_memory;
  Counter& m_cancelled;
  Counter& m_cancellations_refused;
  Counter& m_claims;
  Gauge& m_is_owner;
  Gauge& m_jobs;
  Gauge& m_job_memory;
  Gauge& m_cancellations_without_job;
  Gauge& m_corrupt_records;
  Gauge& m_waiting_tasks;
  Gauge& m_longest_wait;
  Gauge& m_placed_tasks;
  Gauge& m_quarantined_workers;
  Gauge& m_config_version;
};

}  // namespace berylgauge::control
