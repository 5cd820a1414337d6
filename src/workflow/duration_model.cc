#include "workflow/duration_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace berylgauge::workflow {
namespace {

/// The work of a task is known from this share on: lists give whole percents, so its error is 10% at most.
constexpr double kLeastTaskShare = 0.1;
/// Shares of tasks that a step must have completed before its own estimate replaces that of its image. A quarter of one
/// task: declared durations are wrong by more than the error of a quarter.
constexpr double kLeastStepShare = 0.25;
/// Weight below which the estimate of an image is no longer used.
constexpr double kLeastImageWeight = 0.5;
/// Samples of an image lose half of their weight in this time.
constexpr absl::Duration kHalfLife = absl::Seconds(30);
/// Time between two estimates of a step that only has progress; a sixth of the shortest filler task.
constexpr absl::Duration kRefreshInterval = absl::Milliseconds(200);
/// Images beyond which only those with samples of the last minutes are kept.
constexpr std::size_t kMostImages = 1000;
constexpr double kForgottenWeight = 0.02;

/// Declared durations are wrong by up to 5 in either direction and the tasks of a step differ by 30%; more is a fault
/// of the measurement.
constexpr double kLargestFactor = 10;
/// Standard deviation of the logarithm of a factor between 0.2 and 5, equally likely in its logarithm: ln(5) / sqrt(3).
constexpr double kDeclaredSpread = 0.93;
/// Standard deviation of the logarithm of the work of the tasks of one step, before it is measured.
constexpr double kTaskSpread = 0.3;
/// Factor between two tasks of a step, or a task and its step, above which the worker is taken for the reason.
constexpr double kLargestTaskFactor = 1.5;
/// Deviations of a normal distribution below which nine in ten values are.
constexpr double kBoundDeviations = 1.28;
/// Standard deviation of a normal distribution over its median absolute deviation.
constexpr double kDeviationOfMedian = 1.4826;
/// The work of an image predicts better than its ratio to the declared duration if its spread is below this share of
/// the ratio's. Below 1, because both are equal up to rounding where one duration is declared for all steps.
constexpr double kClearlySmaller = 0.8;
/// A paused run counts as running at this speed, so that its remaining time is finite.
constexpr double kLowestSpeed = 0.02;

struct Weighted {
  double value = 0;
  double weight = 0;
};

double WeightOf(const std::vector<Weighted>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0,
                         [](double sum, const Weighted& value) { return sum + value.weight; });
}

/// Lowest value up to which the values have half of the weight.
double MedianOf(std::vector<Weighted>& values) {
  std::sort(values.begin(), values.end(), [](const Weighted& a, const Weighted& b) { return a.value < b.value; });
  const double half = WeightOf(values) / 2;
  double sum = 0;
  for (const Weighted& value : values) {
    sum += value.weight;
    if (sum >= half) return value.value;
  }
  return values.back().value;
}

absl::Duration DeclaredOf(const StepDefinition& definition) { return absl::Milliseconds(definition.estimate_ms); }

absl::Duration Limit(absl::Duration work, const StepDefinition& definition) {
  if (definition.estimate_ms <= 0) return work;
  const absl::Duration declared = DeclaredOf(definition);
  return std::clamp(work, declared / kLargestFactor, declared * kLargestFactor);
}

/// Whole work of a task by what its runs have taken; nothing while that is too little.
std::optional<absl::Duration> MeasuredWorkOf(const WorkflowStep& step, int index) {
  const TaskWork& work = step.runtimes[static_cast<std::size_t>(index)].work;
  if (work.share() < kLeastTaskShare || work.done() <= absl::ZeroDuration()) return std::nullopt;
  return Limit(work.done() / work.share(), *step.definition);
}

DurationEstimate EstimateOf(absl::Duration expected, double spread, DurationSource source) {
  return {.expected = expected, .bound = expected * std::exp(kBoundDeviations * spread), .source = source};
}

}  // namespace

void DurationModel::Moments::Decay(double kept) {
  weight *= kept;
  sum *= kept;
  squares *= kept;
}

