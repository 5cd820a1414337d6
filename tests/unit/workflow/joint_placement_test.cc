#include <catch2/catch.hpp>
#include <string>

#include "scheduler_world.h"

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

}  // namespace
}  // namespace berylgauge::workflow
