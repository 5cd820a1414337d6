#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "scheduler_world.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(50);
/// Declared run time of a task near its data.
constexpr int kEstimateMs = 2000;
const char* const kNearRack = "r1-1";
const char* const kFarRack = "r1-2";

SchedulerOptions WithFarX(double far_x) {
  SchedulerOptions options;
  options.locality.far_x = far_x;
  return options;
}

void AddWorkers(SchedulerWorld& world, const std::string& rack, int count, int slots) {
  for (int i = 0; i < count; ++i) {
    PlayedWorker& worker = world.AddWorker(rack + "-" + std::to_string(i));
    worker.labels = {"a", rack};
    worker.rack = rack;
    worker.capacity = {.cpu_millis = std::int64_t{1000} * slots, .memory_mb = 64000};
  }
}

/// A task that takes one slot.
StepDefinition NearStep(int tasks) {
  return {.task_count = tasks,
          .demand = {.cpu_millis = 1000, .memory_mb = 100},
          .estimate_ms = kEstimateMs,
          .data_rack = kNearRack};
}

/// Lets time pass in small steps, without a report of the worker `silent`.
void Pass(SchedulerWorld& world, absl::Duration duration, const std::string& silent = {}) {
  for (absl::Duration passed = kTick; passed <= duration; passed += kTick) {
    world.Sleep(kTick);
    world.SettleWithout(silent);
  }
}

/// A near worker with one slot, in which a task has 500 ms left, and a far one; job "b0" has just been submitted.
void BeginWait(SchedulerWorld& world, const StepDefinition& waiting) {
  AddWorkers(world, kNearRack, 1, 1);
  AddWorkers(world, kFarRack, 1, 8);
  world.Submit(SingleStepJob("a0", NearStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "r1-1-0");
  Pass(world, absl::Milliseconds(1500));
  world.Submit(SingleStepJob("b0", waiting));
}

// Guards against a task that takes a far worker although a near one becomes free within the time that this costs.
TEST_CASE("a task waits for a near worker that becomes free soon", "[locality]") {
  SchedulerWorld world(WithFarX(2));
  BeginWait(world, NearStep(1));
  CHECK(world.PlaceOf("b0.0.0.0").empty());
  Pass(world, absl::Milliseconds(600));
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PlaceOf("b0.0.0.0") == "r1-1-0");
  CHECK(world.scheduler().counts().near_placements == 2);
  CHECK(world.scheduler().counts().delayed_placements == 1);
}

// Guards against a wait that nothing ends: no event tells that the capacity did not become available.
TEST_CASE("a task whose near capacity does not become available is placed far at the named time", "[locality]") {
  SchedulerWorld world(WithFarX(2));
  BeginWait(world, NearStep(1));
  Pass(world, absl::Milliseconds(700));
  CHECK(world.PlaceOf("b0.0.0.0").empty());
  CHECK(world.scheduler().NextDeadline(world.now()) == world.now() + absl::Milliseconds(50));
  Pass(world, absl::Milliseconds(50));
  CHECK(world.PlaceOf("b0.0.0.0") == "r1-2-0");
  CHECK(world.scheduler().counts().far_placements == 1);
}

struct LossRow {
  const char* name;
  bool is_silent;  ///< otherwise its process is gone
  int within_ms;   ///< after the loss the task must be placed
};

// Guards against a task that goes on waiting for a worker that was lost.
TEST_CASE("a task is placed far if its near worker is lost during the wait", "[locality]") {
  const LossRow row = GENERATE(LossRow{"gone", false, 0}, LossRow{"silent", true, 650});
  INFO(row.name);
  SchedulerWorld world(WithFarX(2));
  BeginWait(world, NearStep(1));
  Pass(world, absl::Milliseconds(100));
  REQUIRE(world.PlaceOf("b0.0.0.0").empty());
  if (!row.is_silent) {
    world.worker("r1-1-0").condition = WorkerCondition::kGone;
    world.worker("r1-1-0").runs.clear();
  }
  world.SettleWithout(row.is_silent ? "r1-1-0" : "");
  Pass(world, absl::Milliseconds(row.within_ms), row.is_silent ? "r1-1-0" : "");
  CHECK(world.PlaceOf("b0.0.0.0") == "r1-2-0");
  CHECK(world.violations().empty());
}

