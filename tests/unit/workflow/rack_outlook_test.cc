#include "workflow/rack_outlook.h"

#include <catch2/catch.hpp>
#include <vector>

#include "workflow/run_forecast.h"

namespace berylgauge::workflow {
namespace {

constexpr MonotonicTime kNow(absl::Hours(1));

MonotonicTime In(int ms) { return kNow + absl::Milliseconds(ms); }

bool AnyWorker(const PoolWorker& /*worker*/) { return true; }

// The load: many jobs that want one rack at once. Guards against all of them waiting for the same slot.
TEST_CASE("each task that waits for a rack gets a slot after those ahead of it", "[locality]") {
  const CapacityNeed need = {.counted = {.cpu_millis = 1000}, .idle_cpu = 1000};
  PoolWorker first;
  PoolWorker second;
  RackOutlook outlook;
  outlook.AddWorker(first, {}, 0, {{.at = In(300), .amounts = need}, {.at = InfiniteFuture(), .amounts = need}});
  outlook.AddWorker(second, {}, 0, {{.at = In(500), .amounts = need}});
  std::vector<MonotonicTime> times;
  for (int task = 0; task < 5; ++task) {
    const auto slot = outlook.Find(need, AnyWorker, kNow);
    REQUIRE(slot.has_value());
    times.push_back(slot->at);
    outlook.Reserve(*slot, need, absl::Seconds(1));
  }
  CHECK(times == std::vector<MonotonicTime>{In(300), In(500), In(1300), In(1500), In(2300)});
  const auto refused = [&](const PoolWorker& worker) { return &worker != &first; };
  CHECK(outlook.Find(need, refused, kNow)->at == In(2500));
  const CapacityNeed large = {.counted = {.cpu_millis = 3000}};
  CHECK_FALSE(outlook.Find(large, AnyWorker, kNow).has_value());
}

// Guards against a slot that a task which was placed meanwhile has taken.
TEST_CASE("a placement takes capacity from the outlook until its expected end", "[locality]") {
  const CapacityNeed need = {.counted = {.memory_mb = 100}, .idle_cpu = 2000, .fills_idle_cpu = true};
  PoolWorker worker;
  RackOutlook outlook;
  outlook.AddWorker(worker, {.memory_mb = 1000}, 3000, {});
  CHECK(outlook.Find(need, AnyWorker, kNow)->at == kNow);
  outlook.NotePlaced(worker, need, absl::Seconds(2), kNow);
  CHECK(outlook.Find(need, AnyWorker, kNow)->at == In(2000));
}

struct ForecastRow {
  const char* name;
  RunStage stage;
  bool is_lasting;
  const char* rack;  ///< of the data
  int percent;
  const char* checkpoint;
  int end_in_ms;        ///< negative for never
  int known_ms = 1000;  ///< time since the start that the owner knows
};

// Guards against estimates that ignore what is known of a run, because declared durations are wrong by large factors.
TEST_CASE("the end of a run is expected from its estimate and its progress", "[locality]") {
  const ForecastRow row =
      GENERATE(ForecastRow{"by its estimate", RunStage::kRunning, false, "", 0, "", 1000},
               ForecastRow{"far from its data", RunStage::kRunning, false, "r9", 0, "", 3000},
               ForecastRow{"near its data", RunStage::kRunning, false, "r1", 0, "", 1000},
               ForecastRow{"slower than estimated", RunStage::kRunning, false, "", 20, "", 4000},
               ForecastRow{"nearly done", RunStage::kRunning, false, "", 99, "", 150},
               ForecastRow{"from a checkpoint", RunStage::kRunning, false, "", 75, "0a", 500},
               ForecastRow{"began before the owner knew of it", RunStage::kRunning, false, "r1", 80, "", 400, 50},
               ForecastRow{"not started yet", RunStage::kRecording, false, "", 0, "", 2000},
               ForecastRow{"being stopped", RunStage::kStopping, false, "", 0, "", 300},
               ForecastRow{"of a former owner", RunStage::kUnknown, false, "", 0, "", -1},
               ForecastRow{"lasts", RunStage::kRunning, true, "", 100, "", -1});
  INFO(row.name);
  const StepDefinition definition = {.estimate_ms = 2000, .long_running = row.is_lasting, .data_rack = row.rack};
  WorkflowStep step;
  step.definition = &definition;
  step.tasks.resize(1);
  step.tasks[0].checkpoint = row.checkpoint;
  step.runtimes.resize(1);
  step.runtimes[0].stage = row.stage;
  step.runtimes[0].started_at = In(-row.known_ms);
  step.runtimes[0].percent = row.percent;
  PoolWorker worker;
  worker.labels = {"r1"};
  worker.clock_read_at = kNow;
  const MonotonicTime end = ExpectedRunEnd(worker, {.step = &step, .index = 0}, 2, kNow);
  if (row.end_in_ms < 0) {
    CHECK(end == InfiniteFuture());
  } else {
    CHECK(absl::ToInt64Milliseconds(end - kNow) == row.end_in_ms);
  }
}

}  // namespace
}  // namespace berylgauge::workflow
