#pragma once

#include "base/enum_names.h"

namespace berylgauge::workflow {

/// How far a job is, as clients see it.
enum class JobPhase { kQueued, kRunning, kDone, kFailed, kCancelled };

inline constexpr auto kJobPhaseNames = MakeEnumNames<JobPhase>({
    {JobPhase::kQueued, "queued"},
    {JobPhase::kRunning, "running"},
    {JobPhase::kDone, "done"},
    {JobPhase::kFailed, "failed"},
    {JobPhase::kCancelled, "cancelled"},
});

inline bool IsFinal(JobPhase phase) { return phase != JobPhase::kQueued && phase != JobPhase::kRunning; }

}  // namespace berylgauge::workflow