struct OwnerRow {
  const char* name;
  bool is_replaced;
};

// Guards against a job that has no run for 3 s beside free workers, because its long tasks would gain by waiting. The
// runs on the near rack are longer than estimated; a successor of the owner does not know of the wait.
TEST_CASE("a job without a run is started within 3 s, near or far", "[locality]") {
  const OwnerRow row = GENERATE(OwnerRow{"same owner", false}, OwnerRow{"the owner is replaced", true});
  INFO(row.name);
  SchedulerWorld world(WithFarX(3));
  AddWorkers(world, kNearRack, 1, 1);
  AddWorkers(world, kFarRack, 1, 8);
  StepDefinition step = NearStep(1);
  step.estimate_ms = 10'000;
  world.Submit(SingleStepJob("a0", step));
  Pass(world, absl::Milliseconds(8500));
  world.Submit(SingleStepJob("b0", step));
  CHECK(world.PlaceOf("b0.0.0.0").empty());
  Pass(world, absl::Milliseconds(1000));
  if (row.is_replaced) world.Replace(WithFarX(3));
  Pass(world, absl::Milliseconds(2000));
  CHECK(world.PlaceOf("b0.0.0.0") == "r1-2-0");
}

struct SlowRow {
  double far_x;
  const char* place;
};

// Guards against a filling task that gets a near worker on which serving tasks leave it too little processor time.
TEST_CASE("a filling task takes the near worker only if it is not slower than a far one", "[locality]") {
  const SlowRow row = GENERATE(SlowRow{1.5, "r1-2-0"}, SlowRow{3, "r1-1-0"});
  CAPTURE(row.far_x);
  SchedulerWorld world(WithFarX(row.far_x));
  AddWorkers(world, kNearRack, 1, 4);
  AddWorkers(world, kFarRack, 1, 16);
  StepDefinition serving = LastingStep(1);
  serving.tail_target_ms = 50;
  serving.required_label = kNearRack;
  world.Submit(SingleStepJob("serving", serving));
  Pass(world, absl::Milliseconds(1500));  // until it takes the reserve of short tasks
  REQUIRE(world.RunningTasks() == 1);
  StepDefinition filling = FillingStep(1);  // the serving task leaves it 60% of its demand
  filling.data_rack = kNearRack;
  world.Submit(SingleStepJob("filling", filling));
  CHECK(world.PlaceOf("filling.0.0.0") == row.place);
}

// Guards against a search that ends at a task which waits for its rack: nothing was found out about other workers.
TEST_CASE("a task that waits for its rack keeps no other task from free workers", "[locality]") {
  const std::string rack = GENERATE("", kFarRack);
  INFO("rack of the other job: " << rack);
  SchedulerWorld world(WithFarX(2));
  BeginWait(world, NearStep(4));
  CHECK(world.PlaceOf("b0.0.0.0").empty());
  CHECK(world.PlaceOf("b0.0.0.3") == "r1-2-0");  // three tasks are ahead of it
  StepDefinition other = NearStep(2);
  other.data_rack = rack;
  world.Submit(SingleStepJob("c0", other));
  CHECK(world.PlaceOf("c0.0.0.0") == "r1-2-0");
  CHECK(world.PlaceOf("c0.0.0.1") == "r1-2-0");
}

