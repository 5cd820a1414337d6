#include <absl/random/random.h>

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "daemon/entry/failure_monitor.h"
#include "daemon/entry/share_controller.h"
#include "schedule/placer.h"
#include "state/batch.h"
#include "state/config_state.h"
#include "state/jobs_state.h"

namespace berylgauge {
namespace {

/// A share with one owner and workers that are always heard; records are folded at once.
class OwnedShare {
 public:
  explicit OwnedShare(int workers, std::int64_t slots) {
    for (int i = 0; i < workers; ++i) SetSlots(i, slots);
    Step();  // claims the share
  }

  void SetSlots(int worker, std::int64_t slots) {
    WorkerView view;
    view.worker = WorkerId("worker-" + std::to_string(worker));
    view.rack = RackId("rack");
    view.zone = AvailabilityZoneId("zone");
    view.agent_incarnation = 1;
    view.capacity = {.cpu_millis = 1'000'000, .memory_mb = 1'000'000, .accelerators = 0, .slots = slots};
    view.as_of = now;
    m_placer.UpsertWorker(view);
  }

  void Submit(const std::string& job, const std::string& team, int importance, int tasks, int deadline_s = 0) {
    JobSpec spec;
    spec.name = job;
    spec.job_class = "batch";
    spec.team = TeamId(team);
    spec.importance = importance;
    spec.task_count = tasks;
    spec.run_estimate_s = 1;
    spec.deadline_unix_ms = deadline_s == 0 ? 0 : absl::ToUnixMillis(WallNow() + absl::Seconds(deadline_s));
    spec.resources = {.cpu_millis = 1, .memory_mb = 1, .accelerators = 0, .slots = 1};
    Append({JobSubmitted{.job = JobId(job), .spec = spec}});
  }

  void Append(const std::vector<JobsRecord>& records) {
    if (records.empty()) return;
    Batch batch{.writer = "w", .incarnation = 1, .sequence = ++m_sequence, .seen = kNoOffset, .records = {}};
    for (const JobsRecord& record : records) batch.records.push_back(EncodeJobsRecord(record));
    for (const FoldOutcome outcome : jobs.Apply(batch, ++m_offset)) REQUIRE(outcome == FoldOutcome::kAccepted);
  }

  ShareDecisions Step() {
    const ShareInputs inputs{
        .jobs = jobs,
        .config = m_config,
        .log_is_fresh = true,
        .owner_is_live = true,
        .owner_silence = absl::ZeroDuration(),
        .preferred_entry = EntryId("entry"),
        .leaving = false,
        .wall_now = WallNow(),
        .heartbeats = {},
        .answers = {},
        .zone_of = [](const WorkerId&) { return AvailabilityZoneId("zone"); },
        .silence_of =
            [this](const WorkerId&) {
              ++silence_lookups;
              return std::optional<absl::Duration>(absl::ZeroDuration());
            },
    };
    ShareDecisions decisions = m_controller.Step(inputs, now, m_random);
    Append(decisions.records);
    now = now + absl::Milliseconds(100);
    return decisions;
  }

  /// Tasks in the order in which they were placed in the next step.
  std::vector<std::string> PlacedInStep() {
    std::vector<std::string> placed;
    for (const JobsRecord& record : Step().records) {
      if (const auto* task = std::get_if<TaskPlaced>(&record)) placed.push_back(task->task.value());
    }
    return placed;
  }

  absl::Time WallNow() const { return absl::FromUnixSeconds(1'000'000) + (now - MonotonicTime()); }

  JobsState jobs;
  MonotonicTime now{absl::Seconds(1000)};
  int silence_lookups = 0;

 private:
  ConfigState m_config;
  Offset m_offset = kNoOffset;
  std::uint64_t m_sequence = 0;
  absl::BitGen m_random;
  Placer m_placer;
  FailureMonitor m_failures;
  ShareController m_controller{{.entry = EntryId("entry"), .incarnation = 1}, m_placer, m_failures};
};

std::string Name(const std::string& job, std::size_t task = 0) { return MakeTaskId(JobId(job), task).value(); }

// Guards against important work that waits behind other work.
TEST_CASE("waiting tasks are placed by urgency, importance and deadline", "[share]") {
  OwnedShare share(1, 100);
  share.Submit("a-none", "t", 5, 1);
  share.Submit("b-low", "t", 1, 1);
  share.Submit("c-urgent", "t", 9, 1);
  share.Submit("d-late", "t", 5, 1, 100'000);
  share.Submit("e-soon", "t", 5, 1, 60);
  CHECK(share.PlacedInStep() ==
        std::vector<std::string>{Name("c-urgent"), Name("e-soon"), Name("d-late"), Name("a-none"), Name("b-low")});
}

// Guards against a team with many tasks that keeps other teams out.
TEST_CASE("teams of equal importance share the room", "[share]") {
  OwnedShare share(1, 4);
  share.Submit("big", "t", 5, 50);
  share.Submit("small", "u", 5, 50);
  int big = 0;
  const std::vector<std::string> placed = share.PlacedInStep();
  for (const std::string& task : placed) big += task.starts_with("big") ? 1 : 0;
  CHECK(placed.size() >= 3);
  CHECK(big >= 1);
  CHECK(big <= 2);
}

// Guards against a task that is forgotten after it found no room.
TEST_CASE("a task without room is placed once there is some", "[share]") {
  OwnedShare share(1, 1);
  share.Submit("first", "t", 5, 1);
  share.Submit("second", "t", 5, 2);
  CHECK(share.PlacedInStep() == std::vector<std::string>{Name("first")});
  for (int i = 0; i < 20; ++i) CHECK(share.PlacedInStep().empty());
  share.SetSlots(0, 100);
  std::vector<std::string> placed;
  for (int i = 0; i < 10; ++i) {
    for (const std::string& task : share.PlacedInStep()) placed.push_back(task);
  }
  CHECK(placed == std::vector<std::string>{Name("second", 0), Name("second", 1)});
}

// Guards against a step that looks at every running attempt although nothing happened to them.
TEST_CASE("a step looks only at attempts that are due", "[share]") {
  constexpr int kTasks = 400;
  OwnedShare share(1, 1'000);
  share.Submit("job", "t", 5, kTasks);
  for (int i = 0; i < 200 && !share.jobs.waiting().empty(); ++i) share.Step();
  REQUIRE(share.jobs.waiting().empty());
  std::vector<JobsRecord> started;
  for (const TaskId& id : share.jobs.live()) {
    started.emplace_back(TaskStarted{.epoch = share.jobs.epoch(), .task = id, .attempt = 1});
  }
  share.Append(started);
  for (int i = 0; i < 20; ++i) share.Step();  // the repeats of the start commands become due once more
  share.silence_lookups = 0;
  for (int i = 0; i < 50; ++i) share.Step();
  // One worker, looked at when it would have been silent for too long.
  CHECK(share.silence_lookups <= 2);
  share.Append({JobCancelled{.job = JobId("job"), .requested_by = "x"}});
  CHECK(share.Step().stops.size() == kTasks);
}

}  // namespace
}  // namespace berylgauge
