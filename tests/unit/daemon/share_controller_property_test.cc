#include <absl/strings/str_cat.h>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "share_world.h"

namespace berylgauge {
namespace {

/// Uniform in [0, n), whatever the size of the case.
int Pick(int n) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, n)); }

/// Everything does its regular work once, and messages arrive.
void DoRegularRound(ShareWorld& world, int entry) {
  for (int worker = 0; worker < ShareWorld::kWorkers; ++worker) {
    world.ReadReport(worker);
    world.SendHeartbeat(worker, -1, true);
  }
  world.StepEntry(entry);
  world.StepEntry(entry);
  while (world.message_count() > 0) world.DeliverMessage(0, false);
  for (int worker = 0; worker < ShareWorld::kWorkers; ++worker) world.RunCommands(worker, false);
  world.Advance(absl::Milliseconds(500));
}

/// The entry hears nothing of one worker for a long time, while the worker goes on with the other entry.
void CutFromOwner(ShareWorld& world, int worker, int owner) {
  const int other = (owner + 1) % ShareWorld::kEntries;
  for (int i = 0; i < 30; ++i) {
    world.ReadReport(worker);
    world.SendHeartbeat(worker, other, true);
    world.SendHeartbeat((worker + 1) % ShareWorld::kWorkers, -1, true);
    world.ReadReport((worker + 1) % ShareWorld::kWorkers);
    for (int w = 0; w < ShareWorld::kWorkers; ++w) world.RunCommands(w, false);
    world.StepEntry(owner);
    world.Advance(absl::Seconds(1));
    if (!world.Problem().empty()) return;
  }
}

/// Lets one random thing happen.
void DoSomething(ShareWorld& world) {
  const int worker = Pick(ShareWorld::kWorkers);
  const int entry = Pick(ShareWorld::kEntries);
  const auto any_message = [&] { return static_cast<std::size_t>(Pick(static_cast<int>(world.message_count()))); };
  switch (Pick(35)) {
    case 0:
    case 1:
    case 2:
    case 3:
      return world.StepEntry(entry);
    case 4:
      return world.PauseEntry(entry);
    case 5:
      return world.ResumeEntry(entry);
    case 6:
      if (Pick(4) == 0) world.RestartEntry(entry);
      return;
    case 7:
    case 8:
    case 9:
      if (world.message_count() > 0) world.DeliverMessage(any_message(), Pick(3) == 0);
      return;
    case 10:
      if (world.message_count() > 0) world.DropMessage(any_message());
      return;
    case 11:
    case 12:
    case 13:
      return world.SendHeartbeat(worker, Pick(ShareWorld::kEntries + 1) - 1, Pick(5) != 0);
    case 14:
    case 15:
      return world.ReadReport(worker);
    case 16:
    case 17:
    case 18:
      return world.RunCommands(worker, Pick(5) == 0);
    case 19:
      return world.FinishTask(worker, static_cast<std::size_t>(Pick(3)), Pick(2) == 0);
    case 20:
      if (Pick(3) == 0) world.RestartAgent(worker);
      return;
    case 21:
      if (Pick(4) == 0) world.RebootWorker(worker);
      return;
    case 22:
      if (Pick(3) == 0) world.SetZone(worker, Pick(2) == 0 ? AvailabilityState::kDrained : AvailabilityState::kOpen);
      return;
    case 23:
    case 24:
    case 25:
    case 26:
    case 27:
      return DoRegularRound(world, entry);
    case 28:
      if (Pick(4) == 0) CutFromOwner(world, worker, entry);
      return;
    case 29:
      return world.WakeFormerAgent(worker);
    case 30:
    case 31:
      return world.FailAllTasks(worker);
    default:
      return world.Advance(Pick(10) == 0 ? absl::Seconds(30) : absl::Milliseconds(100 + 400 * Pick(4)));
  }
}

