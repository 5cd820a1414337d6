#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "clients/worker_client.h"
#include "schedule/attempt_answer.h"
#include "schedule/attempt_key.h"
#include "schedule/freshness_proof.h"
#include "schedule/start_command.h"
#include "schedule/worker_command.h"
#include "schedule/worker_ledger.h"

namespace berylgauge {

struct AttemptTableOptions {
  WorkerId worker;
  Incarnation incarnation = 0;
  MonotonicTime started_at;  ///< when this agent started
  WorkerLedgerOptions ledger;
  absl::Duration start_freshness = absl::Milliseconds(2'000);
  /// A call of the previous agent may still reach the worker for this long after this agent started, so a report
  /// requested earlier may miss a task. At least the timeout of `WorkerClient::Start`.
  absl::Duration predecessor_settle = absl::Milliseconds(2'000);
  /// A start whose result is unknown may still take effect for this long after the call failed.
  absl::Duration start_settle = absl::Milliseconds(10'000);
  /// How long adopted attempts wait for the first proof of this agent before they are stopped.
  absl::Duration first_proof_wait = absl::Milliseconds(10'000);
  /// Terms of adopted attempts until `RestoreTerms`. The grace must not exceed the shortest that a job may set,
  /// because the owner places the task again when the job's own grace has passed.
  AttemptTerms adopted_terms;
  absl::Duration retry_interval = absl::Milliseconds(1'000);  ///< between repeats of a call that failed
  /// A stop is repeated after this time while the worker still reports the attempt as running.
  absl::Duration stop_repeat = absl::Milliseconds(5'000);
  /// A stop with checkpoint that takes longer is repeated without one.
  absl::Duration checkpoint_timeout = absl::Milliseconds(120'000);
  std::size_t max_tombstones = 10'000;
};

enum class AttemptState {
  kAdmitted,  ///< booked; the start was not passed to the worker yet
  kStarting,  ///< passed to the worker; the effect is not known yet
  kRunning,
  kStopping,
  kEnded,
};

inline constexpr auto kAttemptStateNames = MakeEnumNames<AttemptState>({
    {AttemptState::kAdmitted, "admitted"},
    {AttemptState::kStarting, "starting"},
    {AttemptState::kRunning, "running"},
    {AttemptState::kStopping, "stopping"},
    {AttemptState::kEnded, "ended"},
});

/// Why an attempt is being stopped.
enum class StopReason {
  kNone,
  kRequested,
  kOutageGrace,   ///< no freshness proof for too long
  kRevoked,       ///< the worker was revoked
  kOverCapacity,  ///< the capacity shrank or tasks outgrew their declaration
  kTombstoned,    ///< the worker runs an attempt that was already answered as not run or ended
};

inline constexpr auto kStopReasonNames = MakeEnumNames<StopReason>({
    {StopReason::kNone, "none"},
    {StopReason::kRequested, "requested"},
    {StopReason::kOutageGrace, "outage-grace"},
    {StopReason::kRevoked, "revoked"},
    {StopReason::kOverCapacity, "over-capacity"},
    {StopReason::kTombstoned, "tombstoned"},
});

/// How an attempt ended.
enum class EndReason {
  kSucceeded,
  kFailed,
  kStopped,
  kLeaseExpired,
  kNotStarted,       ///< it never reached the worker
  kWorkerRestarted,  ///< the boot id of the worker changed
  kUnknownToWorker,  ///< the worker does not list it any more, or never listed it after an uncertain start
};

inline constexpr auto kEndReasonNames = MakeEnumNames<EndReason>({
    {EndReason::kSucceeded, "succeeded"},
    {EndReason::kFailed, "failed"},
    {EndReason::kStopped, "stopped"},
    {EndReason::kLeaseExpired, "lease-expired"},
    {EndReason::kNotStarted, "not-started"},
    {EndReason::kWorkerRestarted, "worker-restarted"},
    {EndReason::kUnknownToWorker, "unknown-to-worker"},
});

/// What the newest known configuration says about this worker.
struct WorkerStanding {
  bool zone_drained = false;
  bool worker_drained = false;
  bool worker_revoked = false;
};

/// An attempt that has not ended, for heartbeats and `explain`.
struct AttemptView {
  AttemptKey key;
  AttemptState state = AttemptState::kAdmitted;
  StopReason stop_reason = StopReason::kNone;
  bool adopted = false;  ///< taken over from the worker's list
  std::uint32_t share = 0;
  Offset offset = kNoOffset;  ///< `kNoOffset` if adopted
  Resources booked;
  std::string checkpoint;
};

/// An attempt that has ended and is reported to the owner until it is acknowledged.
struct EndedAttempt {
  AttemptKey key;
  EndReason reason = EndReason::kNotStarted;
  Verdict verdict = Verdict::kNotRun;
  StopReason stop_reason = StopReason::kNone;
  bool adopted = false;
  std::uint32_t share = 0;
  Offset offset = kNoOffset;
  std::string checkpoint;  ///< newest complete checkpoint; empty if there is none
  std::string detail;
  MonotonicTime at;
};

/// The agent's decisions about the attempts on its worker.
///
/// Inputs are the owners' commands, the configuration, freshness proofs, the worker's reports and the results of the
/// worker's calls; the output of `TakeCommands` is what the daemon has to call at the worker. Each attempt is passed to
/// the worker at most once. Not thread-safe.
class AttemptTable {
 public:
  explicit AttemptTable(AttemptTableOptions options);

  // Commands of owners.
  AttemptAnswer HandleStart(const StartCommand& command, MonotonicTime now);
  AttemptAnswer HandleWithdraw(const EndCommand& command, MonotonicTime now);
  AttemptAnswer HandleStop(const EndCommand& command, bool with_checkpoint, MonotonicTime now);

  /// Sets the terms of an adopted attempt as its owner knows them.
  void RestoreTerms(const AttemptKey& key, const AttemptTerms& terms);

  /// The owner has recorded the end; the attempt becomes a tombstone and the worker may forget it.
  void AcknowledgeEnded(const AttemptKey& key);

  // Configuration and proofs.
  /// Applies a configuration version greater than the own one; ignores others. Call it for every new version, also if
  /// the standing of this worker is unchanged, because commands and proofs of later versions are refused otherwise.
  void ApplyConfig(ConfigVersion version, const WorkerStanding& standing);

  /// Takes in a proof; one of a version above the own one is ignored until that version was applied.
  void ApplyProof(const FreshnessProof& proof);

  // Worker.
  /// Takes in the worker's report. `requested_at` is the time just before the request for it was sent; reports must
  /// be passed in the order of their requests, older ones are ignored.
  void Reconcile(const WorkerReport& report, MonotonicTime requested_at, MonotonicTime now);

  /// Decides what the worker has to do now. Call it after every input and at least every 500 ms.
  std::vector<WorkerCommand> TakeCommands(MonotonicTime now);

  /// Takes back the result of a command from `TakeCommands`.
  void HandleResult(const WorkerCommand& command, const Result<void>& result, MonotonicTime now);

  // Queries.
  std::vector<AttemptView> Attempts() const;
  std::vector<EndedAttempt> Ended() const;
  std::optional<AttemptState> StateOf(const AttemptKey& key) const;
  bool IsReconciled() const { return m_reconciled; }
  bool HasAttempts() const { return !m_attempts.empty(); }
  bool HasTombstone(const AttemptKey& key) const { return m_tombstones.contains(key); }
  std::size_t tombstone_count() const { return m_tombstones.size(); }

  /// Highest placement offset of the pruned tombstones of a share; `kNoOffset` if none was pruned.
  Offset FloorOf(std::uint32_t share) const;

  const WorkerLedger& ledger() const { return m_ledger; }
  ConfigVersion config_version() const { return m_config_version; }
  const WorkerStanding& standing() const { return m_standing; }
  const std::optional<FreshnessProof>& proof() const { return m_proof; }
  const std::string& boot_id() const { return m_boot_id; }

  /// True while the newest proof permits starts.
  bool IsProofFresh(MonotonicTime now) const;

 private:
  struct Attempt;
  struct Tombstone;
  struct Floors;
  struct Forgetting;
  struct Past;

  AttemptAnswer Refuse(const StartCommand& command, RefusalReason reason, std::string detail = {});
  RefusalReason AdmissionRefusal(const StartCommand& command, MonotonicTime now) const;
  RefusalReason StandingRefusal(MonotonicTime now) const;
  std::optional<Past> FindPast(const AttemptKey& key, std::uint32_t share, Offset offset) const;
  std::optional<AttemptAnswer> AnswerWithoutAttempt(const EndCommand& command) const;
  AttemptAnswer EndBeforeStart(const EndCommand& command);
  void AddTombstone(const AttemptKey& key, std::uint32_t share, Offset offset, Verdict verdict);
  void PruneTombstones();

  void ReconcileTask(const WorkerTask& task, MonotonicTime requested_at, MonotonicTime now);
  void ReconcileMissing(const std::set<AttemptKey>& listed, bool rebooted, MonotonicTime requested_at,
                        MonotonicTime now);
  void ReconcilePast(const WorkerTask& task, MonotonicTime requested_at, MonotonicTime now);
  void Adopt(const WorkerTask& task, bool tombstoned, MonotonicTime requested_at, MonotonicTime now);
  void End(const AttemptKey& key, EndReason reason, Verdict verdict, std::string detail, MonotonicTime now);

  void HandleStartResult(Attempt& attempt, const Result<void>& result, MonotonicTime now);
  void RequestStop(Attempt& attempt, StopReason reason, bool with_checkpoint, MonotonicTime now);
  void StopWhatMayNotRun(MonotonicTime now);
  void StopExcess(MonotonicTime now);
  MonotonicTime GraceEnd(const Attempt& attempt) const;
  MonotonicTime GraceStop(const Attempt& attempt) const;

  void TakeStarts(MonotonicTime now, std::vector<WorkerCommand>& commands);
  void TakeStops(MonotonicTime now, std::vector<WorkerCommand>& commands);
  void TakeRenewals(MonotonicTime now, std::vector<WorkerCommand>& commands);
  void TakeThrottles(MonotonicTime now, std::vector<WorkerCommand>& commands);
  void TakeForgets(MonotonicTime now, std::vector<WorkerCommand>& commands);

  struct Attempt {
    StartCommand command;
    AttemptState state = AttemptState::kAdmitted;
    bool adopted = false;
    bool tombstoned = false;     ///< its end was already answered or reported; only stopped, not reported again
    bool start_pending = false;  ///< the start was passed to the worker and its result is not known
    bool confirmed = false;      ///< the worker has confirmed that it runs
    MonotonicTime confirmed_at;
    MonotonicTime uncertain_since;  ///< when a start failed with an unknown effect
    MonotonicTime next_renewal = InfinitePast();
    bool renewal_pending = false;
    StopReason stop_reason = StopReason::kNone;
    bool stop_with_checkpoint = false;
    bool stop_pending = false;
    MonotonicTime stop_requested_at;
    MonotonicTime next_stop = InfinitePast();
    int throttle_percent = 100;  ///< last accepted by the worker
    bool throttle_pending = false;
    MonotonicTime next_throttle = InfinitePast();
    std::string checkpoint;
  };

  struct Tombstone {
    std::uint32_t share = 0;
    Offset offset = kNoOffset;
    Verdict verdict = Verdict::kNotRun;
  };

  /// Highest offsets of the pruned tombstones of a share.
  struct Floors {
    Offset any = kNoOffset;
    Offset ran = kNoOffset;  ///< of those that had run
  };

  /// What is known of an attempt that does not run any more.
  struct Past {
    RefusalReason reason = RefusalReason::kTombstone;
    Verdict verdict = Verdict::kNotRun;
  };

  struct Forgetting {
    bool pending = false;
    bool done = false;
    MonotonicTime done_at;
    MonotonicTime next = InfinitePast();
  };

  AttemptTableOptions m_options;
  WorkerLedger m_ledger;
  ConfigVersion m_config_version = 0;
  WorkerStanding m_standing;
  std::optional<FreshnessProof> m_proof;
  bool m_reconciled = false;
  std::string m_boot_id;
  MonotonicTime m_last_report = InfinitePast();
  // Ordered maps, so that equal inputs give equal commands in equal order.
  std::map<AttemptKey, Attempt> m_attempts;
  std::map<AttemptKey, EndedAttempt> m_ended;
  std::map<AttemptKey, Forgetting> m_forgetting;
  absl::flat_hash_map<AttemptKey, Tombstone> m_tombstones;
  std::map<std::uint32_t, std::set<std::pair<Offset, AttemptKey>>> m_tombstone_order;
  std::map<std::uint32_t, Floors> m_floors;
};

}  // namespace berylgauge
