#include <catch2/catch.hpp>
#include <string>

#include "scheduler_world.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(100);
/// The platform accepts that a job has no run for this long while there is room.
constexpr absl::Duration kPromisedWait = absl::Seconds(3);

StepDefinition ShortStep(int tasks) {
  return {.task_count = tasks, .demand = {.cpu_millis = 240, .memory_mb = 480}, .estimate_ms = 600};
}

StepDefinition FillingStep(int tasks) {
  return {.task_count = tasks,
          .demand = {.cpu_millis = 4000, .memory_mb = 1000},
          .estimate_ms = 1000,
          .saves_progress = true,
          .fills_idle_cpu = true};
}

StepDefinition LastingStep(int tasks) {
  return {.task_count = tasks, .demand = {.cpu_millis = 3200, .memory_mb = 6400}, .long_running = true};
}

/// Lets time pass in small steps, without a report of the worker `silent`.
void Pass(SchedulerWorld& world, absl::Duration duration, const std::string& silent = {}) {
  for (absl::Duration passed = kTick; passed <= duration; passed += kTick) {
    world.Sleep(kTick);
    world.SettleWithout(silent);
  }
}

// Guards against a task whose patience with better workers begins anew with each start that a worker refuses.
TEST_CASE("refused starts do not keep a task that lasts from the reserve of short tasks", "[wait]") {
  SchedulerWorld world;
  world.AddWorker("w1").refusal = StartRefusal::kUnhealthy;
  world.AddWorker("w2").capacity.cpu_millis = 3500;
  world.Submit(SingleStepJob("a0", LastingStep(1)));
  Pass(world, kPromisedWait);
  CHECK(world.PlaceOf("a0.0.0.0") == "w2");
}

// Guards against a filling task that waits for a better worker after it has waited for a former owner's lease.
TEST_CASE("a filling task takes a slow worker as soon as the leases of a former owner are over", "[wait]") {
  SchedulerWorld world;
  world.AddWorker("w2");
  world.Submit(SingleStepJob("b0", FillingStep(4)));
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", FillingStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.Replace();
  Pass(world, absl::Milliseconds(9000), "w1");
  REQUIRE(world.StartsOf("a0.0.0.0") == 1);
  Pass(world, absl::Milliseconds(300), "w1");
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

}  // namespace
}  // namespace berylgauge::workflow
