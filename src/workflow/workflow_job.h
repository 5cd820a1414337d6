#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "workflow/job_definition.h"
#include "workflow/job_phase.h"
#include "workflow/locality_wait.h"
#include "workflow/serving_load.h"
#include "workflow/step_progress.h"
#include "workflow/task_name.h"

namespace berylgauge::workflow {

/// How far the present run of a placed task is known.
enum class RunStage {
  kNone,
  kRecording,  ///< its placement is not durable; nothing was sent
  kStarting,   ///< the start was sent and is not answered
  kRunning,
  kUnknown,      ///< placed by a former owner and not seen yet
  kCarriedOver,  ///< placed in the worker's former life; the first lists of the present one tell whether it is there
  kStopping,     ///< a stop was ordered; its end or its absence will be reported
};

/// What the owner knows of a task beyond its record.
struct TaskRuntime {
  RunStage stage = RunStage::kNone;
  bool has_begun = false;                           ///< a worker has shown that the present run is or was there
  bool is_start_settled = false;                    ///< every call of the start was answered; see `StartAnswer`
  bool is_order_answered = false;                   ///< the agent makes no further call of the start
  int start_repeats = 0;                            ///< further orders of the start after one without an answer
  MonotonicTime ordered_at;                         ///< when its start was sent last, by any owner, at the latest
  MonotonicTime started_at;                         ///< when the start was answered
  std::int64_t started_clock_ms = 0;                ///< worker's clock at that time
  MonotonicTime stopping_since = InfiniteFuture();  ///< first report after a stop was ordered
  MonotonicTime waiting_since;     ///< end of the newest run that has begun, or when the task's turn came
  MonotonicTime not_before;        ///< earliest time of the next run
  std::vector<std::string> avoid;  ///< workers on which it failed
  std::string checkpoint;          ///< newest that the worker listed for the present run
  int percent = 0;                 ///< of its work, as listed last
  std::int64_t measured = 0;
  LocalityWait locality;  ///< what was decided of its rack
};

struct WorkflowJob;

/// A run that was listed as being at work counts as such for this long: the lists of a worker that reports are at most
/// 1.9 s apart (0.9 s between two calls, each held for up to 1 s).
inline constexpr absl::Duration kListValidity = absl::Seconds(2);

/// A start without an answer for this long no longer promises a run. An answer usually takes under 20 ms.
inline constexpr absl::Duration kStartValidity = absl::Milliseconds(300);

/// A job with this many tasks that wait gets further occurrences only one by one, so that one call creates, and one
/// pass of placement looks at, a bounded number. More than the 4,000 tasks that one step may have.
inline constexpr int kMostWaitingTasks = 10'000;

/// The tasks of one step in one occurrence.
struct WorkflowStep {
  WorkflowJob* job = nullptr;
  std::int64_t occurrence = 0;
  int number = 0;
  const StepDefinition* definition = nullptr;
  std::vector<TaskProgress> tasks;
  std::vector<TaskRuntime> runtimes;
  int done = 0;              ///< tasks in state done
  bool ready = false;        ///< all steps that it comes after are done
  bool changed = false;      ///< its record must be written
  std::string name;          ///< StepName as text
  int failed_gang_run = 0;   ///< newest run of the gang whose failure was counted
  MonotonicTime deadline;    ///< objective of the occurrence
  MonotonicTime late_until;  ///< after this the occurrence counts for nothing
  absl::Duration remaining;  ///< estimate from the begin of this step to the end of the occurrence
  ServingLoad serving_load;  ///< of its tasks, if they serve

  bool IsDone() const { return done == static_cast<int>(tasks.size()); }
  std::string TaskNameOf(int index) const { return name + "." + std::to_string(index); }
  /// Index of the task that waits longest; the first one if none waits.
  std::size_t LongestWaitingTask() const {
    std::size_t longest = 0;
    MonotonicTime since = InfiniteFuture();
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      if (tasks[i].state != TaskState::kWaiting || runtimes[i].waiting_since >= since) continue;
      since = runtimes[i].waiting_since;
      longest = i;
    }
    return longest;
  }
  bool HasWaitingTask() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const TaskProgress& task) { return task.state == TaskState::kWaiting; });
  }
  /// When a task of the step has waited for `patience` and its job has nothing at work, by what is known now; a time
  /// that is still to come may be too early. Further runs of a job may wait while it makes progress; a task that lasts
  /// must run whatever the others do.
  MonotonicTime PatienceEnds(absl::Duration patience, MonotonicTime now) const;
};

/// A job that the owner schedules.
struct WorkflowJob {
  JobDefinition definition;
  JobPhase phase = JobPhase::kQueued;
  bool phase_changed = false;  ///< its summary must be written
  MonotonicTime accepted_at;
  std::int64_t next_occurrence = 0;
  int waiting = 0;                              ///< tasks that wait for a run or for their turn
  int placed = 0;                               ///< tasks of which a run may exist
  MonotonicTime last_at_work = InfinitePast();  ///< when a run of it was last known to be at work
  MonotonicTime last_placed = InfinitePast();   ///< when a task was placed that has not been given up before its begin
  std::map<std::int64_t, std::vector<std::unique_ptr<WorkflowStep>>> occurrences;

  /// Until when a run of the job counts as being at work, by what is known now. A run that is only recorded does not
  /// count: its worker may be silent, its start lost or its pace 0.
  MonotonicTime AtWorkUntil() const {
    if (placed == 0) return InfinitePast();
    return std::max(last_at_work + kListValidity, last_placed + kStartValidity);
  }

  /// Whether one more occurrence may be created. Where many tasks wait, its first steps would wait if those of the
  /// newest occurrence do.
  bool TakesOccurrence() const {
    if (waiting < kMostWaitingTasks) return true;
    const std::vector<std::unique_ptr<WorkflowStep>>& newest = occurrences.rbegin()->second;
    return std::none_of(newest.begin(), newest.end(), [](const std::unique_ptr<WorkflowStep>& step) {
      return step->definition->after.empty() && step->HasWaitingTask();
    });
  }

  /// A job that is done, failed or cancelled gets no further runs.
  bool TakesRuns() const { return !IsFinal(phase); }
};

inline MonotonicTime WorkflowStep::PatienceEnds(absl::Duration patience, MonotonicTime now) const {
  const MonotonicTime at_work_until = definition->long_running ? InfinitePast() : job->AtWorkUntil();
  if (at_work_until > now) return at_work_until;  // spares the search for the task that waits longest
  return std::max(at_work_until, runtimes[LongestWaitingTask()].waiting_since + patience);
}

}  // namespace berylgauge::workflow
