#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "scheduler_world.h"
#include "workflow/filling_capacity.h"
#include "workflow/placement_policy.h"

namespace berylgauge::workflow {
namespace {

constexpr int kTargetMs = 50;
constexpr double kHeavyLoss = 5;  ///< 1/s for each core: a quarter of the rate at the target
const MonotonicTime kNow(absl::Hours(1));

/// Workers and serving steps that exist in the test only.
class Fleet {
 public:
  PoolWorker& AddWorker(const std::string& name, std::int64_t cpu_millis) {
    PoolWorker& worker = m_pool.Add("agent-" + name);
    m_pool.Reindex(worker, {.worker = name, .born = 1});
    worker.service = "dispatch";
    worker.reconciled = true;
    worker.clock_read_at = kNow;
    worker.capacity = {.cpu_millis = cpu_millis, .memory_mb = 64000};
    return worker;
  }

  WorkflowStep& AddStep(const std::string& image, int tasks, std::int64_t cpu_millis, int max_per_worker) {
    auto job = std::make_unique<WorkflowJob>();
    job->definition.queue.service = "dispatch";
    job->definition.steps = {{.task_count = tasks,
                              .demand = {.cpu_millis = cpu_millis, .memory_mb = 500},
                              .long_running = true,
                              .image = image,
                              .max_per_worker = max_per_worker,
                              .tail_target_ms = kTargetMs}};
    auto step = std::make_unique<WorkflowStep>();
    step->job = job.get();
    step->definition = &job->definition.steps[0];
    step->tasks.resize(static_cast<std::size_t>(tasks));
    step->runtimes.resize(static_cast<std::size_t>(tasks));
    for (TaskRuntime& runtime : step->runtimes) runtime.waiting_since = kNow;
    m_jobs.push_back(std::move(job));
    m_steps.push_back(std::move(step));
    return *m_steps.back();
  }

  void Attach(WorkflowStep& step, int index, PoolWorker& worker) {
    step.tasks[static_cast<std::size_t>(index)].state = TaskState::kPlaced;
    step.tasks[static_cast<std::size_t>(index)].worker = worker.life.worker;
    m_pool.Attach(worker, {.step = &step, .index = index});
  }

  void Remove(WorkflowStep& step) {
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (step.tasks[i].state != TaskState::kPlaced) continue;
      m_pool.Detach(*m_pool.FindLife({.worker = step.tasks[i].worker, .born = 1}),
                    {.step = &step, .index = static_cast<int>(i)});
      step.tasks[i] = {};
    }
  }

  const std::vector<PoolWorker*>& workers() const { return m_pool.workers(); }
  PoolWorker& worker(const std::string& name) { return *m_pool.FindLife({.worker = name, .born = 1}); }

