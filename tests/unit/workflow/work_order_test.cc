#include "workflow/work_order.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "scheduler_world.h"
#include "workflow/workflow_job.h"

namespace berylgauge::workflow {
namespace {

StepDefinition StepOf(std::int64_t estimate_ms, std::vector<int> after = {}) {
  StepDefinition step;
  step.estimate_ms = estimate_ms;
  step.after = std::move(after);
  return step;
}

TEST_CASE("the chains of a job follow the order of its steps", "[order]") {
  JobDefinition job;
  job.steps = {StepOf(100), StepOf(500), StepOf(200, {0}), StepOf(50, {1, 2})};
  const ChainTimes times = EstimateChains(job);
  CHECK(times.whole == absl::Milliseconds(550));
  CHECK(times.from_steps == std::vector<absl::Duration>{absl::Milliseconds(350), absl::Milliseconds(550),
                                                        absl::Milliseconds(250), absl::Milliseconds(50)});
}

struct AgeRow {
  std::int64_t begun_unix_ms;
  std::int64_t now_unix_ms;
  absl::Duration age;
};

// Guards against deadlines that a clock that was stepped moves into the future or far into the past.
TEST_CASE("the age of a job is bounded", "[order]") {
  const AgeRow row =
      GENERATE(AgeRow{5000, 9000, absl::Seconds(4)}, AgeRow{0, 9000, absl::ZeroDuration()},
               AgeRow{9000, 5000, absl::ZeroDuration()}, AgeRow{1, 1'700'000'000'000, absl::Minutes(10)});
  CHECK(AgeOf(row.begun_unix_ms, row.now_unix_ms) == row.age);
}

JobDefinition TwoSecondJob(const std::string& id) {
  StepDefinition step = StepOf(2000);
  step.task_count = 2;
  step.demand = {.cpu_millis = 1000, .memory_mb = 100};
  JobDefinition job = SingleStepJob(id, step);
  job.queue.stretch = 2;
  return job;
}

// The pattern "overload of batch work": jobs arrive at one and a half times what the workers can do. By deadline alone
// each job gets room when it is already too late for it.
TEST_CASE("under overload the jobs that can still be in time are", "[order]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.cpu_millis = 4000;  // one job a second
  const absl::Duration tick = absl::Milliseconds(100);
  const int ticks = 600;
  std::map<std::string, MonotonicTime> accepted;
  std::map<std::string, MonotonicTime> begun;
  int submitted = 0;
  int in_time = 0;
  for (int i = 0; i < ticks; ++i) {
    world.Sleep(tick);
    for (; submitted * 1000 < i * 150; ++submitted) {
      const std::string id = "a" + std::to_string(submitted);
      accepted[id] = world.now();
      world.Submit(TwoSecondJob(id));
    }
    for (const auto& [task, run] : std::map<std::string, int>(world.worker("w1").runs)) {
      const auto [start, is_new] = begun.emplace(task, world.now());
      if (world.now() - start->second >= absl::Seconds(2)) world.End(task, RunEndKind::kDone);
    }
    world.Settle();
    for (auto job = accepted.begin(); job != accepted.end();) {
      if (world.PhaseOf(job->first) != JobPhase::kDone) {
        ++job;
        continue;
      }
      if (world.now() - job->second <= absl::Seconds(4) + 2 * tick) ++in_time;
      job = accepted.erase(job);
    }
  }
  CHECK(submitted == 90);
  // Two thirds could be; half is asked for.
  CHECK(in_time >= submitted / 2);
}

// Guards against jobs that lose their age, and with it their turn, when another owner takes over.
TEST_CASE("a successor knows how old a job is", "[order]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.cpu_millis = 2000;
  JobDefinition late = TwoSecondJob("a0");
  late.accepted_unix_ms = world.unix_now_ms() - 3000;  // cannot be in time any more
  JobDefinition fresh = TwoSecondJob("b0");
  fresh.accepted_unix_ms = world.unix_now_ms();
  world.worker("w1").condition = WorkerCondition::kDraining;
  world.Submit(late);
  world.Submit(fresh);
  world.Replace();
  world.worker("w1").condition = WorkerCondition::kReady;
  world.Settle();
  CHECK(world.PlaceOf("b0.0.0.0") == "w1");
  CHECK(world.PlaceOf("a0.0.0.0").empty());
}

struct OrderRow {
  const char* name;
  int priority = 0;
  int estimate_ms = 1000;
  int deadline_ms = 60'000;  ///< from now
  int tasks = 20;
  int begun = 0;  ///< tasks that are placed
  int waited_ms = 0;
};

/// A step of a job of its own.
struct OrderedStep {
  explicit OrderedStep(const OrderRow& row, MonotonicTime now) {
    definition.task_count = row.tasks;
    job.definition.queue.priority = row.priority;
    job.placed = row.begun;
    step.job = &job;
    step.definition = &definition;
    step.name = row.name;
    step.remaining = absl::Milliseconds(row.estimate_ms);
    step.deadline = now + absl::Milliseconds(row.deadline_ms);
    step.late_until = now + absl::Seconds(90);
    step.tasks.resize(static_cast<std::size_t>(row.tasks));
    step.runtimes.resize(static_cast<std::size_t>(row.tasks));
    for (int i = 0; i < row.begun; ++i) step.tasks[static_cast<std::size_t>(i)].state = TaskState::kPlaced;
    for (TaskRuntime& runtime : step.runtimes) runtime.waiting_since = now - absl::Milliseconds(row.waited_ms);
  }

