#pragma once

#include <absl/container/inlined_vector.h>
#include <absl/time/time.h>

#include <optional>
#include <string>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/resources.h"
#include "schedule/attempt_key.h"
#include "schedule/task_kind.h"

namespace berylgauge {

/// A task that needs a worker.
struct PlacementRequest {
  AttemptKey key;
  TeamId team;
  TaskKind kind = TaskKind::kBatch;
  ServiceId service;      ///< replicas of one service are spread; empty for batch
  std::string job_class;  ///< empty for none
  Resources resources;
  int importance = 0;                                        ///< higher is more important
  bool urgent = false;                                       ///< starts within 1.3 s, by eviction if necessary
  absl::Duration deadline_slack = absl::InfiniteDuration();  ///< time to the deadline beyond the expected run time
};

/// Why a task was placed where it is, or why it waits.
enum class PlacementReason {
  kPlaced,
  kPlacedByEviction,   ///< `evict` has to be stopped on the worker first
  kNoWorkers,          ///< no worker is known
  kNoOpenWorkers,      ///< all workers are drained, suspected or in quarantine
  kNoRoom,             ///< no open worker has room
  kAvoided,            ///< only workers that refused this task a moment ago have room
  kTeamQuota,          ///< the team has used up its quota
  kLargerThanWorkers,  ///< can never run: larger than every worker
  kLargerThanQuota,    ///< can never run: larger than the quota of the team
  kQuotaZero,          ///< can never run: the team has no quota for what the task needs
  kInvalidRequest,     ///< can never run: negative amounts
};

inline constexpr auto kPlacementReasonNames = MakeEnumNames<PlacementReason>({
    {PlacementReason::kPlaced, "placed"},
    {PlacementReason::kPlacedByEviction, "placed-by-eviction"},
    {PlacementReason::kNoWorkers, "no-workers"},
    {PlacementReason::kNoOpenWorkers, "no-open-workers"},
    {PlacementReason::kNoRoom, "no-room"},
    {PlacementReason::kAvoided, "avoided"},
    {PlacementReason::kTeamQuota, "team-quota"},
    {PlacementReason::kLargerThanWorkers, "larger-than-workers"},
    {PlacementReason::kLargerThanQuota, "larger-than-quota"},
    {PlacementReason::kQuotaZero, "quota-zero"},
    {PlacementReason::kInvalidRequest, "invalid-request"},
});

/// True for reasons that no waiting resolves, only a change of the configuration or new workers.
constexpr bool IsNever(PlacementReason reason) {
  return reason == PlacementReason::kLargerThanWorkers || reason == PlacementReason::kLargerThanQuota ||
         reason == PlacementReason::kQuotaZero || reason == PlacementReason::kInvalidRequest;
}

/// A worker that was compared, for `explain`.
struct PlacementCandidate {
  WorkerId worker;
  double score = 0;       ///< lower is better
  int zone_replicas = 0;  ///< replicas of the same service in the availability zone
  int rack_replicas = 0;
};

/// Result of `Placer::Place`.
struct PlacementDecision {
  PlacementReason reason = PlacementReason::kNoWorkers;
  WorkerId worker;                    ///< empty unless placed
  Incarnation agent_incarnation = 0;  ///< of the worker's agent
  Resources evict;                    ///< for `kPlacedByEviction`: what has to be freed on the worker
  absl::InlinedVector<PlacementCandidate, 4> candidates;

  bool placed() const { return reason == PlacementReason::kPlaced || reason == PlacementReason::kPlacedByEviction; }
};

}  // namespace berylgauge