void DurationModel::Moments::Add(double value) {
  weight += 1;
  sum += value;
  squares += value * value;
}

double DurationModel::Moments::Spread() const {
  const double mean = Mean();
  const double deviations = std::max(0.0, squares - weight * mean * mean);
  return std::sqrt((deviations + kDeclaredSpread * kDeclaredSpread) / (weight + 1));
}

void DurationModel::Observe(WorkflowStep& step, int index, const WorkListing& listing, MonotonicTime now) {
  if (step.definition->long_running) return;
  step.runtimes[static_cast<std::size_t>(index)].work.Observe(listing);
  if (now - step.durations.refreshed_at >= kRefreshInterval) Refresh(step, now);
}

void DurationModel::ObserveDone(WorkflowStep& step, int index, MonotonicTime now) {
  if (step.definition->long_running) return;
  step.runtimes[static_cast<std::size_t>(index)].work.ObserveDone(now);
  Refresh(step, now);
  const std::optional<absl::Duration> work = MeasuredWorkOf(step, index);
  if (!work) return;
  // The step's own estimate tells a task on a slow worker from a long one.
  const absl::Duration usual = step.durations.work > absl::ZeroDuration() ? step.durations.work : *work;
  LearnImage(step, std::clamp(*work, usual / kLargestTaskFactor, usual * kLargestTaskFactor), now);
}

void DurationModel::Refresh(WorkflowStep& step, MonotonicTime now) {
  StepDurations& durations = step.durations;
  durations.refreshed_at = now;
  std::vector<Weighted> works;
  for (std::size_t i = 0; i < step.runtimes.size(); ++i) {
    const std::optional<absl::Duration> work = MeasuredWorkOf(step, static_cast<int>(i));
    if (!work) continue;
    works.push_back({std::log(absl::ToDoubleMilliseconds(*work)), std::min(1.0, step.runtimes[i].work.share())});
  }
  const double weight = WeightOf(works);
  if (weight < kLeastStepShare) return;
  const double median = MedianOf(works);
  durations.work = absl::Milliseconds(std::exp(median));
  for (Weighted& work : works) work.value = std::abs(work.value - median);
  const double deviation = kDeviationOfMedian * MedianOf(works);
  durations.spread = std::sqrt((weight * deviation * deviation + kTaskSpread * kTaskSpread) / (weight + 1));
}

double DurationModel::KeptSince(MonotonicTime updated_at, MonotonicTime now) {
  return std::exp2(-absl::FDivDuration(std::max(now - updated_at, absl::ZeroDuration()), kHalfLife));
}

void DurationModel::LearnImage(const WorkflowStep& step, absl::Duration work, MonotonicTime now) {
  const StepDefinition& definition = *step.definition;
  if (definition.image.empty()) return;
  if (!m_images.contains(definition.image) && !HasRoomForImage(now)) return;
  const auto [found, is_new] = m_images.try_emplace(definition.image);
  ImageDurations& image = found->second;
  const double kept = is_new ? 1 : KeptSince(image.updated_at, now);
  image.work.Decay(kept);
  image.ratio.Decay(kept);
  image.updated_at = now;
  image.work.Add(std::log(absl::ToDoubleMilliseconds(work)));
  if (definition.estimate_ms > 0) image.ratio.Add(std::log(absl::FDivDuration(work, DeclaredOf(definition))));
}

bool DurationModel::HasRoomForImage(MonotonicTime now) {
  if (m_images.size() < kMostImages) return true;
  absl::erase_if(m_images, [&](const auto& entry) {
    return entry.second.work.weight * KeptSince(entry.second.updated_at, now) < kForgottenWeight;
  });
  return m_images.size() < kMostImages;
}