  StepDefinition definition;
  WorkflowJob job;
  WorkflowStep step;
};

struct UrgencyRow {
  const char* rule;
  OrderRow first;
  OrderRow second;
  AgedFirst aged = AgedFirst::kNo;
};

// Guards against capacity that goes to many jobs in part, to jobs that are late in any case, or to one priority after a
// lower one. Each second step would come first without its rule.
TEST_CASE("steps get room in the order of what their callers still gain", "[order]") {
  const UrgencyRow row = GENERATE(values<UrgencyRow>({
      {"priority first", {.name = "b", .priority = 0, .deadline_ms = 0}, {.name = "a", .priority = 1, .begun = 19}},
      {"in time before late", {.name = "b"}, {.name = "a", .estimate_ms = 500, .deadline_ms = 0, .begun = 19}},
      {"the last tasks of a step first", {.name = "b", .estimate_ms = 2000, .begun = 17}, {.name = "a"}},
      {"two tasks are few", {.name = "b", .estimate_ms = 2000, .tasks = 4, .begun = 2}, {.name = "a", .begun = 10}},
      {"jobs that have begun first", {.name = "b", .estimate_ms = 2000, .begun = 2}, {.name = "a"}},
      {"less remaining work first", {.name = "b", .deadline_ms = 9000}, {"a", 0, 2000, 8000}},
      {"late jobs by deadline", {"b", 0, 2000, 900}, {"a", 0, 1500, 1000}},
      {"an aged job after those in time", {.name = "b"}, {.name = "a", .deadline_ms = 0, .waited_ms = 30'000}},
      {"an aged job first in its turn",
       {.name = "b", .deadline_ms = 0, .waited_ms = 20'000},
       {.name = "a", .begun = 19},
       AgedFirst::kYes},
      {"the oldest first",
       {.name = "b", .deadline_ms = 0, .waited_ms = 40'000},
       {.name = "a", .waited_ms = 30'000},
       AgedFirst::kYes},
      {"a job with a run does not age",
       {.name = "b"},
       {.name = "a", .deadline_ms = 0, .begun = 1, .waited_ms = 30'000},
       AgedFirst::kYes},
      {"age does not outweigh priority",
       {.name = "b", .priority = 0},
       {.name = "a", .priority = 1, .waited_ms = 30'000},
       AgedFirst::kYes},
  }));
  CAPTURE(row.rule);
  const MonotonicTime now(absl::Hours(1));
  OrderedStep first(row.first, now);
  OrderedStep second(row.second, now);
  std::vector<WorkflowStep*> steps = {&second.step, &first.step};
  SortByUrgency(steps, row.aged, now);
  CHECK(steps.front()->name == row.first.name);
}

// The load of the test before, with an old job that cannot be in time any more. Guards against a job that waits for as
// long as there is overload.
TEST_CASE("under overload a job that cannot be in time waits for a bounded time", "[order]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.cpu_millis = 4000;  // one job a second
  JobDefinition late = TwoSecondJob("late");
  late.accepted_unix_ms = world.unix_now_ms() - 13'000;  // expired
  for (int i = 0; i < 2; ++i) world.Submit(TwoSecondJob("first" + std::to_string(i)));
  world.Submit(late);
  const MonotonicTime submitted_at = world.now();
  std::map<std::string, MonotonicTime> begun;
  const absl::Duration tick = absl::Milliseconds(100);
  // Jobs that have waited longer: none. The others place two tasks a second.
  const absl::Duration bound = kAgedAfter + absl::Seconds(kPlacementsPerAged / 2 + 1);
  int submitted = 0;
  while (world.PlaceOf("late.0.0.0").empty() && world.now() - submitted_at <= 2 * bound) {
    world.Sleep(tick);
    for (; absl::Milliseconds(submitted * 667) < world.now() - submitted_at; ++submitted) {
      JobDefinition job = TwoSecondJob("a" + std::to_string(submitted));
      job.accepted_unix_ms = world.unix_now_ms();
      world.Submit(job);
    }
    for (const auto& [task, run] : std::map<std::string, int>(world.worker("w1").runs)) {
      const auto [start, is_new] = begun.emplace(task, world.now());
      if (world.now() - start->second >= absl::Seconds(2)) world.End(task, RunEndKind::kDone);
    }
    world.Settle();
  }
  CHECK(world.now() - submitted_at >= kAgedAfter);
  CHECK(world.now() - submitted_at <= bound);
}

// Guards against capacity that a late filling job takes while one that can be in time would run at full speed there.
TEST_CASE("a filling job in time gets the room before a late one", "[order]") {
  SchedulerWorld world;
  world.AddWorker("w1").condition = WorkerCondition::kDraining;
  StepDefinition filling = FillingStep(4);  // as many as the worker carries at full speed
  JobDefinition late = SingleStepJob("a0", filling);
  late.accepted_unix_ms = world.unix_now_ms() - 2000;
  JobDefinition in_time = SingleStepJob("b0", filling);
  in_time.accepted_unix_ms = world.unix_now_ms();
  world.Submit(late);
  world.Submit(in_time);
  world.worker("w1").condition = WorkerCondition::kReady;
  world.Settle();
  CHECK(world.RunningTasks() == 4);
  CHECK(world.PlaceOf("b0.0.0.3") == "w1");
  CHECK(world.PlaceOf("a0.0.0.0").empty());
}

}  // namespace
}  // namespace berylgauge::workflow
