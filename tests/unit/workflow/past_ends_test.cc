#include <catch2/catch.hpp>
#include <string>

#include "scheduler_world.h"

namespace berylgauge::workflow {
namespace {

constexpr const char* kTask = "a0.0.0.0";

// Guards against a second run of a task that the next life of its worker has carried out: the end stood behind the last
// one that the worker lists at a time, so the run counted as never begun (issue 28).
TEST_CASE("a run of a former life is not given up by a list of ends that was cut", "[scheduler]") {
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.Restart("w1");
  worker.most_listed_ends = 1;
  worker.ends = {{.number = 1, .task = "b0.0.0.0", .run = 1, .kind = RunEndKind::kDone},
                 {.number = 2, .task = kTask, .run = 1, .kind = RunEndKind::kDone}};
  worker.last_end = 2;
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
  CHECK(world.StartsOf(kTask) == 1);
}

}  // namespace
}  // namespace berylgauge::workflow