std::optional<DurationEstimate> DurationModel::ImageEstimate(const StepDefinition& definition,
                                                             MonotonicTime now) const {
  const auto found = m_images.find(definition.image);
  if (found == m_images.end()) return std::nullopt;
  const double kept = KeptSince(found->second.updated_at, now);
  Moments work = found->second.work;
  Moments ratio = found->second.ratio;
  work.Decay(kept);
  ratio.Decay(kept);
  if (work.weight < kLeastImageWeight) return std::nullopt;
  const bool has_ratio = definition.estimate_ms > 0 && ratio.weight >= kLeastImageWeight;
  if (has_ratio && work.Spread() >= kClearlySmaller * ratio.Spread()) {
    return EstimateOf(Limit(std::exp(ratio.Mean()) * DeclaredOf(definition), definition), ratio.Spread(),
                      DurationSource::kImage);
  }
  return EstimateOf(Limit(absl::Milliseconds(std::exp(work.Mean())), definition), work.Spread(),
                    DurationSource::kImage);
}

DurationEstimate DurationModel::WorkOf(const WorkflowStep& step, MonotonicTime now) const {
  const StepDurations& durations = step.durations;
  if (durations.work > absl::ZeroDuration()) {
    return EstimateOf(durations.work, durations.spread, DurationSource::kStep);
  }
  if (const auto image = ImageEstimate(*step.definition, now)) return *image;
  return EstimateOf(DeclaredOf(*step.definition), kDeclaredSpread, DurationSource::kDeclared);
}

DurationEstimate DurationModel::RemainingWork(const WorkflowStep& step, int index, const DurationEstimate& whole) {
  DurationEstimate remaining = whole;
  if (const auto measured = MeasuredWorkOf(step, index)) {
    const absl::Duration own =
        std::clamp(*measured, whole.expected / kLargestTaskFactor, whole.expected * kLargestTaskFactor);
    const double weight = std::min(1.0, step.runtimes[static_cast<std::size_t>(index)].work.share());
    const double spread_factor = absl::FDivDuration(whole.bound, std::max(whole.expected, absl::Nanoseconds(1)));
    remaining.expected = weight * own + (1 - weight) * whole.expected;
    remaining.bound = remaining.expected * spread_factor;
  }
  const double left = 1 - std::clamp(step.runtimes[static_cast<std::size_t>(index)].percent, 0, 100) / 100.0;
  remaining.expected *= left;
  remaining.bound *= left;
  return remaining;
}

DurationEstimate DurationModel::RemainingWorkOf(const WorkflowStep& step, int index, MonotonicTime now) const {
  return RemainingWork(step, index, WorkOf(step, now));
}

absl::Duration DurationModel::LongestRemainingWork(const WorkflowStep& step, MonotonicTime now) const {
  if (step.IsDone()) return absl::ZeroDuration();
  const DurationEstimate whole = WorkOf(step, now);
  // Spares the search where no run has been listed; many steps wait at a time.
  const bool has_runs = step.durations.refreshed_at != InfinitePast();
  if (!step.ready || !has_runs) return whole.expected;
  absl::Duration longest = absl::ZeroDuration();
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state == TaskState::kDone) continue;
    longest = std::max(longest, RemainingWork(step, static_cast<int>(i), whole).expected);
  }
  return longest;
}

absl::Duration DurationModel::RemainingOf(const WorkflowStep& step, int index, MonotonicTime now) const {
  const StepDefinition& definition = *step.definition;
  if (definition.long_running) return absl::InfiniteDuration();
  const TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(index)];
  const double left = 1 - std::clamp(runtime.percent, 0, 100) / 100.0;
  // A worker that progresses slowly at full use of its processors shows in the measured work of its run.
  const std::optional<absl::Duration> measured = MeasuredWorkOf(step, index);
  const absl::Duration usual = measured ? *measured * left : RemainingWorkOf(step, index, now).expected;
  const absl::Duration work = std::max(usual, runtime.work.LeastWork() * left);
  if (!runtime.work.has_run()) return work;  // the newest figure is of a former run
  const absl::Duration time = work / std::max(step.SpeedOf(index, now).value_or(1), kLowestSpeed);
  const absl::Duration age =
      std::clamp(now - std::max(runtime.work.listed_at(), runtime.started_at), absl::ZeroDuration(), kListValidity);
  return std::max(time - age, absl::ZeroDuration());
}

}  // namespace berylgauge::workflow
