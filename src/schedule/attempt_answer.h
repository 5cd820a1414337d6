#pragma once

#include <string>

#include "base/enum_names.h"
#include "base/verdict.h"

namespace berylgauge {

/// What the agent answers to a command of an owner.
enum class AnswerKind {
  kStarted,   ///< admitted now; the start is passed to the worker
  kRunning,   ///< already admitted and not ended
  kStopping,  ///< a stop is under way
  kNotRun,    ///< it was not run and never will be
  kEnded,     ///< it has ended
  kRefused,   ///< see the reason and the verdict
};

inline constexpr auto kAnswerKindNames = MakeEnumNames<AnswerKind>({
    {AnswerKind::kStarted, "started"},
    {AnswerKind::kRunning, "running"},
    {AnswerKind::kStopping, "stopping"},
    {AnswerKind::kNotRun, "not-run"},
    {AnswerKind::kEnded, "ended"},
    {AnswerKind::kRefused, "refused"},
});

/// Why the agent refused a command.
enum class RefusalReason {
  kNone,
  kInvalidCommand,
  kWrongWorker,
  kWrongIncarnation,
  kNotReconciled,  ///< the agent has not yet seen the worker's task list after its start
  kStaleProof,
  kZoneDrained,
  kWorkerDrained,
  kWorkerRevoked,
  kConfigVersionAhead,  ///< the owner knows a configuration that the agent does not know yet
  kNoRoom,
  kTombstone,   ///< refused, withdrawn or ended before
  kBelowFloor,  ///< placed before the latest tombstone that was pruned
};

inline constexpr auto kRefusalReasonNames = MakeEnumNames<RefusalReason>({
    {RefusalReason::kNone, "none"},
    {RefusalReason::kInvalidCommand, "invalid-command"},
    {RefusalReason::kWrongWorker, "wrong-worker"},
    {RefusalReason::kWrongIncarnation, "wrong-incarnation"},
    {RefusalReason::kNotReconciled, "not-reconciled"},
    {RefusalReason::kStaleProof, "stale-proof"},
    {RefusalReason::kZoneDrained, "zone-drained"},
    {RefusalReason::kWorkerDrained, "worker-drained"},
    {RefusalReason::kWorkerRevoked, "worker-revoked"},
    {RefusalReason::kConfigVersionAhead, "config-version-ahead"},
    {RefusalReason::kNoRoom, "no-room"},
    {RefusalReason::kTombstone, "tombstone"},
    {RefusalReason::kBelowFloor, "below-floor"},
});

/// Answer to a start, withdraw or stop command.
///
/// A refusal with `Verdict::kNotRun` is final: the attempt is kept as a tombstone and never starts here.
struct AttemptAnswer {
  AnswerKind kind = AnswerKind::kRefused;
  RefusalReason reason = RefusalReason::kNone;
  Verdict verdict = Verdict::kNotRun;
  std::string detail;  ///< for `kNoRoom` the name of the amount that lacks
};

}  // namespace berylgauge
