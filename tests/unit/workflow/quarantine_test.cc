#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler_world.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr absl::Duration kFailsAfter = absl::Milliseconds(300);
constexpr absl::Duration kDoneAfter = absl::Milliseconds(600);
/// The platform accepts that a job has no run for this long while there is room.
constexpr std::int64_t kPromisedWaitMs = 3000;
/// Longer than the pauses of a worker whose trials go on failing need to reach their limit.
constexpr absl::Duration kLongFault = absl::Seconds(40);

constexpr const char* kSoundLabel = "s";
constexpr const char* kFailingLabel = "f";

StepDefinition GangStep(int tasks) {
  StepDefinition step = ShortStep(tasks);
  step.gang = true;
  return step;
}

StepDefinition OnFailingOnly(StepDefinition step) {
  step.required_label = kFailingLabel;
  return step;
}

/// Workers of which some fail every run, and jobs that arrive all the time.
class FailingFleet {
 public:
  FailingFleet(int workers, int failing) : m_failing(failing) {
    for (int i = 0; i < workers; ++i) {
      const std::string name = "w" + std::to_string(i);
      m_workers.push_back(name);
      m_world.AddWorker(name).labels = {i < failing ? kFailingLabel : kSoundLabel, "r" + std::to_string(i / 3)};
    }
  }

  SchedulerWorld& world() { return m_world; }
  const std::string& worker(int i) const { return m_workers[static_cast<std::size_t>(i)]; }

  /// Occupies the processors of all sound workers with tasks that last and need `memory_mb` each.
  void FillSoundWorkers(std::int64_t memory_mb = 6400) {
    StepDefinition step = LastingStep(5 * (static_cast<int>(m_workers.size()) - m_failing));
    step.demand.memory_mb = memory_mb;
    step.required_label = kSoundLabel;
    JobDefinition job = SingleStepJob("filler", step);
    m_world.Submit(job);
    m_world.Sleep(absl::Seconds(2));  // the reserve of short tasks is taken after a while
    m_world.Settle();
    REQUIRE(m_world.RunningTasks() == static_cast<std::size_t>(step.task_count));
  }

  /// For this long a job of the step arrives in each interval; 0: none. The failing workers fail what they run.
  void Play(absl::Duration duration, const StepDefinition& step, int arrival_ticks) {
    for (int tick = 0; tick * kTick < duration; ++tick) {
      if (arrival_ticks > 0 && tick % arrival_ticks == 0) Submit(step);
      EndRuns();
      m_world.Settle();
      NoteIdleJobs();
      m_world.Sleep(kTick);
    }
  }

  std::string Submit(const StepDefinition& step) {
    const std::string id = "j" + std::to_string(m_submitted++);
    if (step.long_running) m_lasting.insert(id);
    JobDefinition job = SingleStepJob(id, step);
    job.queue.max_attempts = m_max_attempts;
    m_world.Submit(job);
    m_last_busy[id] = m_world.now();
    return id;
  }

  /// The workers fail nothing any more; jobs that have nothing running count as idle from now on.
  void Recover() {
    m_failing = 0;
    m_longest_idle = absl::ZeroDuration();
    for (auto& [job, last_busy] : m_last_busy) last_busy = m_world.now();
  }
  void SetMaxAttempts(int attempts) { m_max_attempts = attempts; }

  /// Longest time for which a job that has not ended had nothing running.
  absl::Duration longest_idle() const { return m_longest_idle; }
  std::string longest_idle_job() const { return m_longest_idle_job; }
  int failed_runs() const { return m_failed_runs; }
  int failed_jobs() const { return m_failed_jobs; }
  int submitted() const { return m_submitted; }