 private:
  WorkerPool m_pool;
  std::vector<std::unique_ptr<WorkflowJob>> m_jobs;
  std::vector<std::unique_ptr<WorkflowStep>> m_steps;
};

struct ServingRow {
  const char* name;
  std::map<std::string, std::map<std::string, int>> workers;  ///< serving tasks by worker and image
  std::string image;
  std::string chosen;
  bool has_demand = true;
  std::int64_t first_cpu = 24000;  ///< of worker "a"
};

// "sorter" and "packer" are in demand. "sorter" harms "shop" and "stall", "packer" harms "till"; "kiosk" is harmed by
// neither, and nothing is known of "novel".
TEST_CASE("a serving task goes where it takes least from filler tasks", "[joint-placement]") {
  const ServingRow row = GENERATE(
      ServingRow{"beside its own image", {{"a", {{"till", 2}}}, {"b", {{"shop", 2}}}}, "shop", "b"},
      ServingRow{
          "beside an image that is harmed by the same", {{"a", {{"till", 2}}}, {"b", {{"stall", 2}}}}, "shop", "b"},
      ServingRow{"not beside an unharmed one if another is harmed",
                 {{"a", {{"kiosk", 2}}}, {"b", {{"stall", 2}}}},
                 "shop",
                 "b"},
      ServingRow{"a worker without serving tasks comes last", {{"a", {}}, {"b", {{"till", 1}}}}, "shop", "b"},
      ServingRow{
          "an unknown image keeps off workers without serving tasks", {{"a", {}}, {"b", {{"till", 1}}}}, "novel", "b"},
      ServingRow{"a harmless image may take a small one", {{"a", {}}, {"b", {{"kiosk", 1}}}}, "kiosk", "a", true, 9000},
      ServingRow{"a harmful image may not", {{"a", {}}, {"b", {{"kiosk", 1}}}}, "shop", "b", true, 9000},
      ServingRow{"the fuller one of two that are equal", {{"a", {{"shop", 1}}}, {"b", {{"shop", 2}}}}, "shop", "b"},
      ServingRow{"without demand, the image alone counts", {{"a", {{"till", 3}}}, {"b", {}}}, "shop", "b", false});
  INFO(row.name);
  InterferenceTable table;
  for (const char* serving : {"shop", "stall", "till", "kiosk"}) {
    const bool is_till = std::string(serving) == "till";
    const bool is_kiosk = std::string(serving) == "kiosk";
    table.Set({serving, "sorter", is_till || is_kiosk ? 0 : kHeavyLoss});
    table.Set({serving, "packer", is_till ? kHeavyLoss : 0});
  }
  FillerDemand demand;
  if (row.has_demand) {
    demand.Add("sorter", 36000, kNow);
    demand.Add("packer", 36000, kNow);
  }
  FillingCapacity capacity;
  capacity.Update(table, demand, kNow);
  const InterferenceModel model;
  const PlacementPolicy policy(model, capacity, {});
  Fleet fleet;
  for (const auto& [name, images] : row.workers) {
    PoolWorker& worker = fleet.AddWorker(name, name == "a" ? row.first_cpu : 24000);
    for (const auto& [image, tasks] : images) {
      WorkflowStep& step = fleet.AddStep(image, tasks, 3200, 0);
      for (int i = 0; i < tasks; ++i) fleet.Attach(step, i, worker);
    }
  }
  const PoolWorker* chosen = policy.Choose(fleet.AddStep(row.image, 1, 3200, 0), 0, fleet.workers(), {}, kNow);
  REQUIRE(chosen != nullptr);
  CHECK(chosen->life.worker == row.chosen);
}

struct FleetFigures {
  double capacity = 0;      ///< for filler tasks, cores
  std::int64_t blocks = 0;  ///< further tasks of 3.2 cores that find room beside the reserve of short tasks
  int unplaced = 0;

