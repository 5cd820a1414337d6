#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "scheduler_world.h"

namespace berylgauge::workflow {
namespace {

struct MigrationRow {
  const char* name;
  std::int64_t declared_ms;
  double work_ms;
  std::uint64_t moves;
};

// Guards against migrations that cost more than what is left of a task, and against throttled tasks that stay because
// their declaration says that they are nearly done.
TEST_CASE("a throttled task is migrated by its learned duration", "[durations]") {
  const MigrationRow row = GENERATE(MigrationRow{"declared five times too long", 10'000, 2000, 0},
                                    MigrationRow{"declared five times too short", 1000, 5000, 1});
  INFO(row.name);
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("a0");
  StepDefinition serving = LastingStep(1);
  serving.tail_target_ms = 50;
  world.Submit(SingleStepJob("serving", serving));
  StepDefinition filling = FillingStep(1);
  filling.estimate_ms = row.declared_ms;
  world.Submit(SingleStepJob("filling", filling));
  REQUIRE(worker.runs.contains("filling.0.0.0"));
  const double speed = 0.4;
  worker.measured["filling.0.0.0"] = 1600;
  const auto run_until = [&](int& ms, int end_ms) {
    for (; ms <= end_ms; ms += 100) {
      worker.percents["filling.0.0.0"] = static_cast<int>(100 * speed * ms / row.work_ms);
      world.Settle();
      world.Sleep(absl::Milliseconds(100));
    }
  };
  int ms = 0;
  run_until(ms, 3200);
  CHECK(world.scheduler().counts().moves == 0);
  world.AddWorker("b0");
  run_until(ms, 3900);
  CHECK(world.scheduler().counts().moves == row.moves);
}

// Guards against jobs that keep workers from others although they cannot be in time, and against an objective that
// moves with what is learned, by which they could.
TEST_CASE("a job of an image that takes longer than declared yields to one that can be in time", "[durations]") {
  const bool is_learned = GENERATE(true, false);
  CAPTURE(is_learned);
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  worker.capacity.cpu_millis = 1000;
  StepDefinition step = ShortStep(1);
  step.demand.cpu_millis = 1000;
  step.estimate_ms = 400;
  const auto job = [&](const std::string& id, const std::string& image) {
    step.image = image;
    JobDefinition definition = SingleStepJob(id, step);
    definition.queue.stretch = 2;
    return definition;
  };
  if (is_learned) {
    world.Submit(job("first", "long"));
    for (int i = 0; i < 10; ++i) {
      world.Sleep(absl::Milliseconds(200));
      worker.percents["first.0.0.0"] = 10 * i;
      world.Settle();
    }
    world.End("first.0.0.0", RunEndKind::kDone);
    world.Settle();
  }
  worker.condition = WorkerCondition::kDraining;
  world.Submit(job("a0", "long"));
  world.Sleep(absl::Milliseconds(50));
  world.Submit(job("b0", "other"));
  worker.condition = WorkerCondition::kReady;
  world.Settle();
  CHECK(world.PlaceOf(is_learned ? "b0.0.0.0" : "a0.0.0.0") == "w1");
  CHECK(world.scheduler().counts().learned_steps == (is_learned ? 1 : 0));
  CHECK((world.scheduler().counts().prospect_changes > 0) == is_learned);
}

}  // namespace
}  // namespace berylgauge::workflow
