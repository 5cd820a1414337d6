#include "workflow/scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "scheduler_world.h"

namespace berylgauge::workflow {
namespace {

TEST_CASE("a job of two steps runs in order and is done", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  JobDefinition job = SingleStepJob("a0", ShortStep(2));
  StepDefinition second = ShortStep(1);
  second.after = {0};
  job.steps.push_back(second);
  world.Submit(job);
  CHECK(world.RunningTasks() == 2);
  CHECK(world.PhaseOf("a0") == JobPhase::kRunning);
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PlaceOf("a0.0.1.0").empty());  // a start before all tasks of the step before have ended
  world.End("a0.0.0.1", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PlaceOf("a0.0.1.0") == "w1");
  world.End("a0.0.1.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
  CHECK(world.violations().empty());
}

// Guards against a queue that reports nothing waiting while its jobs' starts have no answer.
TEST_CASE("a job waits until a worker has begun one of its tasks", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1").answers_starts = false;
  world.Submit(SingleStepJob("a0", ShortStep(2)));
  CHECK(world.PhaseOf("a0") == JobPhase::kQueued);
  const bool listed = GENERATE(true, false);
  if (listed) {
    world.worker("w1").runs["a0.0.0.0"] = 1;  // carried out late
  } else {
    world.worker("w1").ends.push_back({.number = 1, .task = "a0.0.0.0", .run = 1, .kind = RunEndKind::kDone});
    world.worker("w1").last_end = 1;
  }
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kRunning);
}

// The pattern "late orders": a worker that leaves starts without an answer looks empty, so it would draw all new work.
TEST_CASE("a worker that leaves starts without an answer is chosen last", "[scheduler]") {
  const bool has_other = GENERATE(true, false);
  SchedulerWorld world;
  world.AddWorker("w1").answers_starts = false;
  if (has_other) world.AddWorker("w2").capacity.cpu_millis = 3000;
  world.worker("w1").capacity.cpu_millis = 60'000;
  world.Submit(SingleStepJob("a0", ShortStep(1)));  // goes where most is free
  world.Sleep(absl::Milliseconds(400));
  world.Settle();
  world.worker("w1").answers_starts = true;
  world.Submit(SingleStepJob("b0", ShortStep(1)));
  CHECK(world.PlaceOf("b0.0.0.0") == (has_other ? "w2" : "w1"));
}

// Guards against tasks of a job that run on because it was cancelled while no owner acted.
TEST_CASE("an owner that takes over stops the runs of a cancelled job", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", LastingStep(2)));
  REQUIRE(world.RunningTasks() == 2);
  world.Cancel("a0");  // recorded, but the owner ends before it acts
  world.Replace();
  world.Settle();
  CHECK(world.RunningTasks() == 0);
  CHECK(world.PhaseOf("a0") == JobPhase::kCancelled);
}

// Guards against a lasting task that waits for ever because of the room kept for short ones.
TEST_CASE("a lasting task takes the reserve of short tasks after a while", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.cpu_millis = 3500;
  world.Submit(SingleStepJob("a0", LastingStep(1)));
  CHECK(world.RunningTasks() == 0);
  world.Sleep(absl::Milliseconds(1300));
  world.Settle();
  CHECK(world.RunningTasks() == 1);
}

// Guards against starts that go to an agent in vain, run after run, until its worker has announced itself (issue 16).
TEST_CASE("nothing is placed at an agent that does not know its worker yet", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.scheduler().OnWorkerUnknown(world.worker("w1").life);
  world.SubmitWithout("w1", SingleStepJob("b0", ShortStep(1)));
  CHECK(world.StartsOf("b0.0.0.0") == 0);
  CHECK(world.PlaceOf("a0.0.0.0") == "w1");  // its run is kept
  world.Settle();
  CHECK(world.PlaceOf("b0.0.0.0") == "w1");
}

// Guards against a job that never runs although most of the workers' room is free, because its filling tasks would run
// slower there than they should (issue 16).
TEST_CASE("a filling task of a job without a run takes a slow worker after a while", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", FillingStep(4)));  // as many as the idle processors carry
  REQUIRE(world.RunningTasks() == 4);
  world.Submit(SingleStepJob("b0", FillingStep(3)));
  CHECK(world.RunningTasks() == 4);
  world.Sleep(absl::Milliseconds(2500));
  world.Settle();
  CHECK(world.PlaceOf("b0.0.0.0") == "w1");
  CHECK(world.RunningTasks() == 5);  // the others of the job would only make each other slower
}

// Guards against a lasting task that stays away for good because others of its job run: each must run wherever there is
// room.
TEST_CASE("each lasting task that fills takes a slow worker after a while", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  StepDefinition step = FillingStep(6);
  step.long_running = true;
  world.Submit(SingleStepJob("a0", step));
  REQUIRE(world.RunningTasks() == 4);
  world.Sleep(absl::Milliseconds(2500));
  world.Settle();
  CHECK(world.RunningTasks() == 6);
}

// Guards against slow filling tasks that take the memory that other work needs.
TEST_CASE("a slow worker is taken only if it has the room twice over", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.memory_mb = 5500;
  world.Submit(SingleStepJob("a0", FillingStep(4)));
  REQUIRE(world.RunningTasks() == 4);
  world.Submit(SingleStepJob("b0", FillingStep(1)));
  world.Sleep(absl::Milliseconds(2500));
  world.Settle();
  CHECK(world.RunningTasks() == 4);
}

// Guards against a job that waits for the room of another service's workers (issue 16).
TEST_CASE("a full service does not make the steps of another one wait", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.cpu_millis = 300;
  world.AddWorker("w2").service = "other";
  world.Submit(SingleStepJob("a0", ShortStep(2)));
  REQUIRE(world.RunningTasks() == 1);
  JobDefinition job = SingleStepJob("b0", ShortStep(1));
  job.queue.service = "other";
  world.Submit(job);
  CHECK(world.PlaceOf("b0.0.0.0") == "w2");
}

struct QuarantineRow {
  const char* name;
  bool is_lasting;    ///< the trial is a task that lasts
  bool is_cancelled;  ///< the trial ends without a result
};

// Guards against a worker that gets nothing any more although it is sound again: nothing looked at it when its pause
// ended, or its trial never ended as done or failed (issue 16).
TEST_CASE("a worker in quarantine is tried again without another event", "[scheduler]") {
  const QuarantineRow row =
      GENERATE(QuarantineRow{"a short trial", false, false}, QuarantineRow{"a lasting trial", true, false},
               QuarantineRow{"a cancelled trial", false, true});
  INFO(row.name);
  SchedulerWorld world;
  world.AddWorker("w1");
  for (const char* id : {"a0", "a1", "a2"}) {
    JobDefinition job = SingleStepJob(id, ShortStep(1));
    job.queue.max_attempts = 1;
    world.Submit(job);
    world.End(std::string(id) + ".0.0.0", RunEndKind::kFailed);
    world.Settle();
  }
  world.Submit(SingleStepJob("b0", row.is_lasting ? LastingStep(1) : ShortStep(1)));
  REQUIRE(world.RunningTasks() == 0);  // in quarantine
  world.Sleep(absl::Seconds(4));
  world.Settle();
  REQUIRE(world.PlaceOf("b0.0.0.0") == "w1");
  if (row.is_cancelled) {
    world.Cancel("b0");
  } else if (row.is_lasting) {
    world.worker("w1").percents["b0.0.0.0"] = 100;
  } else {
    world.End("b0.0.0.0", RunEndKind::kDone);
  }
  world.Settle();
  world.Submit(SingleStepJob("c0", ShortStep(1)));
  CHECK(world.PlaceOf("c0.0.0.0") == "w1");
}

struct FailureRow {
  const char* name;
  bool lasting;
  int failures;
  JobPhase phase;
};

// Guards against a task that runs more often than its attempts allow, and one that lasts and is given up.
TEST_CASE("failed runs are repeated up to the attempts of the queue", "[scheduler]") {
  const FailureRow row = GENERATE(FailureRow{"once", false, 1, JobPhase::kRunning},
                                  FailureRow{"all attempts", false, 2, JobPhase::kFailed},
                                  FailureRow{"lasting", true, 5, JobPhase::kRunning});
  INFO(row.name);
  SchedulerWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Submit(SingleStepJob("a0", row.lasting ? LastingStep(1) : ShortStep(1)));
  for (int i = 0; i < row.failures; ++i) {
    world.Sleep(absl::Seconds(5));
    world.Settle();
    world.End("a0.0.0.0", RunEndKind::kFailed);
    world.Settle();
  }
  world.Sleep(absl::Seconds(5));
  world.Settle();
  CHECK(world.PhaseOf("a0") == row.phase);
  CHECK(world.RunningTasks() == (IsFinal(row.phase) ? 0U : 1U));
}

struct SilenceRow {
  const char* name;
  bool replaced;       ///< another owner takes over before the silence
  bool settled;        ///< every call of the start was answered
  int certain_ms;      ///< the run may be there at least this long
  int repeated_by_ms;  ///< and is repeated by then
};

// Guards against a second run while the first may still be there. A silent worker proves the end by its lease alone,
// and a successor must add the time for which the former owner may have granted more. A call without an answer may be
// carried out late, by a next life that the owner never hears of.
TEST_CASE("a run of a silent worker is repeated only after every lease", "[scheduler]") {
  const SilenceRow row =
      GENERATE(SilenceRow{"same owner", false, true, 4500, 4800}, SilenceRow{"successor", true, true, 9000, 9300},
               SilenceRow{"same owner, a call without an answer", false, false, 39'600, 39'800},
               SilenceRow{"successor, a call without an answer", true, false, 44'700, 44'900});
  INFO(row.name);
  SchedulerWorld world;
  world.AddWorker("w1").settles_starts = row.settled;
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.Sleep(absl::Milliseconds(600));  // until it is recorded that the start was answered
  world.Settle();
  world.AddWorker("w2");
  if (row.replaced) world.Replace();
  world.Sleep(absl::Milliseconds(row.certain_ms));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  world.Sleep(absl::Milliseconds(row.repeated_by_ms - row.certain_ms));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

// Guards against five seconds of waiting for leases after all hosts were restarted: workers come back under new ids.
TEST_CASE("a successor regards a worker as gone when its host has another one", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.Rename("w1", "w2");
  world.Replace();
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 2);
  CHECK(world.PlaceOf("a0.0.0.0") == "w2");
  CHECK(world.violations().empty());
}

TEST_CASE("a worker's new life ends the runs of its former one", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.Restart("w1");
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 2);
  CHECK(world.PlaceOf("a0.0.0.0") == "w1");
}

