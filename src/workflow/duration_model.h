#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "workflow/duration_estimate.h"
#include "workflow/task_work.h"
#include "workflow/workflow_job.h"

namespace berylgauge::workflow {

/// Learns how long tasks take, because declared durations are wrong by large factors.
///
/// The estimate of a step is the weighted median of the work of its tasks, measured at the speed at which they ran, so
/// that neither throttled runs nor a minority of slow workers distort it. A step without enough of its own measurements
/// has the estimate of its image, and without one the declared duration. The estimates of images decay. Pure: the state
/// of a step is in the step (`StepDurations`, `TaskWork`).
class DurationModel {
 public:
  /// A worker has listed the present run of the task.
  void Observe(WorkflowStep& step, int index, const WorkListing& listing, MonotonicTime now);
  /// The present run has completed the task.
  void ObserveDone(WorkflowStep& step, int index, MonotonicTime now);

  /// Work of a typical task of the step.
  DurationEstimate WorkOf(const WorkflowStep& step, MonotonicTime now) const;
  /// Work that the task has still to do; the whole if it has no listed run. What the task has taken so far counts, but
  /// within the usual spread of the tasks of a step: a larger difference is attributed to its worker.
  DurationEstimate RemainingWorkOf(const WorkflowStep& step, int index, MonotonicTime now) const;
  /// Largest remaining work of the tasks of the step that are not done: its duration if all of them run now.
  absl::Duration LongestRemainingWork(const WorkflowStep& step, MonotonicTime now) const;
  /// Time until the present run of the task ends if it goes on at its present speed on its worker; at full speed
  /// before the worker has listed it.
  absl::Duration RemainingOf(const WorkflowStep& step, int index, MonotonicTime now) const;

 private:
  /// Decaying moments of the logarithm of a quantity.
  struct Moments {
    double weight = 0;
    double sum = 0;
    double squares = 0;

    void Decay(double kept);
    void Add(double value);
    double Mean() const { return sum / weight; }
    /// Standard deviation, drawn to that of declared durations while there are few values.
    double Spread() const;
  };

  /// What completed tasks of an image have taken.
  struct ImageDurations {
    Moments work;   ///< milliseconds
    Moments ratio;  ///< of the work to the declared duration; empty where none is declared
    MonotonicTime updated_at;
  };

  static void Refresh(WorkflowStep& step, MonotonicTime now);
  /// Share of the weight at `updated_at` that is left now.
  static double KeptSince(MonotonicTime updated_at, MonotonicTime now);
  void LearnImage(const WorkflowStep& step, absl::Duration work, MonotonicTime now);
  /// Makes room for another image. Returns false if all of them are in use.
  bool HasRoomForImage(MonotonicTime now);
  std::optional<DurationEstimate> ImageEstimate(const StepDefinition& definition, MonotonicTime now) const;
  static DurationEstimate RemainingWork(const WorkflowStep& step, int index, const DurationEstimate& whole);

  absl::flat_hash_map<std::string, ImageDurations> m_images;
};

}  // namespace berylgauge::workflow
