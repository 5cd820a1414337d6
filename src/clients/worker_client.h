#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"

namespace berylgauge {

enum class WorkerTaskState {
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,       ///< stopped on request; the checkpoint, if any, is complete
  kLeaseExpired,  ///< stopped by the worker because its lease was not renewed
};

inline constexpr auto kWorkerTaskStateNames = MakeEnumNames<WorkerTaskState>({
    {WorkerTaskState::kRunning, "running"},
    {WorkerTaskState::kSucceeded, "succeeded"},
    {WorkerTaskState::kFailed, "failed"},
    {WorkerTaskState::kStopped, "stopped"},
    {WorkerTaskState::kLeaseExpired, "lease-expired"},
});

/// What the worker needs to run one attempt of a task.
struct WorkerStartOptions {
  TaskId task;
  AttemptNumber attempt = 0;
  Resources resources;
  absl::Duration lease = absl::ZeroDuration();  ///< the worker stops the task if the lease is not renewed in time
  std::string command;                          ///< passed on unread
  std::string checkpoint;                       ///< id of the checkpoint to resume from; empty for a fresh run
};

/// One attempt as the worker reports it.
struct WorkerTask {
  TaskId task;
  AttemptNumber attempt = 0;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Resources declared;
  Resources observed;      ///< measured use; lags behind
  std::string checkpoint;  ///< id of the newest complete checkpoint; empty if there is none
  std::string detail;      ///< reason of a failure
};

/// The worker's own account of itself.
struct WorkerReport {
  std::string boot_id;  ///< changes whenever the worker restarts; tasks of earlier boots have ended
  Resources capacity;
  std::vector<WorkerTask> tasks;  ///< running, and ended ones that were not forgotten
};

/// A worker of the platform. All calls block for at most `timeout`.
class WorkerClient {
 public:
  virtual ~WorkerClient() = default;

  /// Starts an attempt. Repeating a start of a known (task, attempt) changes nothing and succeeds.
  virtual Result<void> Start(const WorkerStartOptions& options, absl::Duration timeout) = 0;

  /// Extends the lease of a running attempt to `lease` from now.
  virtual Result<void> Renew(const TaskId& task, AttemptNumber attempt, absl::Duration lease,
                             absl::Duration timeout) = 0;

  /// Stops an attempt, after a checkpoint if `with_checkpoint`. Completion shows in `Report`.
  virtual Result<void> Stop(const TaskId& task, AttemptNumber attempt, bool with_checkpoint,
                            absl::Duration timeout) = 0;

  /// Limits an attempt to `percent` (1 to 100) of its processors.
  virtual Result<void> Throttle(const TaskId& task, AttemptNumber attempt, int percent, absl::Duration timeout) = 0;

  /// Removes an ended attempt from the report.
  virtual Result<void> Forget(const TaskId& task, AttemptNumber attempt, absl::Duration timeout) = 0;

  virtual Result<WorkerReport> Report(absl::Duration timeout) = 0;
};

}  // namespace berylgauge
