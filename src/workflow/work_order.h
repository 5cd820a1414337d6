#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <span>
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

/// A job without a run that has waited this long for room has aged. Far above the objectives of jobs that take seconds,
/// so that those in time are rarely delayed, and well under the time for which clients follow a job.
inline constexpr absl::Duration kAgedAfter = absl::Seconds(20);
/// Other tasks that are placed for each task that is placed because its job has aged. With a larger share (one whole
/// job in 2 s), a backlog of jobs that count for nothing any more took half of a small fleet.
inline constexpr std::uint64_t kPlacementsPerAged = 10;

/// Whether the job of a step that waits has had no run for `kAgedAfter`. Tasks that last have their own bounds.
bool IsAged(const WorkflowStep& step, MonotonicTime now);

enum class AgedFirst { kNo, kYes };

/// Sorts steps that wait into the order in which they get room: by priority, then by prospect, then by what is lacking:
/// steps that have begun and lack few tasks, other steps of jobs that have begun, those of jobs that have not. Then
/// jobs in time come by remaining work, the shortest first, and others by deadline.
///
/// By deadline alone, jobs that can no longer be in time come first under overload and make the next ones late too. A
/// step ends with its last task, so few jobs done completely count for more than many in part.
///
/// With `kYes`, aged steps come first within their priority, the one that has waited longest before others. The caller
/// asks for it after `kPlacementsPerAged` other placements for each task that it has placed so. This bounds the wait of
/// every job: once it has aged, it is overtaken by at most so many tasks of its priority for each of its own tasks and
/// of those of jobs that have waited longer.
void SortByUrgency(std::span<WorkflowStep*> steps, AgedFirst aged, MonotonicTime now);

}  // namespace berylgauge::workflow