 private:
  void EndRuns() {
    std::vector<std::pair<std::string, RunEndKind>> ends;
    for (int i = 0; i < static_cast<int>(m_workers.size()); ++i) {
      const PlayedWorker& worker = m_world.worker(m_workers[static_cast<std::size_t>(i)]);
      for (const auto& [task, run] : worker.runs) {
        const MonotonicTime begun = m_begun.try_emplace({task, run}, m_world.now()).first->second;
        const absl::Duration age = m_world.now() - begun;
        if (i < m_failing && age >= kFailsAfter) ends.emplace_back(task, RunEndKind::kFailed);
        const bool lasts = m_lasting.contains(task.substr(0, task.find('.')));
        if (i >= m_failing && age >= kDoneAfter && !lasts) ends.emplace_back(task, RunEndKind::kDone);
      }
    }
    for (const auto& [task, kind] : ends) {
      m_world.End(task, kind);
      if (kind == RunEndKind::kFailed) ++m_failed_runs;
    }
  }

  void NoteIdleJobs() {
    std::set<std::string> busy;
    for (const std::string& name : m_workers) {
      for (const auto& [task, run] : m_world.worker(name).runs) busy.insert(task.substr(0, task.find('.')));
    }
    std::erase_if(m_last_busy, [&](const auto& item) {
      const std::optional<JobPhase> phase = m_world.PhaseOf(item.first);
      if (phase == JobPhase::kFailed) ++m_failed_jobs;
      return phase && IsFinal(*phase);
    });
    for (auto& [job, last_busy] : m_last_busy) {
      if (busy.contains(job)) last_busy = m_world.now();
      if (m_world.now() - last_busy <= m_longest_idle) continue;
      m_longest_idle = m_world.now() - last_busy;
      m_longest_idle_job = job;
    }
  }

  SchedulerWorld m_world;
  std::vector<std::string> m_workers;
  int m_failing;
  int m_max_attempts = 100;
  int m_submitted = 0;
  int m_failed_runs = 0;
  int m_failed_jobs = 0;
  std::set<std::string> m_lasting = {"filler"};
  std::map<std::pair<std::string, int>, MonotonicTime> m_begun;
  std::map<std::string, MonotonicTime> m_last_busy;  ///< of jobs that have not ended
  absl::Duration m_longest_idle = absl::ZeroDuration();
  std::string m_longest_idle_job;
};

struct FaultRow {
  const char* name;
  int failing;  ///< of eleven workers
  bool others_full;
  bool is_promised;  ///< under half of the room is in use, or the tasks last: the wait is bounded while workers fail,
                     ///< too
  StepDefinition step;
};

// Guards against jobs that wait without a run beside idle workers, because most workers were taken out at the same
// time.
TEST_CASE("no job waits for workers in quarantine longer than promised", "[quarantine]") {
  const FaultRow row =
      GENERATE(FaultRow{"all workers", 11, false, true, ShortStep(2)},
               FaultRow{"most workers, the others are full", 7, true, true, ShortStep(2)},
               FaultRow{"five of eleven, the others are full", 5, true, false, ShortStep(2)},
               FaultRow{"all workers, filling tasks", 11, false, true, FillingStep(2)},
               FaultRow{"all workers, tasks that last", 11, false, true, LastingStep(2)},
               FaultRow{"five of eleven, the others are full, tasks that last", 5, true, true, LastingStep(2)},
               FaultRow{"all workers, a gang", 11, false, true, GangStep(2)},
               FaultRow{"the only workers with the label", 2, false, true, OnFailingOnly(ShortStep(2))});
  INFO(row.name);
  FailingFleet fleet(11, row.failing);
  if (row.others_full) fleet.FillSoundWorkers();
  // All tasks that last must fit.
  const int arrival_ticks = row.step.long_running ? 50 : 10;
  fleet.Play(kLongFault, row.step, arrival_ticks);
  CHECK(fleet.world().scheduler().counts().quarantines >= static_cast<std::uint64_t>(row.failing));
  {
    INFO("job " << fleet.longest_idle_job() << " while the workers fail");
    if (row.is_promised) CHECK(absl::ToInt64Milliseconds(fleet.longest_idle()) <= kPromisedWaitMs);
  }
  fleet.Recover();
  fleet.Play(absl::Seconds(10), row.step, arrival_ticks);
  INFO("job " << fleet.longest_idle_job() << " after that");
  CHECK(absl::ToInt64Milliseconds(fleet.longest_idle()) <= kPromisedWaitMs);
}

