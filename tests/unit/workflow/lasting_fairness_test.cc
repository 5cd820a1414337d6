#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scheduler_world.h"
#include "workflow/lasting_shares.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(200);
/// From the last loss of room, or the last job, until the shares are counted.
constexpr absl::Duration kSettlingTime = absl::Seconds(30);
/// A day fails if the largest tenth, or the fifth below it, is served less than half as often as all.
constexpr double kLeastOfAll = 0.5;
constexpr int kWorkers = 40;
constexpr std::int64_t kWorkerCores = 32;
/// Part of what the jobs ask for that the fleet has room for.
constexpr double kRoom = 0.6;

/// How the room becomes short.
enum class Shortage {
  kJobsComeLate,  ///< the first jobs fill the fleet, others follow
  kNeverThere,    ///< all jobs wait when the workers come
  kWorkersLost,   ///< a part of the workers leaves for good
  kAllRunsLost,   ///< a part leaves, and all other workers start again
};

struct ShortageRow {
  const char* name;
  Shortage shortage;
};

/// Jobs of 4 to 28 tasks of 3 to 10 cores that ask for more than the fleet of the test has.
std::vector<JobDefinition> MakeJobs(std::mt19937& random) {
  const auto between = [&](int least, int most) { return std::uniform_int_distribution<int>(least, most)(random); };
  std::vector<JobDefinition> jobs;
  std::int64_t asked = 0;
  while (static_cast<double>(asked) * kRoom < kWorkers * kWorkerCores * 1000) {
    StepDefinition step = LastingStep(between(4, 28));
    step.demand = {.cpu_millis = std::int64_t{100} * between(30, 100),
                   .memory_mb = std::int64_t{1000} * between(5, 20)};
    step.max_per_worker = between(0, 2);
    asked += step.demand.cpu_millis * step.task_count;
    jobs.push_back(SingleStepJob("j" + std::to_string(jobs.size()), step));
  }
  return jobs;
}

void Pass(SchedulerWorld& world, absl::Duration duration) {
  for (absl::Duration passed; passed < duration; passed += kTick) {
    world.Sleep(kTick);
    world.Settle();
  }
}

std::string WorkerName(int number) { return "w" + std::to_string(number); }

void AddWorkers(SchedulerWorld& world, int count) {
  for (int i = 0; i < count; ++i) {
    PlayedWorker& worker = world.AddWorker(WorkerName(i));
    worker.capacity = {.cpu_millis = 1000 * kWorkerCores, .memory_mb = 128'000};
    worker.usual_percent = 100;
  }
}

void Play(SchedulerWorld& world, Shortage shortage, const std::vector<JobDefinition>& jobs) {
  const bool is_lost = shortage == Shortage::kWorkersLost || shortage == Shortage::kAllRunsLost;
  const int before = is_lost ? static_cast<int>(kWorkers / kRoom) : kWorkers;
  if (shortage != Shortage::kNeverThere) AddWorkers(world, before);
  for (const JobDefinition& job : jobs) {
    world.Submit(job);
    Pass(world, kTick);
  }
  if (shortage == Shortage::kNeverThere) AddWorkers(world, before);
  Pass(world, absl::Seconds(5));
  for (int i = kWorkers; i < before; ++i) {
    PlayedWorker& worker = world.worker(WorkerName(i));
    worker.condition = WorkerCondition::kGone;
    worker.runs.clear();
  }
  if (shortage == Shortage::kAllRunsLost) {
    for (int i = 0; i < kWorkers; ++i) world.Restart(WorkerName(i));
  }
  Pass(world, kSettlingTime);
}

void CheckShares(const ShortageRow& row, unsigned seed) {
  INFO(row.name << ", seed " << seed);
  std::mt19937 random(seed);
  SchedulerWorld world;
  Play(world, row.shortage, MakeJobs(random));
  const LastingShares shares = world.scheduler().lasting_shares().at("checks");
  INFO("all " << shares.all << ", least " << shares.least << " of " << shares.least_step);
  CHECK(shares.all > kRoom * 0.8);
  CHECK(shares.largest_tenth >= kLeastOfAll * shares.all);
  CHECK(shares.next_fifth >= kLeastOfAll * shares.all);
  CHECK(shares.least >= kLeastOfAll * shares.all);
  CHECK(world.violations().empty());
}

// Guards against jobs that are placed whole one after the other, so that the last ones get nothing.
TEST_CASE("lasting jobs share room that is placed anew, whatever their size", "[lasting]") {
  const ShortageRow row = GENERATE(ShortageRow{"room was never there", Shortage::kNeverThere},
                                   ShortageRow{"all runs are lost", Shortage::kAllRunsLost});
  CheckShares(row, GENERATE(range(1U, 9U)));
}

// Guards against jobs that get nothing because others hold all room, or because what is free is in pieces that are
// smaller than their tasks.
TEST_CASE("lasting jobs without room get some from those that are served better", "[lasting]") {
  const ShortageRow row = GENERATE(ShortageRow{"jobs come late", Shortage::kJobsComeLate},
                                   ShortageRow{"workers are lost", Shortage::kWorkersLost});
  CheckShares(row, GENERATE(range(1U, 9U)));
}

/// Runs at all workers, by job.
std::map<std::string, int> RunsByJob(SchedulerWorld& world) {
  std::map<std::string, int> runs;
  for (int i = 0; i < kWorkers; ++i) {
    for (const auto& [task, run] : world.worker(WorkerName(i)).runs) ++runs[task.substr(0, task.find('.'))];
  }
  return runs;
}

// Guards against stops for other jobs that take away more tasks of a job at a time than its client allows, also by an
// owner that has just taken over.
TEST_CASE("room for others is not made with more tasks of a job than may be missed", "[lasting]") {
  const unsigned seed = GENERATE(range(1U, 5U));
  INFO("seed " << seed);
  std::mt19937 random(seed);
  SchedulerWorld world;
  std::vector<JobDefinition> jobs = MakeJobs(random);
  for (JobDefinition& job : jobs) job.steps[0].may_miss = std::uniform_int_distribution<int>(1, 3)(random);
  AddWorkers(world, kWorkers);
  for (const JobDefinition& job : jobs) world.Submit(job);
  std::set<std::string> whole;
  for (absl::Duration passed; passed < kSettlingTime; passed += kTick) {
    Pass(world, kTick);
    if (passed == kSettlingTime / 2) {
      CHECK(world.scheduler().counts().rooms_made > 0);
      world.Replace();
    }
    const std::map<std::string, int> runs = RunsByJob(world);
    for (const JobDefinition& job : jobs) {
      const auto of_job = runs.find(job.id);
      const int running = of_job == runs.end() ? 0 : of_job->second;
      const StepDefinition& step = job.steps.front();
      if (running == step.task_count) whole.insert(job.id);
      if (whole.contains(job.id)) REQUIRE(running >= step.task_count - step.may_miss);
    }
  }
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace berylgauge::workflow