// Guards against a gang that is spread over racks although one rack has room for it soon, and one that waits forever.
TEST_CASE("a gang waits for room on one rack for a bounded time", "[locality]") {
  const bool becomes_free = GENERATE(true, false);
  SchedulerWorld world(WithFarX(2));
  AddWorkers(world, kNearRack, 1, 2);
  AddWorkers(world, kFarRack, 1, 1);
  world.Submit(SingleStepJob("a0", NearStep(1)));
  Pass(world, absl::Milliseconds(1500));
  StepDefinition gang = NearStep(2);
  gang.data_rack.clear();
  gang.gang = true;
  gang.same_rack = true;
  world.Submit(SingleStepJob("b0", gang));
  CHECK(world.RunningTasks() == 1);
  Pass(world, absl::Milliseconds(500));
  if (becomes_free) world.End("a0.0.0.0", RunEndKind::kDone);
  Pass(world, absl::Milliseconds(300));
  CHECK(world.PlaceOf("b0.0.0.0") == "r1-1-0");
  CHECK(world.PlaceOf("b0.0.0.1") == (becomes_free ? "r1-1-0" : "r1-2-0"));
}

/// Ends each run after its time: `far_x` times as long outside the near rack.
class RunClock {
 public:
  RunClock(SchedulerWorld& world, double far_x) : m_world(world), m_far_x(far_x) {}

  void Tick() {
    std::map<std::string, std::string> places;
    for (const char* name : {"r1-1-0", "r1-1-1", "r1-2-0", "r1-2-1", "r1-2-2"}) {
      for (const auto& [task, run] : m_world.worker(name).runs) places[task] = name;
    }
    for (const auto& [task, place] : places) {
      const MonotonicTime begun = m_begun.emplace(task, m_world.now()).first->second;
      const bool is_near = place.starts_with(kNearRack);
      const absl::Duration length = absl::Milliseconds(kEstimateMs) * (is_near ? 1 : m_far_x);
      if (m_world.now() - begun >= length) m_world.End(task, RunEndKind::kDone);
    }
  }

 private:
  SchedulerWorld& m_world;
  double m_far_x;
  std::map<std::string, MonotonicTime> m_begun;
};

// The load: 30 jobs that want a rack with 4 slots, and far workers with room for all. Guards against jobs that all wait
// for the contended rack, and against none that waits, so that all run `far_x` times as long.
TEST_CASE("of many jobs that want one rack, those wait that gain by it", "[locality]") {
  constexpr int kJobs = 30;
  SchedulerWorld world(WithFarX(2));
  AddWorkers(world, kNearRack, 2, 2);
  AddWorkers(world, kFarRack, 3, 20);
  RunClock runs(world, 2);
  world.Submit(SingleStepJob("first", NearStep(4)));
  REQUIRE(world.scheduler().counts().near_placements == 4);
  runs.Tick();
  for (int i = 0; i < 24; ++i) {
    Pass(world, kTick);
    runs.Tick();
  }
  const MonotonicTime submitted = world.now();  // the first runs have 800 ms left
  for (int i = 0; i < kJobs; ++i) world.Submit(SingleStepJob("j" + std::to_string(i), NearStep(1)));
  CHECK(world.scheduler().WaitingTasks() == 4);  // as many as the rack will have slots for
  CHECK(world.scheduler().counts().far_placements == kJobs - 4);
  while (world.scheduler().counts().jobs_done < kJobs + 1 && world.now() - submitted < absl::Seconds(20)) {
    Pass(world, kTick);
    runs.Tick();
  }
  CHECK(world.scheduler().counts().near_placements == 8);
  CHECK(world.now() - submitted <= absl::Milliseconds(4200));  // no job takes longer than one far run
  CHECK(world.violations().empty());
}

