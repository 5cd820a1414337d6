#include "workflow/step_completion.h"

#include <algorithm>
#include <utility>

namespace berylgauge::workflow {
namespace {

/// A run that stands still counts as running at this speed, so that its remaining time is finite.
constexpr double kLowestSpeed = 0.02;
/// Weight of the newest figure against the mean since the start. The pace of a run changes within seconds with the load
/// of the serving tasks beside it, but a pause of one figure (0.5 s) is shorter than a move.
constexpr double kNewestWeight = 0.5;
/// Least share of the work from which the work of the whole task is derived.
constexpr double kLeastShare = 0.1;
/// Fewer measured tasks of a step say less than the expected work.
constexpr std::size_t kEnoughTasks = 3;
/// The tasks of one step differ by about 30%; what takes longer than this multiple of the median is due to its worker.
constexpr double kUsualSpread = 1.5;
constexpr int kMostDoublings = 6;
/// Differences below this are within the error of the estimates.
constexpr absl::Duration kSameEnd = absl::Milliseconds(100);

double Median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

StepCompletion::StepCompletion(const StepCompletionOptions& options, bool saves_progress, absl::Duration expected_work,
                               std::vector<double> measured_work_ms, std::vector<OpenTask> open,
                               double destination_speed)
    : m_options(options),
      m_saves_progress(saves_progress),
      m_typical_ms(std::max(absl::ToDoubleMilliseconds(expected_work), 1.0)),
      m_open(std::move(open)),
      m_destination_speed(std::max(destination_speed, kLowestSpeed)) {
  if (measured_work_ms.size() >= kEnoughTasks) {
    m_is_typical_measured = true;
    m_typical_ms = Median(std::move(measured_work_ms));
  }
  for (const OpenTask& task : m_open) {
    const absl::Duration remaining = Remaining(task);
    m_last_end = std::max(m_last_end, remaining);
    m_best_end = std::max(m_best_end, std::min(remaining, Elsewhere(task)));
  }
}

double StepCompletion::WorkHereMs(const OpenTask& task) const {
  const double gained = task.pace.Gained();
  if (gained >= kLeastShare && task.pace.work_ms > 0) return task.pace.work_ms / gained;
  // With less done than that, the work is at least what has been spent.
  return std::max(m_typical_ms, task.pace.work_ms / (gained + kLeastShare));
}

absl::Duration StepCompletion::Remaining(const OpenTask& task) const {
  const RunPace& pace = task.pace;
  if (!task.is_running) return Elsewhere(task);
  const double mean = pace.ElapsedMs() > 0 ? pace.work_ms / pace.ElapsedMs() : pace.speed;
  const double speed = std::max(kNewestWeight * pace.speed + (1 - kNewestWeight) * mean, kLowestSpeed);
  return absl::Milliseconds((1 - pace.Done()) * WorkHereMs(task) / speed);
}

absl::Duration StepCompletion::Elsewhere(const OpenTask& task) const {
  const double work = task.is_running && !IsOnSlowWorker(task) ? WorkHereMs(task) : m_typical_ms;
  const bool starts_anew = StartsAnew(task);
  const double left = starts_anew ? 1 : 1 - task.pace.Done();
  return absl::Milliseconds(left * work / m_destination_speed) +
         (starts_anew ? m_options.restart_cost : m_options.move_cost);
}

bool StepCompletion::IsOnSlowWorker(const OpenTask& task) const {
  // Without the other tasks, a slow worker can't be told from a declared time that is too short.
  return m_is_typical_measured && WorkHereMs(task) > kUsualSpread * m_typical_ms;
}

std::vector<OpenTask> StepCompletion::Deciding() const {
  std::vector<OpenTask> deciding;
  for (const OpenTask& task : m_open) {
    if (task.is_running && Remaining(task) > m_best_end + kSameEnd) deciding.push_back(task);
  }
  std::stable_sort(deciding.begin(), deciding.end(),
                   [&](const OpenTask& a, const OpenTask& b) { return Remaining(a) > Remaining(b); });
  return deciding;
}

StragglerDecision StepCompletion::Decide(const OpenTask& task) const {
  StragglerDecision decision{.remaining = Remaining(task), .elsewhere = Elsewhere(task)};
  decision.gain = decision.remaining - std::max(decision.elsewhere, m_best_end);
  const bool is_last = decision.remaining >= m_last_end;
  const int doublings = std::min(task.pace.moves, kMostDoublings);
  decision.required = (is_last ? m_options.least_gain_of_last : m_options.least_gain) * (1 << doublings);
  if (StartsAnew(task)) {
    decision.required += m_options.discarded_weight * absl::Milliseconds(task.pace.Done() * WorkHereMs(task));
  }
  if (!task.is_running || decision.remaining <= m_best_end + kSameEnd) return decision;
  if (!task.pace.IsSettled() && !task.pace.StandsStill()) {
    decision.reason = StragglerReason::kTooYoung;
  } else if (decision.gain < decision.required) {
    decision.reason = StragglerReason::kSmallGain;
  } else {
    decision.reason = StragglerReason::kGain;
    decision.action = StartsAnew(task) ? StragglerAction::kRestart : StragglerAction::kMove;
  }
  return decision;
}

}  // namespace berylgauge::workflow
