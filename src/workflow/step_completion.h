#pragma once

#include <absl/time/time.h>

#include <vector>

#include "base/enum_names.h"
#include "workflow/run_pace.h"

namespace berylgauge::workflow {

/// What happens to a run that may be a straggler of its step.
enum class StragglerAction {
  kLeave,
  kMove,     ///< stopped, and started elsewhere from its checkpoint
  kRestart,  ///< stopped, and started elsewhere from the beginning
};

inline constexpr auto kStragglerActionNames = MakeEnumNames<StragglerAction>({
    {StragglerAction::kLeave, "leave"},
    {StragglerAction::kMove, "move"},
    {StragglerAction::kRestart, "restart"},
});

/// Why a run is left where it is, or not.
enum class StragglerReason {
  kGain,         ///< its step ends earlier
  kNotDeciding,  ///< its step would not end earlier
  kTooYoung,     ///< too few figures
  kSmallGain,    ///< less than the cost
};

inline constexpr auto kStragglerReasonNames = MakeEnumNames<StragglerReason>({
    {StragglerReason::kGain, "gain"},
    {StragglerReason::kNotDeciding, "not-deciding"},
    {StragglerReason::kTooYoung, "too-young"},
    {StragglerReason::kSmallGain, "small-gain"},
});

struct StepCompletionOptions {
  /// Time from the order to stop until the run goes on elsewhere: 300 ms to stop and place, 600 ms to restore.
  absl::Duration move_cost = absl::Milliseconds(900);
  absl::Duration restart_cost = absl::Milliseconds(300);
  /// Least gain of the step, doubled for each earlier move of the task, because figures that misled once may mislead
  /// again.
  absl::Duration least_gain = absl::Milliseconds(800);
  /// The same for the run that ends last: nothing else of its step is left to wait for.
  absl::Duration least_gain_of_last = absl::Milliseconds(400);
  /// Weight of work that is discarded, because it takes processors that other work could use.
  double discarded_weight = 0.5;
};

/// A task of a step that is not done.
struct OpenTask {
  int index = 0;
  bool is_running = false;  ///< otherwise it waits, or its run has not begun
  RunPace pace;
};

struct StragglerDecision {
  StragglerAction action = StragglerAction::kLeave;
  StragglerReason reason = StragglerReason::kNotDeciding;
  absl::Duration remaining;  ///< where it runs
  absl::Duration elsewhere;  ///< until its end if it is stopped now
  absl::Duration gain;       ///< by which its step ends earlier
  absl::Duration required;   ///< least gain for which it is stopped
};

/// Estimates when the tasks of one step end, and decides which of them are worth stopping for the sake of the step.
/// Pure: it depends on its arguments only.
class StepCompletion {
 public:
  /// `expected_work`: of one task at full speed, before anything is known of the step's own tasks. `measured_work_ms`:
  /// of those tasks of the step, done or open, of which it is known. `destination_speed`: share of full speed that the
  /// best other worker offers, above 0.
  StepCompletion(const StepCompletionOptions& options, bool saves_progress, absl::Duration expected_work,
                 std::vector<double> measured_work_ms, std::vector<OpenTask> open, double destination_speed);

  /// Work of a typical task of the step at full speed.
  absl::Duration TypicalWork() const { return absl::Milliseconds(m_typical_ms); }
  /// Time until the run ends where it is. For a task that waits: if it began now elsewhere.
  absl::Duration Remaining(const OpenTask& task) const;
  /// Whether the run is slower than its processor time explains, by what the other tasks of the step show.
  bool IsOnSlowWorker(const OpenTask& task) const;

  /// Runs that decide the end of the step, the last one first: without them it would end earlier.
  std::vector<OpenTask> Deciding() const;
  StragglerDecision Decide(const OpenTask& task) const;

 private:
  double WorkHereMs(const OpenTask& task) const;
  /// A run that has done nothing, or cannot resume, starts anew.
  bool StartsAnew(const OpenTask& task) const { return !m_saves_progress || task.pace.percent == 0; }
  absl::Duration Elsewhere(const OpenTask& task) const;

  const StepCompletionOptions m_options;
  const bool m_saves_progress;
  double m_typical_ms = 0;
  bool m_is_typical_measured = false;
  const std::vector<OpenTask> m_open;
  const double m_destination_speed;
  absl::Duration m_best_end;  ///< of the step if each of its runs is where it ends first
  absl::Duration m_last_end;  ///< if all stay
};

}  // namespace berylgauge::workflow
