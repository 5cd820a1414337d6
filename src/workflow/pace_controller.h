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
  /// Tail latency of a serving task, as a share of its target, at which its disturbance is held.
  double held_tail = 0.97;
  /// Largest factor by which the disturbance may rise in one interval, because the figures are rough.
  double largest_rise = 4;
  /// Part of the spare rate above the one at the target that may be used up in one interval when little is.
  double used_room = 0.8;
  /// Part of what is left that a filling task gets at its start, half a second before the first figures.
  double start_room = 0.6;
  /// Decisions in a row with a missed target after which all filling tasks are stopped, whatever the estimates say. It
  /// leaves half of the 4 s for which a target may be missed.
  int stop_all_after = 4;
  /// Every filling task is taken to use up this share of the rate at the target for each core at least, because
  /// estimates may be wrong.
  double least_loss_share = 0.01;
  /// A filling task that takes less than this share of the rate at the target for each core keeps its pace until the
  /// target was missed this many times in a row: what a missed target costs must first be saved on the heavy ones.
  double light_loss_share = 0.04;
  int slow_light_after = 3;
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
/// Each serving task gets a budget of disturbance: how much of its spare rate (`SpareRate`) may be lost. What the
/// present disturbance cost tells by which factor the budget must fall or may rise, so the scale of the learnt
/// interference need not be right. A rising load is met ahead, by what it took in the last interval. The budgets go to
/// the least harmful filling tasks first. From full pace to a standstill takes a few intervals, which is under the time
/// for which a target may be missed (4 s).
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
  /// Pace of a run that this controller has not set: a former process may have, and the worker does not tell it.
  static constexpr int kUnknownPercent = -1;

  struct Filler {
    const MeasuredRun* run = nullptr;
    double share = 1;       ///< pace, 0 to 1
    double full_cores = 0;  ///< in use at full pace
  };
  struct State {
    int run = 0;
    double share = 1;
    int sent_percent = kUnknownPercent;
    double full_cores = 0;
  };
  /// Of a serving task.
  struct Budget {
    double left = 0;         ///< spare rate that may still be lost, 1/s
    double undisturbed = 0;  ///< spare rate without disturbance, 1/s
    /// By which factor the disturbance costs more than was learnt, at least 1: the highest one of late.
    double scale = 1;
    int missed = 0;  ///< decisions in a row with a missed target
  };

  static std::vector<const MeasuredRun*> ServingAmong(const std::vector<MeasuredRun>& runs);
  int PercentOf(double share) const;
  std::vector<Filler> TakeFillers(const std::vector<MeasuredRun>& runs);
  /// Spare rate that each core of the filling task is expected to take, 1/s.
  double LossPerCore(const MeasuredRun& serving, const MeasuredRun& filler,
                     const InterferenceTable& interference) const;
  Budget& BudgetOf(const MeasuredRun& serving);
  void ForgetBudgets(const std::vector<const MeasuredRun*>& serving);
  /// Sets the budget of the serving task from what the present disturbance led to.
  void Renew(const MeasuredRun& serving, const std::vector<Filler>& fillers, const InterferenceTable& interference);
  /// Sets the shares of the filling tasks, the least harmful first.
  void Spend(const std::vector<const MeasuredRun*>& serving, std::vector<Filler>& fillers,
             const InterferenceTable& interference);
  /// Takes what the filling task may get from that part of the budgets; returns its share.
  double TakeShare(const std::vector<const MeasuredRun*>& serving, const MeasuredRun& filler, double full_cores,
                   const InterferenceTable& interference, double part);

  PaceOptions m_options;
  MonotonicTime m_decided_at = InfinitePast();
  absl::flat_hash_map<std::string, State> m_states;    ///< by filling task
  absl::flat_hash_map<std::string, Budget> m_budgets;  ///< by serving task
};

}  // namespace berylgauge::workflow
