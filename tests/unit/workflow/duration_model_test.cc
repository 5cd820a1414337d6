#include "workflow/duration_model.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "rapidcheck.h"
#include "scheduler_world.h"

namespace berylgauge::workflow {
namespace {

constexpr std::int64_t kDemand = 2000;
constexpr absl::Duration kListInterval = absl::Milliseconds(100);

MonotonicTime At(double seconds) { return MonotonicTime(absl::Hours(1)) + absl::Seconds(seconds); }

/// How a task runs on its worker.
struct Pace {
  double cpu = 1;       ///< in use, as a share of the demand
  double progress = 1;  ///< work done, as a share of that at full speed
};

/// A step of filler tasks whose runs the test plays.
class PlayedStep {
 public:
  explicit PlayedStep(int tasks, std::int64_t declared_ms = 2000, const std::string& image = "f1") {
    m_definition = FillingStep(tasks);
    m_definition.demand.cpu_millis = kDemand;
    m_definition.estimate_ms = declared_ms;
    m_definition.image = image;
    m_step.definition = &m_definition;
    m_step.ready = true;
    m_step.tasks.resize(static_cast<std::size_t>(tasks));
    m_step.runtimes.resize(static_cast<std::size_t>(tasks));
  }

  WorkflowStep& step() { return m_step; }

  /// Runs a task that takes `work` at full speed from `from_percent` on for `length`, or until it is done, and returns
  /// when it ended. The first figure appears half a second after the start.
  MonotonicTime Run(DurationModel& model, int index, absl::Duration work, Pace pace, MonotonicTime start,
                    absl::Duration length = absl::InfiniteDuration(), int from_percent = 0) {
    TaskRuntime& runtime = m_step.runtimes[static_cast<std::size_t>(index)];
    runtime.started_at = start;
    for (MonotonicTime now = start;; now = now + kListInterval) {
      const double percent = from_percent + 100 * pace.progress * absl::FDivDuration(now - start, work);
      runtime.percent = static_cast<int>(std::min(percent, 100.0));
      runtime.measured = now - start < absl::Milliseconds(500) ? 0 : static_cast<std::int64_t>(pace.cpu * kDemand);
      if (percent >= 100) {
        model.ObserveDone(m_step, index, now);
        m_step.tasks[static_cast<std::size_t>(index)].state = TaskState::kDone;
        ++m_step.done;
        return now;
      }
      model.Observe(m_step, index, {.percent = runtime.percent, .speed = m_step.SpeedOf(index, now), .at = now}, now);
      if (now - start >= length) return now;
    }
  }

