#pragma once

#include <string>

#include "base/enum_names.h"
#include "base/ids.h"

namespace berylgauge {

/// State of an attempt that occupies capacity of a worker.
enum class ReportedAttemptState {
  kStarting,  ///< admitted; the start command to the worker has not been answered
  kRunning,
  kStopping,  ///< a checkpoint or a stop was requested
};

inline constexpr auto kReportedAttemptStateNames = MakeEnumNames<ReportedAttemptState>({
    {ReportedAttemptState::kStarting, "starting"},
    {ReportedAttemptState::kRunning, "running"},
    {ReportedAttemptState::kStopping, "stopping"},
});

/// How an attempt ended.
enum class ReportedAttemptOutcome {
  kSucceeded,
  kFailed,
  kStopped,       ///< stopped on request
  kLeaseExpired,  ///< stopped by the worker because its lease was not renewed
  kNotRun,        ///< withdrawn or refused before it started
  kWorkerLost,    ///< the worker has a new boot id, so everything of the earlier boot has ended
};

inline constexpr auto kReportedAttemptOutcomeNames = MakeEnumNames<ReportedAttemptOutcome>({
    {ReportedAttemptOutcome::kSucceeded, "succeeded"},
    {ReportedAttemptOutcome::kFailed, "failed"},
    {ReportedAttemptOutcome::kStopped, "stopped"},
    {ReportedAttemptOutcome::kLeaseExpired, "lease-expired"},
    {ReportedAttemptOutcome::kNotRun, "not-run"},
    {ReportedAttemptOutcome::kWorkerLost, "worker-lost"},
});

/// An attempt that runs on a worker, as its agent reports it.
struct RunningAttemptReport {
  TaskId task;
  AttemptNumber attempt = 0;
  ReportedAttemptState state = ReportedAttemptState::kRunning;

  bool operator==(const RunningAttemptReport&) const = default;
};

/// An attempt that ended, reported until an entry acknowledges it.
struct EndedAttemptReport {
  TaskId task;
  AttemptNumber attempt = 0;
  Incarnation agent_incarnation = 0;  ///< incarnation of the agent that admitted the attempt
  ReportedAttemptOutcome outcome = ReportedAttemptOutcome::kFailed;
  std::string checkpoint;  ///< id of the newest complete checkpoint; empty if there is none
  std::string detail;      ///< reason of a failure, at most `kMaxDetailBytes`

  bool operator==(const EndedAttemptReport&) const = default;
};

/// Names an attempt whose end an entry has recorded.
struct AttemptAcknowledgement {
  TaskId task;
  AttemptNumber attempt = 0;

  bool operator==(const AttemptAcknowledgement&) const = default;
};

}  // namespace berylgauge
