#pragma once

#include <absl/time/time.h>

#include <optional>

#include "base/monotonic_time.h"

namespace berylgauge::workflow {

/// What one list of a worker says of the progress of a run.
struct WorkListing {
  int percent = 0;              ///< of the task's work
  std::optional<double> speed;  ///< share of full speed in the last half second; nothing before the first figure
  MonotonicTime at;             ///< time of the list
};

/// Measured work of one task.
///
/// Work is counted as time at full speed, from the first list of a run on, and credited when the percentage advances.
/// The time before the first advance is left out: it includes the start and the restoration of the checkpoint.
class TaskWork {
 public:
  void Observe(const WorkListing& listing);
  /// The present run has completed the task.
  void ObserveDone(MonotonicTime at);
  /// The present run is over or goes on in another life; the next one counts from its own first list.
  void EndRun();

  /// Measured work over all runs, and the part of the task that it completed; above 1 if work was repeated.
  absl::Duration done() const { return m_done; }
  double share() const { return m_share; }
  /// Work that the task takes at least on its worker, by what the present run has used without completing more. Also
  /// known for a run that makes hardly any progress, whose share says nothing yet.
  absl::Duration LeastWork() const;
  bool has_run() const { return m_run.has_value(); }
  /// Time of the newest list of the present run; `InfinitePast()` if it has not been listed.
  MonotonicTime listed_at() const { return m_run ? m_run->listed_at : InfinitePast(); }

 private:
  struct Run {
    int first_percent = 0;
    int percent = 0;         ///< up to which work is credited
    absl::Duration pending;  ///< work since then
    MonotonicTime counted_until;
    MonotonicTime listed_at;
    absl::Duration before_progress;  ///< work before the percentage first advanced
    std::optional<double> speed;     ///< newest figure
  };

  static Run Begin(const WorkListing& listing);

  absl::Duration m_done;
  double m_share = 0;
  std::optional<Run> m_run;
};

}  // namespace berylgauge::workflow
