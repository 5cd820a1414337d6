#pragma once

#include <cstdint>

namespace berylgauge::workflow {

/// What one list of a worker tells of a run.
struct RunSample {
  int run = 0;
  bool is_resumed = false;            ///< started from a checkpoint
  int percent = 0;                    ///< of its work
  double speed = 0;                   ///< processor time of the last half second as a share of the demand
  std::int64_t clock_ms = 0;          ///< worker's clock as of the list
  std::int64_t started_clock_ms = 0;  ///< worker's clock at the start of the run
};

/// What the present run of a task has achieved, by the clock of its worker.
///
/// It is not stored: a new owner counts from the first list that it sees.
struct RunPace {
  int run = 0;  ///< to which the figures belong; 0 before the first sample
  int first_percent = 0;
  int percent = 0;
  double speed = 0;           ///< newest, as a share of full speed
  double work_ms = 0;         ///< processor time since `since_ms`, as time at full speed
  std::int64_t since_ms = 0;  ///< worker's clock where counting began: the first list that has the run
  std::int64_t clock_ms = 0;  ///< worker's clock as of the newest sample
  std::int64_t age_ms = 0;    ///< from the start of the run to the newest sample
  double task_work_ms = 0;    ///< work of the whole task at full speed as measured; 0 if unknown; outlives the run
  bool is_resumed = false;
  int moves = 0;  ///< runs of the task that were stopped to run elsewhere

  void Observe(const RunSample& sample);

  double Done() const { return percent / 100.0; }
  double Gained() const { return (percent - first_percent) / 100.0; }
  double ElapsedMs() const { return static_cast<double>(clock_ms - since_ms); }
  /// Whether the figures describe the run rather than its start.
  bool IsSettled() const;
  /// Whether the run has done nothing since its start, although it would have its first figures by now.
  bool StandsStill() const;
};

}  // namespace berylgauge::workflow
