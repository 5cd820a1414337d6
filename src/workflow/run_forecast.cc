#include "workflow/run_forecast.h"

#include <algorithm>

namespace berylgauge::workflow {
namespace {

/// Least progress, in percent, from which the rest of a run is extrapolated.
constexpr int kLeastPercent = 10;
/// Declared durations are up to five times too long. A run with faster progress began before this owner knew of it, or
/// had a checkpoint, so its length says nothing of its speed.
constexpr double kShortestShare = 0.2;
/// A run that is over its expected end is expected to go on for this share of its present length: the tasks of one
/// step differ by about 30%.
constexpr double kOverdueShare = 0.15;
/// A stop is carried out and reported within this time.
constexpr absl::Duration kStopTime = absl::Milliseconds(300);
/// A filling task without a figure of its use after this time is at a standstill; two figures of half a second.
constexpr absl::Duration kSettledAfter = absl::Milliseconds(1200);

}  // namespace

MonotonicTime ExpectedRunEnd(const PoolWorker& worker, TaskRef task, double far_x, MonotonicTime now) {
  const StepDefinition& definition = *task.step->definition;
  const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
  if (runtime.stage == RunStage::kStopping) return now + kStopTime;
  if (definition.long_running) return InfiniteFuture();
  const bool is_near = definition.data_rack.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                                                 definition.data_rack) != worker.labels.end();
  const absl::Duration whole = absl::Milliseconds(definition.estimate_ms) * (is_near ? 1 : far_x);
  switch (runtime.stage) {
    case RunStage::kNone:
    case RunStage::kRecording:
      return now + whole;
    case RunStage::kUnknown:
    case RunStage::kCarriedOver:
      return InfiniteFuture();  // its start is not known
    case RunStage::kStarting:
    case RunStage::kRunning:
    case RunStage::kStopping:
      break;
  }
  const absl::Duration length = now - runtime.started_at;
  if (definition.fills_idle_cpu && runtime.measured == 0 && length > kSettledAfter) return InfiniteFuture();
  const double done = std::clamp(runtime.percent, 0, 100) / 100.0;
  MonotonicTime end = runtime.started_at + whole;
  const absl::Duration listed_length = worker.clock_read_at - runtime.started_at;
  // The progress after a checkpoint includes that of former runs.
  const bool is_whole = task.step->tasks[static_cast<std::size_t>(task.index)].checkpoint.empty() &&
                        listed_length >= kShortestShare * done * whole;
  if (!is_whole) {
    end = std::max(worker.clock_read_at, runtime.started_at) + (1 - done) * whole;
  } else if (runtime.percent >= kLeastPercent) {
    end = worker.clock_read_at + listed_length * ((1 - done) / done);
  }
  return std::max(end, now + kOverdueShare * length);
}

}  // namespace berylgauge::workflow