  FleetFigures& operator+=(const FleetFigures& other) {
    capacity += other.capacity;
    blocks += other.blocks;
    unplaced += other.unplaced;
    return *this;
  }
};

using Chooser =
    std::function<PoolWorker*(const WorkflowStep& step, int index, const std::vector<PoolWorker*>& workers)>;

/// Placement by free room alone.
PoolWorker* FullestWithRoom(const PlacementPolicy& policy, const WorkflowStep& step, int index,
                            const std::vector<PoolWorker*>& workers) {
  PoolWorker* best = nullptr;
  for (PoolWorker* worker : workers) {
    if (!policy.HasRoom(step, index, *worker, kNow) || !policy.IsEligible(step, *worker, {}, kNow)) continue;
    if (best == nullptr || worker->Free().cpu_millis < best->Free().cpu_millis) best = worker;
  }
  return best;
}

/// 10 serving and 18 filler images in equal demand, of which 60% of the pairs interfere heavily.
FillingCapacity MostlyHeavyCapacity(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  InterferenceTable table;
  FillerDemand demand;
  for (int filler = 0; filler < 18; ++filler) {
    const std::string image = "filler" + std::to_string(filler);
    demand.Add(image, 36000, kNow);
    for (int serving = 0; serving < 10; ++serving) {
      const bool is_heavy = std::bernoulli_distribution(0.6)(random);
      table.Set({"serving" + std::to_string(serving), image, is_heavy ? kHeavyLoss : 0});
    }
  }
  FillingCapacity capacity;
  capacity.Update(table, demand, kNow);
  return capacity;
}

/// Fills that share of 60 workers with jobs of 14 serving tasks, and replaces 60 of the jobs one by one.
FleetFigures FillFleet(int percent, std::uint64_t seed, const PlacementPolicy& policy, const FillingCapacity& capacity,
                       const Chooser& choose) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int least, int most) { return std::uniform_int_distribution<int>(least, most)(random); };
  Fleet fleet;
  std::int64_t total = 0;
  for (int i = 0; i < 60; ++i) {
    const std::int64_t cpu = 1000 * draw(16, 32) * (i % 6 == 0 ? 3 : 2) / 2;
    fleet.AddWorker("w" + std::to_string(i), cpu);
    total += cpu;
  }
  FleetFigures figures;
  std::vector<WorkflowStep*> steps;
  const auto place = [&] {
    const int max_per_worker = draw(0, 1) == 0 ? 0 : draw(1, 3);
    WorkflowStep& step = fleet.AddStep("serving" + std::to_string(draw(0, 9)), 14, draw(2600, 3800), max_per_worker);
    for (int i = 0; i < 14; ++i) {
      PoolWorker* worker = choose(step, i, fleet.workers());
      if (worker == nullptr) {
        ++figures.unplaced;
      } else {
        fleet.Attach(step, i, *worker);
      }
    }
    steps.push_back(&step);
  };
  const auto reserved = [&] {
    std::int64_t sum = 0;
    for (const PoolWorker* worker : fleet.workers()) sum += worker->reserved.cpu_millis;
    return sum;
  };
  while (reserved() < total * percent / 100) place();
  for (int i = 0; i < 60; ++i) {
    const auto ended = steps.begin() + draw(0, static_cast<int>(steps.size()) - 1);
    fleet.Remove(**ended);
    steps.erase(ended);
    place();
  }
  for (const PoolWorker* worker : fleet.workers()) {
    figures.capacity += capacity.Of(policy.FillingRoomOf(*worker)) / 1000;
    figures.blocks += std::max<std::int64_t>(0, worker->Free().cpu_millis - 1200) / 3200;
  }
  return figures;
}

struct FleetRow {
  int percent;        ///< of the fleet's CPU that serving tasks reserve
  double least_gain;  ///< filling capacity as a multiple of that by free room; more serving tasks are placed, too
};

// The load: serving tasks hold most of the reserved CPU, and 60% of the pairs of images interfere heavily. Guards
// against placement that leaves idle CPU to filler tasks which their neighbors do not bear, and against fragments in
// which no serving task finds room.
TEST_CASE("placement by filling capacity leaves more of a full fleet to filler tasks", "[joint-placement]") {
  const FleetRow row = GENERATE(FleetRow{60, 1.05}, FleetRow{75, 1.15}, FleetRow{85, 1.0});
  CAPTURE(row.percent);
  const InterferenceModel model;
  FleetFigures by_capacity;
  FleetFigures by_room;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const FillingCapacity capacity = MostlyHeavyCapacity(seed);
    const PlacementPolicy policy(model, capacity, {});
    by_capacity += FillFleet(row.percent, seed, policy, capacity,
                             [&](const WorkflowStep& step, int index, const std::vector<PoolWorker*>& workers) {
                               return policy.Choose(step, index, workers, {}, kNow);
                             });
    by_room += FillFleet(row.percent, seed, policy, capacity,
                         [&](const WorkflowStep& step, int index, const std::vector<PoolWorker*>& workers) {
                           return FullestWithRoom(policy, step, index, workers);
                         });
  }
  CAPTURE(by_capacity.capacity, by_room.capacity, by_capacity.blocks, by_room.blocks, by_capacity.unplaced,
          by_room.unplaced);
  CHECK(by_capacity.capacity >= row.least_gain * by_room.capacity);
  CHECK(2 * by_capacity.unplaced <= by_room.unplaced);
  // Tasks without a worker leave room to others, so they are taken off.
  CHECK((by_capacity.blocks - by_capacity.unplaced) * 100 >= (by_room.blocks - by_room.unplaced) * 98);
}

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
  // Guards against a headroom that follows the load of the moment.
  const double required = SpareRate(0.85 * kTargetMs);
  const double measured = SpareRate(static_cast<double>(row.tail_ms));
  CHECK(policy.FillingRoomOf(learned).serving.at(0).headroom == Approx(measured - required).margin(0.15 * measured));
}

}  // namespace
}  // namespace berylgauge::workflow
