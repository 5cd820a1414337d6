#pragma once

#include "base/enum_names.h"

namespace berylgauge::workflow {

/// Why a worker does not take one more task of a step at present.
enum class PlacementObstacle {
  kNone,
  kListMissing,  ///< its list of runs was not compared with the records yet
  kUnknownRun,   ///< a run of unknown size is being stopped there
  kNotReady,     ///< draining or gone
  kOtherService,
  kPaused,  ///< refused starts a moment ago
  kZoneEvacuated,
  kLabelMissing,
  kSpread,    ///< has as many tasks of the step as the job allows on one worker
  kRoom,      ///< memory, processors or accelerators
  kReserved,  ///< what is free is kept for short tasks
  kTooSlow,   ///< serving and filling tasks would leave too little of the processors
  kLateCall,  ///< a call for a former run of the task may be carried out yet
};

inline constexpr auto kPlacementObstacleNames = MakeEnumNames<PlacementObstacle>({
    {PlacementObstacle::kNone, "none"},
    {PlacementObstacle::kListMissing, "list-missing"},
    {PlacementObstacle::kUnknownRun, "unknown-run"},
    {PlacementObstacle::kNotReady, "not-ready"},
    {PlacementObstacle::kOtherService, "other-service"},
    {PlacementObstacle::kPaused, "paused"},
    {PlacementObstacle::kZoneEvacuated, "zone-evacuated"},
    {PlacementObstacle::kLabelMissing, "label-missing"},
    {PlacementObstacle::kSpread, "spread"},
    {PlacementObstacle::kRoom, "room"},
    {PlacementObstacle::kReserved, "reserved"},
    {PlacementObstacle::kTooSlow, "too-slow"},
    {PlacementObstacle::kLateCall, "late-call"},
});

}  // namespace berylgauge::workflow
