#include "workflow/placement_policy.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylgauge::workflow {
namespace {

constexpr int kTargetMs = 50;

/// A worker with serving tasks of some images.
struct WorkerRow {
  std::string name;
  std::map<std::string, int> serving;  ///< tasks by image
  double spare_rate = 55;              ///< of each of them, 1/s: a tail of 18 ms
};

struct FillingRow {
  const char* name;
  std::vector<WorkerRow> workers;
  std::string image;   ///< of the filling task
  std::string chosen;  ///< empty for none
};

std::unique_ptr<PoolWorker> MakeWorker(const WorkerRow& row) {
  auto worker = std::make_unique<PoolWorker>();
  worker->life = {.worker = row.name, .born = 1};
  worker->service = "dispatch";
  worker->reconciled = true;
  worker->capacity = {.cpu_millis = 16000, .memory_mb = 64000};
  for (const auto& [image, tasks] : row.serving) {
    worker->serving_tasks += tasks;
    worker->serving_cpu += std::int64_t{2000} * tasks;
    worker->serving[image] = {
        .tasks = tasks, .tail_target_ms = kTargetMs, .spare_rate = row.spare_rate, .lowest_soon = row.spare_rate};
  }
  worker->reserved.cpu_millis = worker->serving_cpu;
  return worker;
}

/// "sorter" harms "shop" by a quarter of its target rate for each core; all other pairs are harmless.
InterferenceModel KnownInterference() {
  InterferenceModel model;
  for (int i = 0; i < 200; ++i) {
    for (const char* serving : {"shop", "till"}) {
      const double loss = std::string(serving) == "shop" ? 5 : 0;
      const MonotonicTime now = MonotonicTime(absl::Hours(1)) + absl::Milliseconds(10 * i);
      model.AddSample(
          {.serving_image = serving, .tail_target_ms = kTargetMs, .lost_rate = 2 * loss, .use = {{"sorter", 2.0}}},
          now);
      model.AddSample({.serving_image = serving, .tail_target_ms = kTargetMs, .lost_rate = 0, .use = {{"packer", 2.0}}},
                      now);
    }
  }
  model.Refresh();
  return model;
}

// The pattern "room now, harm later": while the load of a serving task is low, a harmful filling task seems to fit
// beside it, and is paced down when the load rises.
TEST_CASE("a filling task goes where it takes least from serving tasks", "[placement]") {
  const FillingRow row = GENERATE(
      FillingRow{"harmless there, few serving tasks", {{"a", {{"shop", 4}}}, {"b", {{"till", 1}}}}, "sorter", "b"},
      FillingRow{"no serving tasks at all", {{"a", {{"shop", 4}}}, {"b", {}}}, "sorter", "b"},
      FillingRow{
          "one harmed image among others", {{"a", {{"shop", 1}, {"till", 3}}}, {"b", {{"till", 2}}}}, "sorter", "b"},
      FillingRow{"harmless everywhere: empty workers are kept", {{"a", {{"shop", 4}}}, {"b", {}}}, "packer", "a"},
      FillingRow{
          "more room beside the same image", {{"a", {{"shop", 4}}, 40}, {"b", {{"shop", 1}}, 70}}, "sorter", "b"},
      FillingRow{"no room beside a loaded task", {{"a", {{"shop", 4}}, 24}}, "sorter", ""},
      FillingRow{"a harmless one needs no room", {{"a", {{"shop", 4}}, 24}}, "packer", "a"});
  INFO(row.name);
  const InterferenceModel model = KnownInterference();
  const PlacementPolicy policy(model, {});
  std::vector<std::unique_ptr<PoolWorker>> workers;
  std::vector<PoolWorker*> candidates;
  for (const WorkerRow& worker : row.workers) {
    workers.push_back(MakeWorker(worker));
    candidates.push_back(workers.back().get());
  }
  WorkflowJob job;
  job.definition.queue.service = "dispatch";
  const StepDefinition definition = {
      .demand = {.cpu_millis = 1800, .memory_mb = 1000}, .fills_idle_cpu = true, .image = row.image};
  const MonotonicTime now(absl::Hours(2));
  WorkflowStep step;
  step.job = &job;
  step.definition = &definition;
  step.tasks.resize(1);
  step.runtimes.resize(1);
  step.runtimes[0].waiting_since = now;
  const PoolWorker* chosen = policy.Choose(step, 0, candidates, {}, now);
  CHECK((chosen == nullptr ? "" : chosen->life.worker) == row.chosen);
}

}  // namespace
}  // namespace berylgauge::workflow