// Guards against jobs that go on waiting for a rack although no wait succeeds: the runs there have no progress, and
// always seem to end in 1.2 s.
TEST_CASE("jobs seldom wait for a rack while no wait for it succeeds", "[locality]") {
  constexpr int kJobs = 30;
  constexpr std::size_t kSlots = 4;
  SchedulerWorld world(WithFarX(2));
  AddWorkers(world, kNearRack, 1, kSlots);
  AddWorkers(world, kFarRack, 1, 100);
  StepDefinition step = NearStep(static_cast<int>(kSlots));
  step.saves_progress = true;
  world.Submit(SingleStepJob("a0", step));
  for (std::size_t i = 0; i < kSlots; ++i) {
    const std::string task = "a0.0.0." + std::to_string(i);
    world.End(task, RunEndKind::kStopped, "0a");
    world.worker("r1-1-0").percents[task] = 40;
  }
  world.Settle();
  REQUIRE(world.worker("r1-1-0").runs.size() == kSlots);
  for (int i = 0; i < kJobs; ++i) {
    Pass(world, absl::Milliseconds(200));
    world.Submit(SingleStepJob("j" + std::to_string(i), NearStep(1)));
  }
  Pass(world, absl::Seconds(2));
  CHECK(world.RunningTasks() == kJobs + kSlots);
  // The first ones, of which nothing was known yet, and some later ones.
  CHECK(world.scheduler().counts().delayed_placements >= kSlots);
  CHECK(world.scheduler().counts().delayed_placements <= 2 * kSlots);
}

// Guards against a job that has no run for 3 s, because a task of it has begun to wait while another one was at work.
TEST_CASE("a task no longer waits for its rack when the other run of its job is lost", "[locality]") {
  SchedulerWorld world(WithFarX(3));
  AddWorkers(world, kNearRack, 1, 1);
  AddWorkers(world, kFarRack, 2, 8);
  StepDefinition step = NearStep(1);
  step.estimate_ms = 10'000;
  world.Submit(SingleStepJob("a0", step));
  Pass(world, absl::Seconds(2));
  step.task_count = 2;
  world.Submit(SingleStepJob("b0", step));
  const std::string lost = world.PlaceOf("b0.0.0.0");
  REQUIRE(lost.starts_with(kFarRack));  // the near run is expected to last for longer than a job may have no run
  Pass(world, absl::Seconds(3));
  REQUIRE(world.PlaceOf("b0.0.0.1").empty());
  Pass(world, absl::Seconds(2), lost);
  CHECK(world.PlaceOf("b0.0.0.1") == (lost == "r1-2-0" ? "r1-2-1" : "r1-2-0"));
}

// Guards against a task that runs again on a worker where it failed, for the sake of its data.
TEST_CASE("a task that failed on the near worker takes a far one", "[locality]") {
  SchedulerWorld world(WithFarX(3));
  AddWorkers(world, kNearRack, 1, 1);
  AddWorkers(world, kFarRack, 1, 1);
  world.Submit(SingleStepJob("a0", NearStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "r1-1-0");
  world.End("a0.0.0.0", RunEndKind::kFailed);
  Pass(world, absl::Milliseconds(100));
  CHECK(world.PlaceOf("a0.0.0.0") == "r1-2-0");
}

// Guards against a gang that waits for its rack and is placed on workers in quarantine meanwhile.
TEST_CASE("a gang that waits for its rack is kept from workers in quarantine", "[locality]") {
  SchedulerWorld world(WithFarX(2));
  AddWorkers(world, "r1-3", 1, 2);
  for (const char* id : {"j0", "j1", "j2"}) {
    JobDefinition job = SingleStepJob(id, ShortStep(1));
    job.queue.max_attempts = 1;
    world.Submit(job);
    world.End(std::string(id) + ".0.0.0", RunEndKind::kFailed);
    world.Settle();
  }
  REQUIRE(world.scheduler().QuarantinedWorkers() == 1);
  AddWorkers(world, kNearRack, 1, 2);
  AddWorkers(world, kFarRack, 1, 1);
  world.Settle();
  world.Submit(SingleStepJob("a0", NearStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "r1-1-0");
  Pass(world, absl::Milliseconds(1100));
  StepDefinition gang = NearStep(2);
  gang.data_rack.clear();
  gang.gang = true;
  gang.same_rack = true;
  world.Submit(SingleStepJob("b0", gang));
  Pass(world, absl::Milliseconds(1200));  // the quarantine keeps it from no worker after 1 s
  CHECK(world.PlaceOf("b0.0.0.0").empty());
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.worker("r1-1-0").runs.size() == 2);
}

}  // namespace
}  // namespace berylgauge::workflow
