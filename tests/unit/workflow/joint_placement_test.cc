#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "scheduler_world.h"
#include "workflow/placement_policy.h"

namespace berylgauge::workflow {
namespace {

constexpr int kTargetMs = 50;
const MonotonicTime kNow(absl::Hours(1));

struct ProbeRow {
  const char* name;
  int tasks;
  std::size_t on_a;  ///< filler tasks beside three serving tasks
  std::size_t on_b;  ///< beside one
  std::size_t on_c;  ///< with no serving task, and memory for two filler tasks
};

// The load: a step of 20 filler tasks is placed within one call. Guards against a whole step beside a serving task that
// it turns out to disturb.
TEST_CASE("an unknown pair of images is probed with one task", "[joint-placement]") {
  const ProbeRow row = GENERATE(ProbeRow{"within one call", 4, 1, 1, 2},  //
                                ProbeRow{"in the usual order once no other worker has room", 6, 3, 1, 2});
  INFO(row.name);
  SchedulerWorld world;
  for (const char* name : {"a", "b", "c"}) world.AddWorker(name).labels = {name};
  world.worker("c").capacity.memory_mb = 2500;
  StepDefinition serving = LastingStep(3);
  serving.image = "shop";
  serving.tail_target_ms = kTargetMs;
  serving.required_label = "a";
  world.Submit(SingleStepJob("first", serving));
  serving.task_count = 1;
  serving.required_label = "b";
  world.Submit(SingleStepJob("second", serving));
  StepDefinition filling = FillingStep(row.tasks);
  filling.image = "sorter";
  filling.demand.cpu_millis = 1800;
  world.Submit(SingleStepJob("filling", filling));
  CHECK(world.worker("a").runs.size() == 3 + row.on_a);
  CHECK(world.worker("b").runs.size() == 1 + row.on_b);
  CHECK(world.worker("c").runs.size() == row.on_c);
  const SchedulerCounts& counts = world.scheduler().counts();
  CHECK(counts.probes == 2);
  CHECK(counts.crowded_probes == row.on_a + row.on_b - 2);
}

// Guards against a limit that stays after the first figures, and keeps filler tasks from a harmless neighbor.
TEST_CASE("a pair of images is known from its first figures", "[joint-placement]") {
  const double cores = GENERATE(0.2, 2.0);
  CAPTURE(cores);
  InterferenceModel model;
  model.AddSample({.serving_image = "shop", .tail_target_ms = kTargetMs, .lost_rate = 0, .use = {{"sorter", cores}}},
                  kNow);
  model.Refresh();
  // A filler task that was slowed to a fraction of a core tells too little.
  CHECK(model.table().IsKnown("shop", "sorter") == (cores > 1));
  CHECK_FALSE(model.table().IsKnown("shop", "packer"));
}

struct UseRow {
  const char* name;
  std::int64_t measured;  ///< of each of three filler tasks that request 4 cores
  std::int64_t tail_ms;   ///< of the serving tasks, with a target of 50
  double least;           ///< share of the reserved CPU that the serving tasks are found to use
  double most;
};

// Guards against filler tasks that are placed for idle CPU which the worker does not have.
TEST_CASE("the CPU that serving tasks use is learned from filler tasks", "[joint-placement]") {
  const UseRow row = GENERATE(UseRow{"little is left", 2200, 18, 0.66, 0.74},  //
                              UseRow{"more is left than assumed", 3600, 18, 0.38, 0.45},
                              UseRow{"slowed filler tasks tell nothing", 2200, 80, 0.5, 0.5},
                              UseRow{"paused filler tasks tell nothing", 0, 18, 0.5, 0.5});
  INFO(row.name);
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("a");
  StepDefinition serving = LastingStep(4);
  serving.image = "shop";
  serving.tail_target_ms = kTargetMs;
  world.Submit(SingleStepJob("serving", serving));
  StepDefinition filling = FillingStep(3);
  filling.image = "packer";
  world.Submit(SingleStepJob("filling", filling));
  for (int round = 0; round < 40; ++round) {
    for (const auto& [task, run] : worker.runs) {
      const bool is_serving = task.starts_with("serving");
      worker.measured[task] = is_serving ? row.tail_ms : row.measured;
      worker.percents[task] = is_serving ? 100 : 50;
    }
    world.Sleep(absl::Milliseconds(500));
    world.Settle();
  }
  REQUIRE(worker.runs.size() == 7);
  const InterferenceModel model;
  const PlacementPolicy policy(model, {});
  const PoolWorker& learned = *world.scheduler().FindWorker(worker.agent);
  const double idle = policy.IdleCpu(learned);
  const double share = (16000 - idle) / (4 * 3200);
  CHECK(share >= row.least);
  CHECK(share <= row.most);
}

}  // namespace
}  // namespace berylgauge::workflow