 private:
  StepDefinition m_definition;
  WorkflowStep m_step;
};

double Ms(absl::Duration duration) { return absl::ToDoubleMilliseconds(duration); }

struct FactorRow {
  double factor;  ///< actual over declared duration
  Pace pace;
};

// The pattern "wrong declarations": they are off by 0.2 to 5, and most fillers are throttled by their agents. Guards
// against estimates that take the time of a throttled run for its work.
TEST_CASE("the work of a step is learned whatever its declaration and pace", "[durations]") {
  const FactorRow row = GENERATE(FactorRow{0.2, {}}, FactorRow{0.5, {}}, FactorRow{1, {}}, FactorRow{2.5, {}},
                                 FactorRow{5, {}}, FactorRow{0.2, {0.3, 0.3}}, FactorRow{1, {0.3, 0.3}},
                                 FactorRow{5, {0.1, 0.1}}, FactorRow{1, {0.05, 0.05}});
  CAPTURE(row.factor, row.pace.cpu);
  const absl::Duration work = absl::Milliseconds(1800);
  PlayedStep played(4, std::lround(1800 / row.factor));
  DurationModel model;
  const MonotonicTime end = played.Run(model, 0, work, row.pace, At(0));
  const DurationEstimate estimate = model.WorkOf(played.step(), end);
  CHECK(estimate.source == DurationSource::kStep);
  CHECK(Ms(estimate.expected) == Approx(1800).epsilon(0.1));
  CHECK(estimate.bound > estimate.expected);
}

// Guards against an estimate that needs completed runs, which come too late for steps whose tasks run side by side.
TEST_CASE("the work of a step is learned from active runs", "[durations]") {
  PlayedStep played(2, 9000);
  DurationModel model;
  const MonotonicTime now =
      played.Run(model, 0, absl::Milliseconds(1800), {.cpu = 0.5, .progress = 0.5}, At(0), absl::Milliseconds(1800));
  CHECK(Ms(model.WorkOf(played.step(), now).expected) == Approx(1800).epsilon(0.1));
  // Half of the work at half of the speed.
  CHECK(Ms(model.RemainingOf(played.step(), 0, now)) == Approx(1800).epsilon(0.1));
  CHECK(Ms(model.RemainingWorkOf(played.step(), 0, now).expected) == Approx(900).epsilon(0.1));
  CHECK(Ms(model.LongestRemainingWork(played.step(), now)) == Approx(1800).epsilon(0.1));
}

// The pattern "slow workers": processors are in use, but the run progresses at a fraction of its speed. Guards against
// a step that all take for long, and against a straggler that nobody recognises.
TEST_CASE("a slow worker does not distort its step", "[durations]") {
  const double slowness = GENERATE(2.0, 4.0, 8.0);
  CAPTURE(slowness);
  const absl::Duration work = absl::Milliseconds(1800);
  PlayedStep played(4, 1000);
  DurationModel model;
  const auto run = [&](int index, double progress) {
    return played.Run(model, index, work, {.progress = progress}, At(2 * index), absl::Milliseconds(1400));
  };
  run(0, 1);
  run(1, 1);
  const MonotonicTime now = run(2, 1 / slowness);
  CHECK(Ms(model.WorkOf(played.step(), now).expected) == Approx(1800).epsilon(0.15));
  const double left = 1 - 1400.0 / 1800 / slowness;
  CHECK(Ms(model.RemainingWorkOf(played.step(), 2, now).expected) < 1.5 * 1.15 * 1800 * left);
  CHECK(Ms(model.RemainingOf(played.step(), 2, now)) == Approx(1800 * slowness * left).epsilon(0.2));
}

// Guards against the restoration of a checkpoint, and work before it, that count as work of the present run.
TEST_CASE("a run that resumes counts from the percentage of its first list", "[durations]") {
  const absl::Duration work = absl::Milliseconds(1800);
  PlayedStep played(2, 600);
  DurationModel model;
  WorkflowStep& step = played.step();
  step.runtimes[0].started_at = At(0);
  for (int i = 0; i < 6; ++i) model.Observe(step, 0, {.percent = 50, .speed = 1, .at = At(0.1 * i)}, At(0.1 * i));
  played.Run(model, 0, work, {}, At(0.6), absl::Milliseconds(700), 50);
  CHECK(Ms(model.WorkOf(step, At(1.3)).expected) == Approx(1800).epsilon(0.1));
}

// Guards against time that a silent or stopped worker adds to the work of its run.
TEST_CASE("time without lists or without progress is not work", "[durations]") {
  const bool is_silent = GENERATE(true, false);
  CAPTURE(is_silent);
  PlayedStep played(2, 1800);
  DurationModel model;
  WorkflowStep& step = played.step();
  const auto list = [&](int percent, double speed, double seconds) {
    model.Observe(step, 0, {.percent = percent, .speed = speed, .at = At(seconds)}, At(seconds));
  };
  list(0, 1, 0);
  list(10, 1, 0.18);
  list(20, 1, 0.36);
  list(30, 1, 0.54);
  if (is_silent) {
    list(90, 1, 30);
  } else {
    for (int i = 0; i < 300; ++i) list(30, 0, 0.55 + 0.1 * i);
    list(40, 1, 30.73);
  }
  CHECK(Ms(model.WorkOf(step, At(31)).expected) == Approx(1800).epsilon(0.3));
}

// Guards against a first task of an unknown image that is taken for known, and against an image that is never
// forgotten.
TEST_CASE("the image predicts a step before its own runs do", "[durations]") {
  DurationModel model;
  PlayedStep first(8, 360);
  CHECK(model.WorkOf(first.step(), At(0)).source == DurationSource::kDeclared);
  CHECK(model.WorkOf(first.step(), At(0)).expected == absl::Milliseconds(360));
  CHECK(model.WorkOf(first.step(), At(0)).bound > absl::Milliseconds(360));
  MonotonicTime now = At(0);
  for (int i = 0; i < 8; ++i) now = first.Run(model, i, absl::Milliseconds(1650 + 50 * i), {}, At(0));
  PlayedStep other(1, 360, "f2");
  CHECK(model.WorkOf(other.step(), now).source == DurationSource::kDeclared);
  PlayedStep next(2, 360);
  const DurationEstimate estimate = model.WorkOf(next.step(), now);
  CHECK(estimate.source == DurationSource::kImage);
  CHECK(Ms(estimate.expected) == Approx(1800).epsilon(0.1));
  CHECK(model.WorkOf(next.step(), now + absl::Minutes(5)).source == DurationSource::kDeclared);
}

struct BasisRow {
  const char* name;
  std::vector<std::pair<double, std::int64_t>> steps;  ///< work and declaration of earlier steps of the image, ms
  std::int64_t declared_ms;
  double expected_ms;
};

// Guards against the ratio of one step's declaration that is applied to that of another, which is wrong by another
// factor, and against the opposite where the declarations are right in proportion.
TEST_CASE("an image predicts by what varies less", "[durations]") {
  const BasisRow row = GENERATE(
      BasisRow{"alike tasks, wrong declarations", {{1800, 360}, {1700, 8000}, {1900, 900}}, 5000, 1800},
      BasisRow{
          "different tasks, declarations off by one factor", {{1000, 500}, {8000, 4000}, {3000, 1500}}, 700, 1400});
  INFO(row.name);
  DurationModel model;
  MonotonicTime now = At(0);
  for (const auto& [work, declared] : row.steps) {
    PlayedStep played(4, declared);
    for (int i = 0; i < 4; ++i) now = std::max(now, played.Run(model, i, absl::Milliseconds(work), {}, At(0)));
  }
  PlayedStep next(1, row.declared_ms);
  CHECK(Ms(model.WorkOf(next.step(), now).expected) == Approx(row.expected_ms).epsilon(0.15));
}

void CheckEstimateWithinObservations() {
  const auto works = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(900, 9000));
  const auto count = *rc::gen::inRange<std::size_t>(1, works.size() + 1);
  const double speed = *rc::gen::inRange(10, 101) / 100.0;
  const int lengths = *rc::gen::inRange(800, 20'000);
  DurationModel model;
  PlayedStep played(static_cast<int>(count), 2000);
  MonotonicTime now = At(0);
  for (std::size_t i = 0; i < count; ++i) {
    now = std::max(now, played.Run(model, static_cast<int>(i), absl::Milliseconds(works[i]), {speed, speed}, At(0),
                                   absl::Milliseconds(lengths)));
  }
  // A list that is repeated adds no work, but is an occasion to estimate the step anew.
  model.Observe(played.step(), 0, {.percent = played.step().runtimes[0].percent, .speed = speed, .at = At(0)},
                now + absl::Seconds(1));
  double least = 1e9;
  double most = 0;
  for (const TaskRuntime& runtime : played.step().runtimes) {
    if (runtime.work.share() < 0.1) continue;  // too little to tell
    const double ratio = Ms(runtime.work.done()) / runtime.work.share() / 2000;
    least = std::min(least, ratio);
    most = std::max(most, ratio);
  }
  PlayedStep next(1, 2000);
  for (WorkflowStep* step : {&played.step(), &next.step()}) {
    const DurationEstimate estimate = model.WorkOf(*step, now);
    if (estimate.source == DurationSource::kDeclared) continue;
    const double ratio = Ms(estimate.expected) / 2000;
    RC_ASSERT(ratio >= least * (1 - 1e-6));
    RC_ASSERT(ratio <= most * (1 + 1e-6));
    RC_ASSERT(estimate.bound >= estimate.expected);
  }
}

// Guards against estimates that no observation supports.
TEST_CASE("an estimate lies between the smallest and the largest observed ratio", "[durations]") {
  CHECK(rc::check(CheckEstimateWithinObservations));
}

}  // namespace
}  // namespace berylgauge::workflow
