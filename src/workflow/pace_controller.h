#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_time.h"

namespace berylgauge::workflow {

struct PaceOptions {
  /// Time between two changes: the platform measures over half a second and a new pace takes 100 ms to show.
  absl::Duration interval = absl::Milliseconds(600);
  /// Tail latency of a serving task, as a share of its target, from which filling tasks are slowed.
  double slow_above = 0.9;
  /// Share of the target below which filling tasks are sped up again.
  double speed_up_below = 0.7;
  /// Factor of the pace when a target is missed or nearly missed.
  double missed_factor = 0.5;
  double near_factor = 0.8;
  int speed_up_step = 10;  ///< percent added in one interval
  /// Below this pace filling tasks are stopped altogether, because they only hold memory.
  int lowest_percent = 15;
};

/// What the worker measures of one run.
struct MeasuredRun {
  std::string task;
  int run = 0;
  bool fills_idle_cpu = false;
  int tail_target_ms = 0;     ///< 0 for a run that serves nobody
  std::int64_t measured = 0;  ///< tail latency in ms of a serving run
};

struct PaceChange {
  std::string task;
  int run = 0;
  int percent = 100;

  friend bool operator==(const PaceChange&, const PaceChange&) = default;
};

/// Slows the tasks of one worker that fill idle processors, so that the serving tasks beside them meet their targets.
///
/// Additive increase, multiplicative decrease on the worst ratio of tail latency to target. From full pace to a
/// standstill takes four intervals, which is under the time for which a target may be missed (4 s).
class PaceController {
 public:
  explicit PaceController(const PaceOptions& options = {}) : m_options(options) {}

  /// Changes to be sent for the runs that are listed now.
  std::vector<PaceChange> Decide(const std::vector<MeasuredRun>& runs, MonotonicTime now);

  /// The call for this change failed; it is decided again.
  void ForgetChange(const std::string& task) { m_applied.erase(task); }

  int percent() const { return m_percent; }

 private:
  void Adjust(const std::vector<MeasuredRun>& runs, MonotonicTime now);

  PaceOptions m_options;
  int m_percent = 100;
  MonotonicTime m_adjusted_at = InfinitePast();
  absl::flat_hash_map<std::string, std::pair<int, int>> m_applied;  ///< run and percent by task
};

}  // namespace berylgauge::workflow