// Guards against a run that is never stopped because its agent took the worker for gone when the stop came (issue 22).
TEST_CASE("a stop without a result is ordered again", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", LastingStep(1)));
  REQUIRE(world.RunningTasks() == 1);
  world.Cancel("a0");
  const std::vector<StopOrder> stops = world.scheduler().TakeStops();
  REQUIRE(stops.size() == 1);
  world.scheduler().OnStopAnswer(stops[0].task, stops[0].run, stops[0].life, true, world.now());
  world.Settle();
  REQUIRE(world.RunningTasks() == 1);
  world.Sleep(absl::Seconds(3));
  world.Settle();
  CHECK(world.RunningTasks() == 0);
}

struct NextLifeRow {
  const char* name;
  bool has_ended;
  bool is_replaced;
};

// Guards against a second run of a task whose start was carried out by the next life of its worker: a worker that is
// started again keeps its id, so it accepts calls that were meant for its former life (issue 22).
TEST_CASE("a run that the next life of its worker carried out counts", "[scheduler]") {
  const NextLifeRow row = GENERATE(NextLifeRow{"goes on", false, false}, NextLifeRow{"has ended as done", true, false},
                                   NextLifeRow{"goes on, with a successor of the owner", false, true},
                                   NextLifeRow{"has ended as done, with a successor of the owner", true, true});
  INFO(row.name);
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.AddWorker("w2");
  world.Restart("w1");
  world.worker("w1").runs["a0.0.0.0"] = 1;
  if (row.has_ended) world.End("a0.0.0.0", RunEndKind::kDone);
  if (row.is_replaced) world.Replace();
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  CHECK(world.violations().empty());
  CHECK(world.PlaceOf("a0.0.0.0") == (row.has_ended ? "" : "w1"));
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
  CHECK(world.StartsOf("a0.0.0.0") == 1);
}

