#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/enum_names.h"
#include "base/ids.h"

namespace berylgauge {

class JsonObjectReader;

enum class TaskState {
  kWaiting,  ///< may be placed
  kPlaced,   ///< an attempt is bound to a worker; it may run
  kRunning,  ///< the agent has reported the start
  kSucceeded,
  kParked,  ///< will not be tried again; `Task::detail` gives the evidence
  kCancelled,
};

inline constexpr auto kTaskStateNames = MakeEnumNames<TaskState>({
    {TaskState::kWaiting, "waiting"},
    {TaskState::kPlaced, "placed"},
    {TaskState::kRunning, "running"},
    {TaskState::kSucceeded, "succeeded"},
    {TaskState::kParked, "parked"},
    {TaskState::kCancelled, "cancelled"},
});

/// How an attempt ended. Each value is proof that the attempt does not run any more.
enum class AttemptOutcome {
  kSucceeded,
  kFailed,
  kStopped,  ///< evicted or drained; resumes from its checkpoint
  kNotRun,   ///< refused or withdrawn before it started
  kLost,     ///< ended with its worker, or after the outage grace
};

inline constexpr auto kAttemptOutcomeNames = MakeEnumNames<AttemptOutcome>({
    {AttemptOutcome::kSucceeded, "succeeded"},
    {AttemptOutcome::kFailed, "failed"},
    {AttemptOutcome::kStopped, "stopped"},
    {AttemptOutcome::kNotRun, "not-run"},
    {AttemptOutcome::kLost, "lost"},
});

/// One task of a job as the log tells it.
struct Task {
  TaskState state = TaskState::kWaiting;
  AttemptNumber attempt = 0;  ///< number of the newest attempt; 0 if there was none
  WorkerId worker;            ///< of the newest attempt
  AvailabilityZoneId availability_zone;
  Incarnation agent_incarnation = 0;
  Offset placed_at = kNoOffset;
  std::string checkpoint;  ///< newest complete checkpoint
  std::uint32_t failures = 0;
  std::uint32_t evictions = 0;
  std::string reason;  ///< why it is where it is
  std::string detail;  ///< of the last failure

  bool HasLiveAttempt() const { return state == TaskState::kPlaced || state == TaskState::kRunning; }
  bool IsFinal() const {
    return state == TaskState::kSucceeded || state == TaskState::kParked || state == TaskState::kCancelled;
  }
  nlohmann::json ToJson() const;
};

Task ReadTask(JsonObjectReader reader);

/// "JOB/INDEX"
TaskId MakeTaskId(const JobId& job, std::size_t index);

/// Splits a task id; returns false if it has no valid index.
bool ParseTaskId(const TaskId& task, JobId* job, std::size_t* index);

}  // namespace berylgauge
