#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "workflow/interference_table.h"

namespace berylgauge::workflow {

struct PaceOptions {
  /// Time between two changes: the platform measures over half a second.
  absl::Duration interval = absl::Milliseconds(450);
  /// Tail latency of a serving task, as a share of its target, above which the tasks that disturb it are slowed, and to
  /// which they are slowed.
  double slow_above = 0.88;
  double slow_to = 0.75;
  /// Share of the target below which disturbing tasks are sped up; half of the room up to it is used in one interval.
  double speed_up_below = 0.75;
  double used_room = 0.5;
  /// Factor on all tasks that fill when a target is missed and the known disturbance does not explain it.
  double unexplained_factor = 0.5;
  /// Decisions in a row with a missed target after which the estimates are no longer trusted: all filling tasks are
  /// slowed by the factor, and later stopped. The second bound leaves half of the 4 s for which a target may be missed.
  int slow_all_after = 2;
  int stop_all_after = 4;
  /// A disturbance of this many milliseconds at full pace is not worth pacing.
  double harmless_ms = 1.5;
  /// Paces below this are rounded to 0, and changes below the step are not sent.
  int lowest_percent = 8;
  int step_percent = 5;
};

/// What the worker measures of one run.
struct MeasuredRun {
  std::string task;
  int run = 0;
  std::string image;
  bool fills_idle_cpu = false;
  int tail_target_ms = 0;       ///< 0 for a run that serves nobody
  std::int64_t measured = 0;    ///< tail latency in ms of a serving run, else thousandths of a core in use
  std::int64_t demand_cpu = 0;  ///< thousandths of a core
};

struct PaceChange {
  std::string task;
  int run = 0;
  int percent = 100;

  friend bool operator==(const PaceChange&, const PaceChange&) = default;
};

/// Slows the tasks of one worker that fill idle processors, so that the serving tasks beside them meet their targets.
///
/// A serving task that nears its target has the tasks slowed that disturb it most by the learnt interference; the
/// others keep their pace. What the estimates do not explain slows all of them. From full pace to a standstill takes a
/// few intervals, which is under the time for which a target may be missed (4 s).
class PaceController {
 public:
  explicit PaceController(const PaceOptions& options = {}) : m_options(options) {}

  /// Changes to be sent for the runs that are listed now.
  std::vector<PaceChange> Decide(const std::vector<MeasuredRun>& runs, const InterferenceTable& interference,
                                 MonotonicTime now);

  /// Pace for a filling task that has just started beside `runs`, so that it does not disturb them until the first
  /// figures. Full pace if nothing needs to be sent.
  PaceChange DecideStart(const MeasuredRun& filler, const std::vector<MeasuredRun>& runs,
                         const InterferenceTable& interference);

  /// The call for this change failed; it is decided again.
  void ForgetChange(const std::string& task);

 private:
  struct Filler {
    const MeasuredRun* run = nullptr;
    double share = 1;       ///< pace, 0 to 1
    double full_cores = 0;  ///< in use at full pace
    bool slowed = false;    ///< in this decision
  };
  struct State {
    int run = 0;
    double share = 1;
    int sent_percent = 100;
    double full_cores = 0;
  };

  std::vector<Filler> TakeFillers(const std::vector<MeasuredRun>& runs);
  void SlowFor(const MeasuredRun& serving, std::vector<Filler>& fillers, const InterferenceTable& interference) const;
  void SlowAll(int missed, std::vector<Filler>& fillers) const;
  int CountMisses(const std::vector<const MeasuredRun*>& serving);
  void SpeedUp(std::vector<Filler>& fillers, const std::vector<const MeasuredRun*>& serving,
               const InterferenceTable& interference) const;

  PaceOptions m_options;
  MonotonicTime m_decided_at = InfinitePast();
  absl::flat_hash_map<std::string, State> m_states;  ///< by filling task
  absl::flat_hash_map<std::string, int> m_misses;    ///< decisions in a row with a missed target, by serving task
};

}  // namespace berylgauge::workflow
