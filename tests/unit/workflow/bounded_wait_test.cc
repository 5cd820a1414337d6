#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "scheduler_world.h"
#include "workflow/job_codec.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(100);
/// The platform accepts that a job has no run for this long while there is room.
constexpr absl::Duration kPromisedWait = absl::Seconds(3);

/// Lets time pass in small steps, without a report of the worker `silent`.
void Pass(SchedulerWorld& world, absl::Duration duration, const std::string& silent = {}) {
  for (absl::Duration passed = kTick; passed <= duration; passed += kTick) {
    world.Sleep(kTick);
    world.SettleWithout(silent);
  }
}

// Guards against a task whose patience with better workers begins anew with each start that a worker refuses.
TEST_CASE("refused starts do not keep a task that lasts from the reserve of short tasks", "[wait]") {
  SchedulerWorld world;
  world.AddWorker("w1").refusal = StartRefusal::kUnhealthy;
  world.AddWorker("w2").capacity.cpu_millis = 3500;
  world.Submit(SingleStepJob("a0", LastingStep(1)));
  Pass(world, kPromisedWait);
  CHECK(world.PlaceOf("a0.0.0.0") == "w2");
}

// Guards against a filling task that waits for a better worker after it has waited for a former owner's lease.
TEST_CASE("a filling task takes a slow worker as soon as the leases of a former owner are over", "[wait]") {
  SchedulerWorld world;
  world.AddWorker("w2");
  world.Submit(SingleStepJob("b0", FillingStep(4)));
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", FillingStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.Sleep(absl::Milliseconds(600));  // until it is recorded that the start was answered
  world.Settle();
  world.Replace();
  Pass(world, absl::Milliseconds(9000), "w1");
  REQUIRE(world.StartsOf("a0.0.0.0") == 1);
  Pass(world, absl::Milliseconds(300), "w1");
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

struct OtherRunRow {
  const char* name;
  bool is_silent;       ///< the worker of the other run stops reporting
  bool answers_starts;  ///< of that worker
  int measured;         ///< thousandths of a core that the other run uses
  bool is_replaced;     ///< the owner, after that
  bool is_placed;       ///< the task that waits, on a worker that it should not take
};

// Guards against a job that has nothing at work and waits beside free workers, because a run of it is recorded.
TEST_CASE("only a run at work makes the other filling tasks of its job wait", "[wait]") {
  const OtherRunRow row =
      GENERATE(OtherRunRow{"at work", false, true, 4000, false, false},
               OtherRunRow{"at work, with a successor of the owner", false, true, 4000, true, false},
               OtherRunRow{"at a silent worker", true, true, 4000, false, true},
               OtherRunRow{"at a silent worker, with a successor of the owner", true, true, 4000, true, true},
               OtherRunRow{"its start has no answer", false, false, 0, false, true},
               OtherRunRow{"at a standstill", false, true, 0, false, true});
  INFO(row.name);
  SchedulerWorld world;
  world.AddWorker("w2");
  world.Submit(SingleStepJob("b0", FillingStep(4)));  // as many as the idle processors carry
  PlayedWorker& worker = world.AddWorker("w1");
  worker.capacity.memory_mb = 1000;
  worker.answers_starts = row.answers_starts;
  worker.measured["a0.0.0.0"] = row.measured;
  world.Submit(SingleStepJob("a0", FillingStep(2)));
  REQUIRE(world.StartsOf("a0.0.0.0") == (row.answers_starts ? 1 : 0));
  REQUIRE(world.PlaceOf("a0.0.0.1").empty());
  if (row.is_replaced) world.Replace();
  Pass(world, kPromisedWait, row.is_silent ? "w1" : "");
  CHECK(world.PlaceOf("a0.0.0.1") == (row.is_placed ? "w2" : ""));
  CHECK(world.violations().empty());
}

// Guards against the same where the only free worker is in quarantine.
TEST_CASE("only a run at work keeps the other tasks of its job from workers in quarantine", "[wait]") {
  const OtherRunRow row = GENERATE(OtherRunRow{"at work", false, true, 0, false, false},
                                   OtherRunRow{"at a silent worker", true, true, 0, false, true},
                                   OtherRunRow{"its start has no answer", false, false, 0, false, true});
  INFO(row.name);
  SchedulerWorld world;
  world.AddWorker("w2");
  for (const char* id : {"j0", "j1", "j2"}) {
    JobDefinition job = SingleStepJob(id, ShortStep(1));
    job.queue.max_attempts = 1;
    world.Submit(job);
    world.End(std::string(id) + ".0.0.0", RunEndKind::kFailed);
    world.Settle();
  }
  REQUIRE(world.scheduler().QuarantinedWorkers() == 1);
  PlayedWorker& worker = world.AddWorker("w1");
  worker.capacity.cpu_millis = 240;
  worker.answers_starts = row.answers_starts;
  JobDefinition job = SingleStepJob("a0", ShortStep(2));
  job.queue.max_attempts = 1;  // or a task would be the trial of the other worker
  world.Submit(job);
  REQUIRE(world.StartsOf("a0.0.0.0") == (row.answers_starts ? 1 : 0));
  REQUIRE(world.PlaceOf("a0.0.0.1").empty());
  Pass(world, kPromisedWait, row.is_silent ? "w1" : "");
  CHECK(world.PlaceOf("a0.0.0.1") == (row.is_placed ? "w2" : ""));
}

// Guards against an occurrence that never runs: it waited while a later one was placed, so no record told of it.
TEST_CASE("an occurrence that waits outlives its owner although a later one has begun", "[wait]") {
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  worker.condition = WorkerCondition::kDraining;
  worker.capacity.cpu_millis = 240;
  JobDefinition job = SingleStepJob("a0", ShortStep(1));
  job.occurrences = 2;
  job.first_due_unix_ms = world.unix_now_ms();
  job.interval_ms = 5000;
  world.Submit(job);
  Pass(world, absl::Seconds(5));
  worker.condition = WorkerCondition::kReady;
  world.Settle();
  REQUIRE(world.PlaceOf("a0.1.0.0") == "w1");  // the earlier one can no longer be in time
  world.Replace();
  world.Settle();
  world.End("a0.1.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PlaceOf("a0.0.0.0") == "w1");
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
}

// Guards against an owner that stands still for as long as it creates all occurrences of a job that are due.
TEST_CASE("a job with very many due occurrences gets them bit by bit", "[wait]") {
  constexpr std::size_t kAtOnce = 10'000;
  constexpr std::size_t kDue = 12'000;
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  worker.condition = WorkerCondition::kDraining;
  worker.capacity = {.cpu_millis = 240 * kDue, .memory_mb = 480 * kDue};
  JobDefinition job = SingleStepJob("a0", ShortStep(1));
  job.occurrences = kDue;
  job.first_due_unix_ms = world.unix_now_ms();
  world.Submit(job);
  CHECK(world.scheduler().WaitingTasks() == kAtOnce);
  worker.condition = WorkerCondition::kReady;
  world.Settle();
  CHECK(world.RunningTasks() == kDue);
  CHECK(world.scheduler().WaitingTasks() == 0);
}

// Guards against a bound on the former that keeps an occurrence from its first step, because later steps of others
// wait.
TEST_CASE("a job with very many tasks that find no worker still gets its occurrences", "[wait]") {
  constexpr int kOccurrences = 5;
  SchedulerWorld world;
  world.AddWorker("w1");
  JobDefinition job = SingleStepJob("a0", ShortStep(1));
  StepDefinition second = ShortStep(4000);
  second.required_label = "none";
  second.after = {0};
  job.steps.push_back(second);
  job.occurrences = kOccurrences;
  job.first_due_unix_ms = world.unix_now_ms();
  world.Submit(job);
  CHECK(world.RunningTasks() == kOccurrences);
}

// Guards against a gang that waits beside free workers, because nothing looks at it when its patience ends.
TEST_CASE("a gang that lasts takes the reserve of short tasks without another event", "[wait]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.cpu_millis = 3500;
  StepDefinition step = LastingStep(1);
  step.gang = true;
  world.Submit(SingleStepJob("a0", step));
  REQUIRE(world.RunningTasks() == 0);
  Pass(world, kPromisedWait);
  CHECK(world.RunningTasks() == 1);
}

struct ChangeRow {
  const char* name;
  bool grows;
};

// Guards against a task that waits beside a worker that has become fit for it, until something else happens.
TEST_CASE("a worker that has more room or another label is used at once", "[wait]") {
  const ChangeRow row = GENERATE(ChangeRow{"room", true}, ChangeRow{"label", false});
  INFO(row.name);
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  if (row.grows) worker.capacity.cpu_millis = 100;
  StepDefinition step = ShortStep(1);
  step.required_label = row.grows ? "a" : "b";
  world.Submit(SingleStepJob("a0", step));
  REQUIRE(world.RunningTasks() == 0);
  worker.capacity.cpu_millis = 16000;
  worker.labels.push_back("b");
  world.Settle();
  CHECK(world.RunningTasks() == 1);
}

// Guards against members of a gang that are started although one of them was given up before its start was sent.
TEST_CASE("no member of a gang is started when the start of another is forbidden", "[wait]") {
  const std::string forbidden_zone = GENERATE("north", "south");
  INFO(forbidden_zone);
  SchedulerWorld world;
  for (const char* zone : {"north", "south"}) {
    PlayedWorker& worker = world.AddWorker(zone);
    worker.zone = zone;
    worker.capacity.cpu_millis = 240;
  }
  world.Settle();
  StepDefinition step = ShortStep(2);
  step.gang = true;
  JobIndex index;
  index.ApplySubmission("a0", EncodeJob(SingleStepJob("a0", step)));
  Scheduler& scheduler = world.scheduler();
  scheduler.AddJob("a0", *index.Find("a0"), world.now(), world.unix_now_ms());
  scheduler.Advance(world.now(), world.unix_now_ms());
  const Batch* batch = scheduler.TakeBatch(world.now());
  REQUIRE(batch != nullptr);
  REQUIRE(batch->starts.size() == 2);
  scheduler.SetLimits({.evacuated_zones = {forbidden_zone}});
  CHECK(scheduler.OnBatchDurable(world.now()).starts.empty());
  CHECK(scheduler.PlacedTasks() == 0);
}

// Guards against a task that waits for the lease of a worker that had been silent when the task was placed there.
TEST_CASE("a silent worker is chosen last", "[wait]") {
  const bool has_other = GENERATE(true, false);
  SchedulerWorld world;
  world.AddWorker("w1");
  if (has_other) world.AddWorker("w2").capacity.cpu_millis = 3000;
  world.Settle();
  Pass(world, absl::Milliseconds(2500), "w1");
  world.worker("w1").answers_starts = false;
  world.SubmitWithout("w1", SingleStepJob("a0", ShortStep(1)));  // goes where most is free
  CHECK(world.PlaceOf("a0.0.0.0") == (has_other ? "w2" : ""));
  CHECK(world.scheduler().PlacedTasks() == 1);
}

// Guards against a pause between the runs of a job that gets slow workers only.
TEST_CASE("a filling task that has waited takes a slow worker when the run before it ends", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", FillingStep(4)));  // as many as the idle processors carry
  world.Submit(SingleStepJob("b0", FillingStep(3)));
  world.Sleep(absl::Milliseconds(2500));
  world.Settle();
  REQUIRE(world.PlaceOf("b0.0.0.0") == "w1");
  world.End("b0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PlaceOf("b0.0.0.1") == "w1");
}

}  // namespace
}  // namespace berylgauge::workflow