// Guards against a fix of the former test that lets failing workers take all work.
TEST_CASE("a worker that fails everything is taken out", "[quarantine]") {
  const int failing = GENERATE(1, 3);
  INFO(failing << " of eleven workers");
  FailingFleet fleet(11, failing);
  fleet.SetMaxAttempts(2);
  fleet.Play(absl::Seconds(5), ShortStep(6), 5);
  REQUIRE(fleet.world().scheduler().QuarantinedWorkers() == static_cast<std::size_t>(failing));
  const int runs_before = fleet.failed_runs();
  const int jobs_before = fleet.failed_jobs();
  fleet.Play(absl::Minutes(2), ShortStep(6), 5);
  // One trial at a time, with pauses that double from 3 s to 30 s.
  CHECK(fleet.failed_runs() - runs_before <= 8 * failing);
  CHECK(fleet.failed_jobs() == jobs_before);
  CHECK(absl::ToInt64Milliseconds(fleet.longest_idle()) <= kPromisedWaitMs);
}

// Guards against a full service whose waiting jobs lose their attempts on the one worker that has room, because it
// fails.
TEST_CASE("a failing worker takes one task at a time from a full service", "[quarantine]") {
  const std::int64_t memory_mb = GENERATE(100, 6400);
  INFO("others are full with tasks of " << memory_mb << " MB");
  FailingFleet fleet(11, 1);
  fleet.Play(absl::Seconds(5), ShortStep(6), 5);
  REQUIRE(fleet.world().scheduler().counts().quarantines == 1);
  const int failed_before = fleet.failed_runs();
  fleet.FillSoundWorkers(memory_mb);
  fleet.Play(absl::Seconds(20), ShortStep(6), 5);
  // A run fails after 0.3 s, the next trial may follow a second later.
  CHECK(fleet.failed_runs() - failed_before <= 20);
}

struct TrialRow {
  const char* name;
  StepDefinition step;  ///< of the trial that has no result
};

// Guards against a worker that one run without a result keeps closed to all other tasks.
TEST_CASE("a trial without a result does not keep a worker closed", "[quarantine]") {
  const TrialRow row =
      GENERATE(TrialRow{"a short task", ShortStep(1)}, TrialRow{"a filling task at a standstill", FillingStep(1)},
               TrialRow{"a task that lasts and does not get to work", LastingStep(1)});
  INFO(row.name);
  FailingFleet fleet(1, 1);
  fleet.Play(absl::Seconds(5), ShortStep(1), 5);
  REQUIRE(fleet.world().scheduler().QuarantinedWorkers() == 1);
  SchedulerWorld& world = fleet.world();
  for (const auto& [task, run] : std::map(world.worker("w0").runs)) world.End(task, RunEndKind::kFailed);
  for (int i = 0; i < fleet.submitted(); ++i) world.Cancel("j" + std::to_string(i));
  world.Settle();
  const std::string trial = fleet.Submit(row.step);
  world.Sleep(absl::Seconds(2));
  world.Settle();
  REQUIRE(world.PlaceOf(trial + ".0.0.0") == "w0");
  const std::string next = fleet.Submit(ShortStep(1));
  world.Sleep(absl::Seconds(2));
  world.Settle();
  CHECK(world.PlaceOf(next + ".0.0.0") == "w0");
}

// Guards against a pass of placement that gives a worker on trial all tasks that wait.
TEST_CASE("a worker on trial gets one task", "[quarantine]") {
  FailingFleet fleet(3, 1);
  fleet.Play(absl::Seconds(5), ShortStep(6), 5);
  SchedulerWorld& world = fleet.world();
  REQUIRE(world.scheduler().QuarantinedWorkers() == 1);
  REQUIRE(world.worker("w0").runs.empty());
  world.Sleep(absl::Seconds(30));
  fleet.Submit(ShortStep(12));
  CHECK(world.worker("w0").runs.size() == 1);
}

