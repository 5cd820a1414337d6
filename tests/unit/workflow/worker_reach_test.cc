#include "workflow/worker_reach.h"

#include <catch2/catch.hpp>
#include <string>

namespace berylgauge::workflow {
namespace {

struct ReachRow {
  const char* name;
  const char* service;
  const char* label;
  Resources demand;
  bool fills;
  bool included;
};

// The load "jobs that nothing can run": guards against a search for each of them in each pass, and against a job that
// is passed over although a worker that is full now could run it.
TEST_CASE("a step is in reach of the workers that could ever take its task", "[placement]") {
  const ReachRow row = GENERATE(
      ReachRow{"small", "s", "", {.cpu_millis = 1}, false, true},
      ReachRow{"as large as a worker", "s", "", {.cpu_millis = 1000, .memory_mb = 10}, false, true},
      ReachRow{"as large as another one", "s", "", {.cpu_millis = 10, .memory_mb = 1000}, false, true},
      ReachRow{"as large as both together", "s", "", {.cpu_millis = 1000, .memory_mb = 1000}, false, false},
      ReachRow{"fills the processors of the wide one", "s", "", {.cpu_millis = 9999, .memory_mb = 1000}, true, true},
      ReachRow{"fills, with too much memory", "s", "", {.cpu_millis = 1, .memory_mb = 1001}, true, false},
      ReachRow{"label", "s", "fast", {.cpu_millis = 1000}, false, true},
      ReachRow{"label of the other one", "s", "wide", {.cpu_millis = 1000}, false, false},
      ReachRow{"unknown label", "s", "none", {}, false, false},
      ReachRow{"other service", "t", "", {.cpu_millis = 1}, false, true},
      ReachRow{"label of another service", "t", "fast", {}, false, false},
      ReachRow{"unknown service", "u", "", {}, false, false});
  INFO(row.name);
  PoolWorker fast{.service = "s", .labels = {"fast"}, .capacity = {.cpu_millis = 1000, .memory_mb = 10}};
  // Full and paused, which ends some time.
  PoolWorker wide{.service = "s",
                  .labels = {"wide"},
                  .capacity = {.cpu_millis = 10, .memory_mb = 1000},
                  .reserved = {.cpu_millis = 10, .memory_mb = 1000},
                  .avoid_until = InfiniteFuture()};
  PoolWorker part{.service = "s", .capacity = {.cpu_millis = 5, .memory_mb = 5}};
  PoolWorker other{.service = "t", .capacity = {.cpu_millis = 5, .memory_mb = 5}};
  const WorkerReach reach({&part, &fast, &wide, &other});
  WorkflowJob job;
  job.definition.queue.service = row.service;
  const StepDefinition definition{.demand = row.demand, .fills_idle_cpu = row.fills, .required_label = row.label};
  const WorkflowStep step{.job = &job, .definition = &definition};
  CHECK(reach.Includes(step) == row.included);
}

}  // namespace
}  // namespace berylgauge::workflow
