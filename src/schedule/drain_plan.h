#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/resources.h"
#include "schedule/attempt_key.h"
#include "schedule/task_kind.h"

namespace berylgauge {

/// An attempt that runs, as the planner needs it.
struct RunningAttempt {
  AttemptKey key;
  WorkerId worker;
  TaskKind kind = TaskKind::kBatch;
  ServiceId service;      ///< empty for batch
  std::string job_class;  ///< empty for none
  TeamId team;
  Resources booked;
  int importance = 0;
  absl::Duration since_checkpoint = absl::ZeroDuration();  ///< work that is lost if no checkpoint can be taken
};

/// What is taken out of service: an availability zone or a worker; the other one is empty.
struct DrainTarget {
  AvailabilityZoneId zone;
  WorkerId worker;
};

enum class DrainStepKind {
  kEvict,         ///< checkpoint and stop a batch attempt on a survivor, to make room for a service
  kStartReplica,  ///< start a new replica of a service on `to`
  kStopReplica,   ///< stop the old replica once the new one is ready
  kMove,          ///< checkpoint and stop a batch attempt, then start its successor on `to`
  kHold,          ///< checkpoint and stop a batch attempt; its successor waits for room
  kStopUnmet,     ///< stop a service replica that has no other place, at the end
};

inline constexpr auto kDrainStepKindNames = MakeEnumNames<DrainStepKind>({
    {DrainStepKind::kEvict, "evict"},
    {DrainStepKind::kStartReplica, "start-replica"},
    {DrainStepKind::kStopReplica, "stop-replica"},
    {DrainStepKind::kMove, "move"},
    {DrainStepKind::kHold, "hold"},
    {DrainStepKind::kStopUnmet, "stop-unmet"},
});

/// One thing to do. Steps of one wave may run at the same time; a step begins once the steps in `after` are complete.
struct DrainStep {
  DrainStepKind kind = DrainStepKind::kHold;
  AttemptKey key;
  WorkerId from;
  WorkerId to;  ///< empty for steps that only stop
  std::size_t wave = 0;
  std::vector<std::size_t> after;  ///< positions of earlier steps
};

/// Why something cannot be met.
enum class DrainUnmetReason {
  kNoSurvivors,         ///< no open worker is left
  kLargerThanSurvivor,  ///< larger than every worker that is left
  kNoRoom,              ///< services fill the workers that are left
  kSpreadReduced,       ///< the replica has a place, but fewer availability zones than before hold the service
};

inline constexpr auto kDrainUnmetReasonNames = MakeEnumNames<DrainUnmetReason>({
    {DrainUnmetReason::kNoSurvivors, "no-survivors"},
    {DrainUnmetReason::kLargerThanSurvivor, "larger-than-survivor"},
    {DrainUnmetReason::kNoRoom, "no-room"},
    {DrainUnmetReason::kSpreadReduced, "spread-reduced"},
});

struct DrainUnmet {
  AttemptKey key;
  DrainUnmetReason reason = DrainUnmetReason::kNoRoom;
};

/// Result of `DrainPlanner::Plan`. `steps` is an order in which they can be carried out without exceeding the capacity
/// of any worker at any time.
struct DrainPlan {
  std::vector<DrainStep> steps;
  std::vector<AttemptKey> moves;      ///< run elsewhere directly
  std::vector<AttemptKey> evictions;  ///< stopped on a survivor to make room
  std::vector<AttemptKey> waiting;    ///< checkpointed, then wait for room
  std::vector<DrainUnmet> unmet;
  std::size_t waves = 0;
  absl::Duration duration = absl::ZeroDuration();   ///< at the planned pace, if every step is in time
  absl::Duration lost_work = absl::ZeroDuration();  ///< at most; less by what the checkpoints save
};

}  // namespace berylgauge