// Guards against a job that fails for good because its last attempt was a trial of a worker that failed all others.
TEST_CASE("the last attempt of a task is not a trial", "[quarantine]") {
  FailingFleet fleet(3, 1);
  fleet.Play(absl::Seconds(5), ShortStep(6), 5);
  SchedulerWorld& world = fleet.world();
  REQUIRE(world.scheduler().QuarantinedWorkers() == 1);
  world.Sleep(absl::Seconds(30));
  fleet.SetMaxAttempts(1);
  fleet.Submit(ShortStep(12));
  CHECK(world.worker("w0").runs.empty());
}

// Guards against a job that fails for good although a sound worker has room, because it had waited for long.
TEST_CASE("the last attempt of a task goes to a sound worker if there is one", "[quarantine]") {
  FailingFleet fleet(3, 1);
  fleet.Play(absl::Seconds(5), ShortStep(6), 5);
  SchedulerWorld& world = fleet.world();
  REQUIRE(world.scheduler().QuarantinedWorkers() == 1);
  for (const char* name : {"w1", "w2"}) world.worker(name).condition = WorkerCondition::kDraining;
  fleet.SetMaxAttempts(1);
  StepDefinition step = ShortStep(1);
  step.required_label = kSoundLabel;
  const std::string task = fleet.Submit(step) + ".0.0.0";
  world.worker("w0").labels.emplace_back(kSoundLabel);
  REQUIRE(world.PlaceOf(task).empty());
  world.worker("w0").condition = WorkerCondition::kDraining;
  world.Sleep(absl::Seconds(30));
  world.Settle();
  REQUIRE(world.PlaceOf(task).empty());
  for (const char* name : {"w0", "w1", "w2"}) world.worker(name).condition = WorkerCondition::kReady;
  world.Settle();
  CHECK_FALSE(world.PlaceOf(task).empty());
  CHECK(world.PlaceOf(task) != "w0");
}

// Guards against tasks that wait on beside a worker that was let back in, because no event led to a pass of placement.
TEST_CASE("a worker that is let back in gets tasks at once", "[quarantine]") {
  FailingFleet fleet(1, 1);
  fleet.Play(absl::Seconds(5), ShortStep(1), 5);
  SchedulerWorld& world = fleet.world();
  for (const auto& [task, run] : std::map(world.worker("w0").runs)) world.End(task, RunEndKind::kFailed);
  for (int i = 0; i < fleet.submitted(); ++i) world.Cancel("j" + std::to_string(i));
  world.Settle();
  REQUIRE(world.scheduler().QuarantinedWorkers() == 1);
  world.Sleep(absl::Seconds(30));
  const std::string trial = fleet.Submit(LastingStep(1)) + ".0.0.0";
  const std::string next = fleet.Submit(ShortStep(1)) + ".0.0.0";
  REQUIRE(world.PlaceOf(trial) == "w0");
  REQUIRE(world.PlaceOf(next).empty());
  world.worker("w0").percents[trial] = 100;
  world.Settle();
  CHECK(world.PlaceOf(next) == "w0");
}

// Guards against a running task that is stopped for a worker that does not take it.
TEST_CASE("a slow filling task is not moved to a worker in quarantine", "[quarantine]") {
  SchedulerWorld world;
  world.AddWorker("a").labels = {kSoundLabel};
  world.AddWorker("b").labels = {kFailingLabel};
  for (const char* id : {"j0", "j1", "j2"}) {
    JobDefinition job = SingleStepJob(id, OnFailingOnly(ShortStep(1)));
    job.queue.max_attempts = 1;
    world.Submit(job);
    world.End(std::string(id) + ".0.0.0", RunEndKind::kFailed);
    world.Settle();
  }
  StepDefinition serving = LastingStep(1);
  serving.required_label = kSoundLabel;
  serving.tail_target_ms = 50;
  world.Submit(SingleStepJob("serving", serving));
  world.Submit(SingleStepJob("filling", FillingStep(1)));
  REQUIRE(world.PlaceOf("filling.0.0.0") == "a");
  world.Sleep(absl::Seconds(2));
  world.Settle();  // the list tells that it got no processor time
  CHECK(world.scheduler().counts().moves == 0);
  CHECK(world.PlaceOf("filling.0.0.0") == "a");
}

}  // namespace
}  // namespace berylgauge::workflow