// Guards against a second run of a task whose start had no answer when its worker ended: the next life may still carry
// that start out (issue 22).
TEST_CASE("a start without answer at a worker that is gone is repeated only after its lease", "[scheduler]") {
  const bool is_carried_out = GENERATE(true, false);
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  worker.answers_starts = false;
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  worker.condition = WorkerCondition::kGone;
  world.AddWorker("w2");
  world.Settle();
  world.Sleep(absl::Seconds(4));
  world.SettleWithout("w1");
  REQUIRE(world.RunningTasks() == 0);
  if (is_carried_out) {
    world.Restart("w1");
    worker.condition = WorkerCondition::kReady;
    worker.runs["a0.0.0.0"] = 1;
    world.Settle();
    CHECK(world.PlaceOf("a0.0.0.0") == "w1");
    CHECK(world.StartsOf("a0.0.0.0") == 0);
  } else {
    // A call may be carried out late by a life that the owner never hears of, which then holds it by the longest lease.
    world.Sleep(absl::Seconds(36));
    world.SettleWithout("w1");
    CHECK(world.RunningTasks() == 0);
    world.Sleep(absl::Milliseconds(400));
    world.SettleWithout("w1");
    CHECK(world.PlaceOf("a0.0.0.0") == "w2");
  }
}

