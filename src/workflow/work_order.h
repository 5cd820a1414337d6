#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "base/enum_names.h"
#include "base/monotonic_time.h"
#include "workflow/job_definition.h"

namespace berylgauge::workflow {

struct WorkflowStep;

/// What the client of a step's job can still get.
enum class Prospect {
  kInTime,   ///< done within the objective, if its tasks begin now
  kLate,     ///< done within three times the objective, which still counts for something
  kExpired,  ///< later than that
};

inline constexpr auto kProspectNames = MakeEnumNames<Prospect>({
    {Prospect::kInTime, "in-time"},
    {Prospect::kLate, "late"},
    {Prospect::kExpired, "expired"},
});

/// Estimated durations of a job if nothing ever waits.
struct ChainTimes {
  absl::Duration whole;                    ///< of its longest chain of steps
  std::vector<absl::Duration> from_steps;  ///< by step: from its begin to the end of the longest chain after it
};

/// The chains by the declared durations, from which the objective is derived.
ChainTimes EstimateChains(const JobDefinition& job);

/// The chains by the given duration of each step.
ChainTimes EstimateChains(const JobDefinition& job, const std::vector<absl::Duration>& durations);

/// Time since a reading of the time of day, 0 if there is none (0). Clocks of entries may differ, so it is bounded.
absl::Duration AgeOf(std::int64_t begun_unix_ms, std::int64_t unix_now_ms);

Prospect ProspectOf(const WorkflowStep& step, MonotonicTime now);

/// Sorts steps that wait into the order in which they get room: by priority, then by prospect, then by deadline.
///
/// By deadline alone, jobs that can no longer be in time come first under overload and make the next ones late too.
void SortByUrgency(std::vector<WorkflowStep*>& steps, MonotonicTime now);

}  // namespace berylgauge::workflow
