#include <catch2/catch.hpp>
#include <string>

#include "scheduler_world.h"

namespace berylgauge::workflow {
namespace {

constexpr const char* kTask = "a0.0.0.0";

/// A job of one task that runs at `w1` and was placed by a former owner.
void PlaceByFormerOwner(SchedulerWorld& world) {
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf(kTask) == "w1");
  world.AddWorker("w2");
  world.Replace();
}

// Guards against a second run of a task that is done: its worker has left, so it answers no call of the new owner, and
// the end that the agent had read was not reported (issue 28).
TEST_CASE("an end of a worker that has left decides a run of a former owner", "[scheduler]") {
  SchedulerWorld world;
  PlaceByFormerOwner(world);
  world.End(kTask, RunEndKind::kDone);
  const PlayedWorker left = world.worker("w1");
  world.scheduler().OnReport(left.agent, {.past_ends = {{.life = left.life, .ends = left.ends}}}, world.now());
  world.SettleWithout("w1");
  world.Sleep(absl::Seconds(45));  // longer than any lease
  world.SettleWithout("w1");
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
  CHECK(world.StartsOf(kTask) == 1);
}

// Guards against a second run of a task that is done: its worker was replaced before the owner had read the end
// (issue 28).
TEST_CASE("an end of a worker's former life decides its run before the next life does", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.End(kTask, RunEndKind::kDone);
  const PlayedWorker former = world.worker("w1");
  world.Rename("w1", "w2");
  world.worker("w2").past_ends = {{.life = former.life, .ends = former.ends}};
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
  CHECK(world.StartsOf(kTask) == 1);
}

// Guards against an end that is applied to a later run of its task, because it is reported for a while.
TEST_CASE("an end of a past life counts once", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.End(kTask, RunEndKind::kFailed);
  const PlayedWorker former = world.worker("w1");
  world.Rename("w1", "w2");
  world.worker("w2").past_ends = {{.life = former.life, .ends = former.ends}};
  world.Settle();
  world.Sleep(absl::Seconds(1));
  world.Settle();
  CHECK(world.PlaceOf(kTask) == "w2");
  CHECK(world.PhaseOf("a0") == JobPhase::kRunning);
  CHECK(world.StartsOf(kTask) == 2);
}

// Guards against a second run of a task that is done: the owner had given the run up, and threw its end away although
// the task was still waiting (issue 28).
TEST_CASE("a task that waits needs no other run once the end of its last one as done is known", "[scheduler]") {
  const RunEndKind kind = GENERATE(RunEndKind::kDone, RunEndKind::kFailed);
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.End(kTask, kind);
  world.Sleep(absl::Seconds(45));  // longer than any lease
  world.SettleWithout("w1");
  REQUIRE(world.PhaseOf("a0") == JobPhase::kRunning);
  world.Settle();
  const bool is_done = kind == RunEndKind::kDone;
  CHECK((world.PhaseOf("a0") == JobPhase::kDone) == is_done);
  CHECK(world.StartsOf(kTask) == (is_done ? 1 : 2));
}

// Guards against a run beside another one: a call of its start had no answer and may be carried out by the worker's
// next life, so the end of the run as stopped in the former one decides nothing (issue 28).
TEST_CASE("a past end other than done decides a run only if its start is settled", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1").settles_starts = false;
  PlaceByFormerOwner(world);
  world.End(kTask, RunEndKind::kStopped);
  const PlayedWorker left = world.worker("w1");
  world.scheduler().OnReport(left.agent, {.past_ends = {{.life = left.life, .ends = left.ends}}}, world.now());
  world.SettleWithout("w1");
  CHECK(world.StartsOf(kTask) == 1);
  world.Sleep(absl::Seconds(45));
  world.SettleWithout("w1");
  CHECK(world.StartsOf(kTask) == 2);
}

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