// Guards against runs that wait for a lease although their worker's process is known to have ended.
TEST_CASE("an answered start at a worker that is gone is repeated at once", "[scheduler]") {
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  worker.runs.clear();
  worker.condition = WorkerCondition::kGone;
  world.AddWorker("w2");
  world.Settle();
  CHECK(world.PlaceOf("a0.0.0.0") == "w2");
}

// Guards against a second run beside one that a silent worker keeps by the lease of its former life: that names a time
// on the former clock, so the next life holds it for the longest lease that the platform allows (issue 22).
TEST_CASE("a run of a silent worker that was started again is repeated only after the longest lease", "[scheduler]") {
  const bool is_replaced = GENERATE(false, true);
  SchedulerWorld world({.longest_lease = absl::Seconds(10)});
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.Restart("w1");
  world.worker("w1").runs["a0.0.0.0"] = 1;
  if (is_replaced) world.Replace({.longest_lease = absl::Seconds(10)});
  world.Settle();
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.AddWorker("w2");
  // The run shows that a call for the former life was carried out late; a repeat of it may still be.
  world.Sleep(is_replaced ? absl::Milliseconds(44'700) : absl::Seconds(40));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  world.Sleep(absl::Milliseconds(400));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

struct YoungLifeRow {
  const char* name;
  absl::Duration confirmed;  ///< how long ago its agent had its first answer
  absl::Duration kept;       ///< how long its runs are kept without a sign of it
};

// Guards against a second run beside one that a silent worker keeps by the lease of its former life, when the life was
// known to a former owner and the present one meets it first (issue 28).
TEST_CASE("a new owner takes a young life for one that may hold the lease of a former one", "[scheduler]") {
  const YoungLifeRow row =
      GENERATE(YoungLifeRow{"just confirmed", absl::Milliseconds(100), absl::Seconds(10)},
               YoungLifeRow{"confirmed a while ago", absl::Milliseconds(5100), absl::Seconds(5)},
               YoungLifeRow{"confirmed longer ago than any lease lasts", absl::Hours(1), absl::Milliseconds(4600)});
  INFO(row.name);
  SchedulerWorld world({.longest_lease = absl::Seconds(10)});
  const std::int64_t now_ms = absl::ToInt64Milliseconds(world.now().SinceBoot());
  PlayedWorker& worker = world.AddWorker("w1");
  worker.confirmed_at = world.now() - row.confirmed;
  worker.clock_zero_ms = GENERATE_COPY(std::int64_t{0}, now_ms - 100);  // a life's clock may begin anywhere
  world.Replace({.longest_lease = absl::Seconds(10)});
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.AddWorker("w2");
  world.Sleep(row.kept);
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  world.Sleep(absl::Milliseconds(400));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

// Guards against a second run beside one that a worker keeps by the lease of its former life, when the owner that knew
// of that life is lost and its successor never hears of the worker (issue 46).
TEST_CASE("a successor repeats a run of a silent worker only after the lease of the worker's former life",
          "[scheduler]") {
  SchedulerWorld world({.longest_lease = absl::Seconds(10)});
  world.AddWorker("w1");
  world.Settle();
  world.Restart("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.Sleep(absl::Seconds(1));
  world.Settle();
  world.AddWorker("w2");
  world.Replace({.longest_lease = absl::Seconds(10)});
  // The former owner may grant for 4.5 s.
  world.Sleep(absl::Milliseconds(14'500));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  world.Sleep(absl::Milliseconds(500));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

// Guards against a second run beside one that a worker's next life begins late: a start may be sent until the lease of
// a silent worker is over, so the time in which its call may be carried out does not begin with the worker's last sign
// (issue 46).
TEST_CASE("a start that is sent to a silent worker is repeated only after its call may be carried out", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1").answers_starts = false;
  world.Settle();
  world.Sleep(absl::Milliseconds(4400));
  world.SubmitWithout("w1", SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.scheduler().PlacedTasks() == 1);
  world.AddWorker("w2");
  // 15 s until the call is carried out, 15 s until another one extends the lease, and the longest lease.
  world.Sleep(absl::Milliseconds(40'200));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 0);
  world.Sleep(absl::Milliseconds(200));
  world.SettleWithout("w1");
  CHECK(world.PlaceOf("a0.0.0.0") == "w2");
}

// Guards against a start that counts as settled by a list that is older than the last time at which its call may be
// carried out: an agent repeats the list of a worker that does not answer (issue 46).
TEST_CASE("a list that is repeated does not settle a start", "[scheduler]") {
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  worker.settles_starts = false;
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.AddWorker("w2");
  // The clock of the worker, and so its list, stays the one of the start.
  world.Sleep(absl::Milliseconds(15'100));
  worker.clock_zero_ms += 15'100;
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  world.Sleep(absl::Milliseconds(25'100));
  worker.clock_zero_ms += 25'100;
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  world.Sleep(absl::Milliseconds(400));
  worker.clock_zero_ms += 400;
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

// Guards against a second run beside one that a worker keeps by the lease of a former life, when a worker with another
// id was at the host between the two lives: that one refuses a late call, and the next life under the id takes it.
TEST_CASE("a worker whose id returns to its host may hold the lease of a former life", "[scheduler]") {
  SchedulerWorld world({.longest_lease = absl::Seconds(10)});
  world.AddWorker("w1");
  world.Settle();
  world.Rename("w1", "x1");
  world.Settle();
  world.Rename("x1", "w1");
  world.worker("w1").confirmed_at = world.now();
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.PlaceOf("a0.0.0.0") == "w1");
  world.AddWorker("w2");
  world.Sleep(absl::Seconds(10));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 1);
  world.Sleep(absl::Milliseconds(400));
  world.SettleWithout("w1");
  CHECK(world.StartsOf("a0.0.0.0") == 2);
}

// Guards against a worker that stays unused because its host's time of day was set back before it was started again.
TEST_CASE("a worker's new life may be born earlier by its clock", "[scheduler]") {
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.RunningTasks() == 1);
  const std::int64_t born = worker.life.born - 5000;
  world.Restart("w1");
  worker.life.born = born;
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 2);
  CHECK(world.RunningTasks() == 1);
}

TEST_CASE("nothing is placed in an evacuated zone or on a draining worker", "[scheduler]") {
  struct Row {
    const char* name;
    bool evacuated;
    WorkerCondition condition;
  };
  const Row row =
      GENERATE(Row{"evacuated", true, WorkerCondition::kReady}, Row{"draining", false, WorkerCondition::kDraining},
               Row{"gone", false, WorkerCondition::kGone});
  INFO(row.name);
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  worker.condition = row.condition;
  if (row.evacuated) world.scheduler().SetLimits({.evacuated_zones = {worker.zone}});
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  CHECK(world.RunningTasks() == 0);
  CHECK(world.PhaseOf("a0") == JobPhase::kQueued);
}

// Guards against a task that waits beside free workers after its zone was taken back, until something else happens.
TEST_CASE("a zone that is taken back is used at once", "[scheduler]") {
  SchedulerWorld world;
  PlayedWorker& worker = world.AddWorker("w1");
  world.scheduler().SetLimits({.evacuated_zones = {worker.zone}});
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  REQUIRE(world.RunningTasks() == 0);
  world.scheduler().SetLimits({});
  world.Settle();
  CHECK(world.RunningTasks() == 1);
}

// Guards against a gang of which only some members run while others wait.
TEST_CASE("a gang starts as a whole, restarts as a whole and ends together", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1").capacity.cpu_millis = 1000;
  StepDefinition step = ShortStep(3);
  step.demand.cpu_millis = 500;
  step.gang = true;
  step.saves_progress = true;
  world.Submit(SingleStepJob("a0", step));
  CHECK(world.RunningTasks() == 0);
  world.AddWorker("w2");
  world.Settle();
  CHECK(world.RunningTasks() == 3);
  world.End("a0.0.0.1", RunEndKind::kFailed);
  world.Settle();
  CHECK(world.RunningTasks() == 0);  // the others were stopped
  world.Sleep(absl::Seconds(1));
  world.Settle();
  CHECK(world.RunningTasks() == 3);
  CHECK(world.PhaseOf("a0") == JobPhase::kRunning);
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
}

// Guards against a second run of a gang that is done: the end of one member stands for all, and the lists of the other
// members' workers, which name neither their runs nor ends of them, come first (issue 28).
TEST_CASE("a gang is done by the end of one member, whichever worker reports first", "[scheduler]") {
  const std::string late = GENERATE("", "w1", "w2");
  INFO("late: " << late);
  SchedulerWorld world;
  for (const char* name : {"w1", "w2"}) world.AddWorker(name).capacity.cpu_millis = 500;
  StepDefinition step = ShortStep(2);
  step.demand.cpu_millis = 500;
  step.gang = true;
  world.Submit(SingleStepJob("a0", step));
  REQUIRE(world.RunningTasks() == 2);
  world.Sleep(absl::Seconds(1));
  const std::string ended = world.PlaceOf("a0.0.0.0");
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.worker(ended == "w1" ? "w2" : "w1").runs.clear();
  world.SettleWithout(late);
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
  for (const char* task : {"a0.0.0.0", "a0.0.0.1"}) CHECK(world.StartsOf(task) == 1);
  CHECK(world.violations().empty());
}

// Guards against a gang that is spread over racks, which makes it slower, although one rack has room for it.
TEST_CASE("a gang that wants one rack gets one", "[scheduler]") {
  SchedulerWorld world;
  for (const char* name : {"w1", "w2", "w3"}) world.AddWorker(name).capacity.cpu_millis = 1000;
  world.worker("w2").rack = "r1-2";
  world.worker("w3").rack = "r1-2";
  StepDefinition step = ShortStep(4);
  step.demand.cpu_millis = 500;
  step.gang = true;
  step.same_rack = true;
  world.Submit(SingleStepJob("a0", step));
  CHECK(world.RunningTasks() == 4);
  CHECK(world.worker("w1").runs.empty());
}

// Guards against a batch that the store refuses as a whole, after a takeover or when a large worker comes back.
TEST_CASE("changes beyond the size of a batch wait for the next one", "[scheduler]") {
  constexpr std::size_t kMaxBytes = 600;
  constexpr std::size_t kLargestRecord = 600;  // of a step of 40 tasks
  SchedulerWorld world({.max_batch_bytes = kMaxBytes});
  for (const char* id : {"a0", "a1", "a2", "a3", "a4", "a5"}) world.Submit(SingleStepJob(id, ShortStep(40)));
  world.AddWorker("w1").capacity = {.cpu_millis = 100'000, .memory_mb = 200'000};
  world.Settle();
  CHECK(world.RunningTasks() == 240);
  CHECK(world.batches() >= 3);
  for (const char* id : {"a0", "a1", "a2", "a3", "a4", "a5"}) {
    for (int i = 0; i < 40; ++i) world.End(std::string(id) + ".0.0." + std::to_string(i), RunEndKind::kDone);
  }
  world.Settle();
  for (const char* id : {"a0", "a1", "a2", "a3", "a4", "a5"}) CHECK(world.PhaseOf(id) == JobPhase::kDone);
  CHECK(world.largest_batch_bytes() < kMaxBytes + kLargestRecord);
  CHECK(world.worker("w1").ends.empty());  // all were acknowledged
  CHECK(world.violations().empty());
}

TEST_CASE("occurrences start at their due time, not before", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  JobDefinition job = SingleStepJob("a0", ShortStep(1));
  job.occurrences = 2;
  job.first_due_unix_ms = world.unix_now_ms() + 1000;
  job.interval_ms = 5000;
  world.Submit(job);
  world.Sleep(absl::Milliseconds(999));
  world.Settle();
  CHECK(world.RunningTasks() == 0);
  world.Sleep(absl::Milliseconds(1));
  world.Settle();
  CHECK(world.PlaceOf("a0.0.0.0") == "w1");
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kRunning);
  world.Sleep(absl::Seconds(5));
  world.Settle();
  world.End("a0.1.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);
}

// Guards against jobs whose due times pass without end: each occurrence takes memory at the owner.
TEST_CASE("late occurrences of all jobs together are bounded, and none of them is lost", "[scheduler]") {
  constexpr int kMostWaiting = 10;
  constexpr int kJobs = 20;
  constexpr int kOccurrences = 5;
  SchedulerWorld world({.most_waiting_tasks = kMostWaiting});
  for (int i = 0; i < kJobs; ++i) {
    JobDefinition job = SingleStepJob("a" + std::to_string(i), ShortStep(1));
    job.occurrences = kOccurrences;
    job.first_due_unix_ms = 1;
    job.interval_ms = 1;
    world.Submit(job);
  }
  // One occurrence of each job is created whatever waits.
  CHECK(world.scheduler().WaitingTasks() <= kMostWaiting + kJobs);
  world.AddWorker("w1");
  for (int occurrence = 0; occurrence < kOccurrences; ++occurrence) {
    world.Settle();
    for (int i = 0; i < kJobs; ++i) {
      world.End("a" + std::to_string(i) + "." + std::to_string(occurrence) + ".0.0", RunEndKind::kDone);
    }
  }
  world.Settle();
  for (int i = 0; i < kJobs; ++i) CHECK(world.PhaseOf("a" + std::to_string(i)) == JobPhase::kDone);
  CHECK(world.violations().empty());
}

TEST_CASE("a checkpoint is passed to the next run", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  StepDefinition step = ShortStep(1);
  step.saves_progress = true;
  world.Submit(SingleStepJob("a0", step));
  world.End("a0.0.0.0", RunEndKind::kStopped, "0bb8");
  world.Settle();
  const JobIndex::Job* job = world.index().Find("a0");
  REQUIRE(job != nullptr);
  const auto tasks = DecodeStepProgress(job->steps.at("a0.0.0"), 1);
  REQUIRE(tasks.has_value());
  CHECK(tasks->at(0).checkpoint == "0bb8");
  CHECK(tasks->at(0).run == 2);
}

// Guards against a finished job that runs again, or is shown as queued: its submission is removed by another append
// than its progress, so an owner may be lost between the two.
TEST_CASE("a finished job does not run again if its submission outlives its owner", "[scheduler]") {
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  REQUIRE(world.PhaseOf("a0") == JobPhase::kDone);
  world.Sleep(SchedulerOptions{}.retention + absl::Seconds(2));
  world.Settle();
  CHECK(world.PhaseOf("a0") == JobPhase::kDone);  // the submission is still there
  world.Replace();
  world.Settle();
  CHECK(world.StartsOf("a0.0.0.0") == 1);
}

// Guards against records of finished jobs that stay in the store for good.
TEST_CASE("the summary of a retired job is removed after its submission", "[scheduler]") {
  const bool owner_is_lost = GENERATE(true, false);
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Submit(SingleStepJob("a0", ShortStep(1)));
  world.End("a0.0.0.0", RunEndKind::kDone);
  world.Settle();
  CHECK(world.scheduler().TakeRetiredJobs().empty());
  world.Sleep(SchedulerOptions{}.retention + absl::Seconds(2));
  world.Settle();
  CHECK(world.scheduler().TakeRetiredJobs() == std::vector<std::string>{"a0"});
  world.RemoveSubmission("a0");
  if (owner_is_lost) {
    world.Replace();
  } else {
    world.scheduler().OnSubmissionRemoved("a0");
  }
  world.Settle();
  CHECK(world.index().size() == 0);
}

/// The owner reads the job's newest records again.
void ReadAgain(SchedulerWorld& world, const std::string& job) {
  world.scheduler().AddJob(job, *world.index().Find(job), world.now(), world.unix_now_ms());
}

struct EarlyCancellationRow {
  const char* name;
  void (*happens)(SchedulerWorld&);  ///< half the retention after the cancellation
};

// Guards against a job that runs because its cancellation, acknowledged before it was stored, is removed too early.
TEST_CASE("a cancellation without a job is kept for the retention after its newest use", "[scheduler]") {
  const EarlyCancellationRow row =
      GENERATE(EarlyCancellationRow{"it is acknowledged again", [](SchedulerWorld& world) { ReadAgain(world, "a0"); }},
               EarlyCancellationRow{"the job is stored",
                                    [](SchedulerWorld& world) { world.Submit(SingleStepJob("a0", ShortStep(1))); }},
               EarlyCancellationRow{"another owner takes over", [](SchedulerWorld& world) { world.Replace(); }});
  INFO(row.name);
  const absl::Duration half = SchedulerOptions{}.retention / 2;
  SchedulerWorld world;
  world.AddWorker("w1");
  world.Cancel("a0");
  ReadAgain(world, "a0");
  world.Sleep(half);
  row.happens(world);
  world.Sleep(half + absl::Seconds(2));
  world.Settle();
  CHECK(world.scheduler().TakeRetiredJobs().empty());
  world.Sleep(half);
  world.Settle();
  CHECK(world.scheduler().TakeRetiredJobs() == std::vector<std::string>{"a0"});
  CHECK(world.StartsOf("a0.0.0.0") == 0);
}

/// Runs the jobs to their end one after the other, and waits for the retention of the last one.
void FinishAndAge(SchedulerWorld& world, const std::vector<std::string>& jobs) {
  world.AddWorker("w1");
  for (const std::string& job : jobs) {
    world.Submit(SingleStepJob(job, ShortStep(1)));
    world.End(job + ".0.0.0", RunEndKind::kDone);
    world.Settle();
    world.Sleep(absl::Milliseconds(10));
  }
  world.Sleep(SchedulerOptions{}.retention);
  world.Settle();
}

// Guards against records that stay in the store for good because it did not take their removal.
TEST_CASE("a removal that was not stored is repeated", "[scheduler]") {
  SchedulerWorld world;
  FinishAndAge(world, {"a0"});
  REQUIRE(world.scheduler().TakeRetiredJobs() == std::vector<std::string>{"a0"});
  world.scheduler().OnSubmissionNotRemoved("a0", world.now());
  world.Sleep(SchedulerOptions{}.removal_retry + absl::Seconds(2));
  world.Settle();
  CHECK(world.scheduler().TakeRetiredJobs() == std::vector<std::string>{"a0"});
}

// Guards against submissions that are refused because the removal of many records fills their queue.
TEST_CASE("many jobs are retired a part at a time, the oldest first", "[scheduler]") {
  SchedulerWorld world({.most_retirements = 2});
  FinishAndAge(world, {"a0", "a1", "a2", "a3", "a4"});
  std::vector<std::vector<std::string>> passes;
  for (int pass = 0; pass < 3; ++pass) {
    passes.push_back(world.scheduler().TakeRetiredJobs());
    std::sort(passes.back().begin(), passes.back().end());
    world.Sleep(absl::Seconds(2));
    world.Settle();
  }
  CHECK(passes == std::vector<std::vector<std::string>>{{"a0", "a1"}, {"a2", "a3"}, {"a4"}});
}

struct MoveRow {
  int workers;  ///< with a filling task that gets no processor time, beside as many idle ones
  std::uint64_t least_moves;
};

// Guards against slow tasks that a large fleet moves no faster than a small one.
TEST_CASE("slow filling tasks are moved in proportion to the workers", "[scheduler]") {
  const MoveRow row = GENERATE(MoveRow{2, 2}, MoveRow{30, 12});
  CAPTURE(row.workers);
  SchedulerWorld world;
  StepDefinition serving = LastingStep(1);
  serving.tail_target_ms = 50;
  serving.max_per_worker = 1;
  serving.task_count = row.workers;
  for (int i = 0; i < row.workers; ++i) world.AddWorker("a" + std::to_string(i));
  world.Submit(SingleStepJob("serving", serving));
  StepDefinition filling = FillingStep(row.workers);
  filling.max_per_worker = 1;
  world.Submit(SingleStepJob("filling", filling));
  REQUIRE(world.RunningTasks() == static_cast<std::size_t>(2 * row.workers));
  for (int i = 0; i < row.workers; ++i) world.AddWorker("b" + std::to_string(i));
  world.Settle();
  world.Sleep(absl::Seconds(2));
  world.Settle();
  CHECK(world.scheduler().counts().moves >= row.least_moves);
}

}  // namespace
}  // namespace berylgauge::workflow