/// Runs one random history and returns the first thing that is wrong.
std::string RunHistory(ShareWorld::Options options, int* starts = nullptr) {
  ShareWorld world(options, *rc::gen::arbitrary<std::uint64_t>());
  const int steps = 50 + Pick(400);
  for (int i = 0; i < 6; ++i) DoRegularRound(world, 0);
  for (int i = 0; i < steps; ++i) {
    DoSomething(world);
    const std::string problem = world.Problem();
    if (!problem.empty()) return absl::StrCat("after ", i, " steps: ", problem, "\n", world.trace());
  }
  if (starts != nullptr) *starts += world.starts();
  return "";
}

// Guards against a task that runs in two places or an attempt that starts twice, whatever is lost, late, repeated,
// paused, restarted or drained.
TEST_CASE("a task never runs in two places at once", "[share][property]") {
  int starts = 0;
  rc::prop("random history", [&] {
    const std::string problem = RunHistory({}, &starts);
    RC_ASSERT(problem == "");
  });
  // Three tasks in each of at least 100 histories; fewer starts would mean that hardly anything ran.
  CHECK(starts >= 300);
}

// Guards against a property above that cannot fail.
TEST_CASE("the history check catches broken variants", "[share][property]") {
  const auto is_caught = [](ShareWorld::Options options) {
    return !rc::check("broken variant", [options] { RC_ASSERT(RunHistory(options) == ""); });
  };
  CHECK(is_caught({.ignore_agent_incarnation = true}));
  CHECK(is_caught({.hide_revocations = true}));
}

// Guards against a world in which nothing happens, where the property would hold without meaning.
TEST_CASE("without faults every task succeeds in its first attempt", "[share]") {
  ShareWorld world({}, 1);
  const auto all_done = [&] {
    for (int i = 0; i < ShareWorld::kJobs; ++i) {
      const Job* job = world.jobs().FindJob(ShareWorld::IdOfJob(i));
      if (job == nullptr || !job->IsFinal()) return false;
    }
    return true;
  };
  for (int i = 0; i < 200 && !all_done(); ++i) {
    for (int worker = 0; worker < ShareWorld::kWorkers; ++worker) {
      world.ReadReport(worker);
      world.SendHeartbeat(worker, -1, true);
      world.RunCommands(worker, false);
      world.FinishTask(worker, 0, true);
    }
    world.StepEntry(0);
    while (world.message_count() > 0) world.DeliverMessage(0, false);
    world.Advance(absl::Milliseconds(100));
  }
  REQUIRE(all_done());
  for (int i = 0; i < ShareWorld::kJobs; ++i) {
    for (const Task& task : world.jobs().FindJob(ShareWorld::IdOfJob(i))->tasks) {
      CHECK(task.state == TaskState::kSucceeded);
      CHECK(task.attempt == 1);
    }
  }
}

// Guards against a faulty worker that uses up the attempts of every job, against jobs that are blamed for it, and
// against a new owner that starts to learn from nothing.
TEST_CASE("a worker that fails everything is taken out and the work done elsewhere", "[share]") {
  ShareWorld world({}, 1);
  bool was_out = false;
  bool was_out_for_other_entry = false;
  const auto unfinished = [&] {
    int count = 0;
    for (int i = 0; i < ShareWorld::kJobs; ++i) {
      for (const Task& task : world.jobs().FindJob(ShareWorld::IdOfJob(i))->tasks) {
        if (task.state != TaskState::kSucceeded) ++count;
      }
    }
    return count;
  };
  for (int i = 0; i < 600 && unfinished() > 0; ++i) {
    for (int worker = 0; worker < ShareWorld::kWorkers; ++worker) {
      world.ReadReport(worker);
      world.SendHeartbeat(worker, -1, true);
      world.RunCommands(worker, false);
    }
    world.FailAllTasks(0);
    world.FinishTask(1, 0, true);
    world.StepEntry(0);
    world.WatchEntry(1);
    while (world.message_count() > 0) world.DeliverMessage(0, false);
    world.Advance(absl::Milliseconds(100));
    was_out = was_out || world.IsQuarantined(0, 0);
    was_out_for_other_entry = was_out_for_other_entry || world.IsQuarantined(1, 0);
    CHECK_FALSE(world.IsQuarantined(0, 1));
  }
  CHECK(unfinished() == 0);
  CHECK(was_out);
  CHECK(was_out_for_other_entry);
}

}  // namespace
}  // namespace berylgauge
