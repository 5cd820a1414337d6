#include "daemon/entry/share_usage.h"

#include <absl/random/random.h>

#include <catch2/catch.hpp>

#include "schedule/placer.h"
#include "state/batch.h"
#include "state/jobs_state.h"

namespace berylgauge {
namespace {

const TeamId kTeam("t");
const JobId kJob("job");
const WorkerId kWorker("w");

/// A share with one job of four tasks, and an entry that counts it.
class CountedShare {
 public:
  CountedShare() {
    WorkerView view;
    view.worker = kWorker;
    view.zone = AvailabilityZoneId("z");
    view.capacity = {.cpu_millis = 100, .memory_mb = 100, .accelerators = 0, .slots = 100};
    view.as_of = now;
    placer.UpsertWorker(view);
    JobSpec spec;
    spec.name = "j";
    spec.job_class = "batch";
    spec.team = kTeam;
    spec.task_count = 4;
    spec.resources = {.cpu_millis = 1, .memory_mb = 1, .accelerators = 0, .slots = 1};
    Append(ShareClaimed{.entry = EntryId("e"), .entry_incarnation = 1, .previous_epoch = 0});
    Append(JobSubmitted{.job = kJob, .spec = spec});
  }

  static TaskId TaskOf(std::size_t index) { return MakeTaskId(kJob, index); }

  void Append(const JobsRecord& record) {
    const Batch batch{.writer = "w",
                      .incarnation = 1,
                      .sequence = ++m_sequence,
                      .seen = kNoOffset,
                      .records = {EncodeJobsRecord(record)}};
    REQUIRE(jobs.Apply(batch, ++m_offset).at(0) == FoldOutcome::kAccepted);
  }

  void Place(std::size_t task, const WorkerId& worker = kWorker) {
    Append(TaskPlaced{.epoch = 1,
                      .task = TaskOf(task),
                      .attempt = 1,
                      .worker = worker,
                      .availability_zone = AvailabilityZoneId("z"),
                      .agent_incarnation = 1});
  }

  void End(std::size_t task) {
    Append(TaskEnded{.epoch = 1, .task = TaskOf(task), .attempt = 1, .outcome = AttemptOutcome::kLost});
  }

  /// Books the first attempt of a task with the placer as an owner does.
  void Decide(std::size_t task) {
    const PlacementRequest request{.key = {.task = TaskOf(task), .attempt = 1},
                                   .team = kTeam,
                                   .resources = {.cpu_millis = 1, .memory_mb = 1, .accelerators = 0, .slots = 1}};
    REQUIRE(placer.Place(request, now, m_random).placed());
    usage.RecordDecided(request.key, kWorker);
  }

  std::int64_t Counted() const { return placer.TeamUse(kTeam).slots; }
  std::int64_t Free() const { return placer.FreeOf(kWorker)->slots; }

  JobsState jobs;
  MonotonicTime now{absl::Seconds(1000)};
  Placer placer;
  ShareUsage usage{placer};

 private:
  Offset m_offset = kNoOffset;
  std::uint64_t m_sequence = 0;
  absl::BitGen m_random;
};

// Guards against a quota that each entry grants anew.
TEST_CASE("attempts placed by other entries count for the quota", "[share]") {
  CountedShare share;
  share.Place(0);
  share.Place(1);
  share.usage.Update(share.jobs, false);
  CHECK(share.Counted() == 2);
  share.Place(2);
  share.End(0);
  share.usage.Update(share.jobs, false);
  CHECK(share.Counted() == 2);
  // The view of the worker contains them, so they take no further room there.
  CHECK(share.Free() == 100);
}

// Guards against use that is counted for ever because the end was only in a snapshot.
TEST_CASE("the count is right after a snapshot was loaded", "[share]") {
  CountedShare share;
  share.Place(0);
  share.Place(1);
  share.usage.Update(share.jobs, false);
  share.End(0);
  share.Place(2);
  share.Place(3);
  JobsState restored;
  REQUIRE(restored.Restore(share.jobs.ToJson()));
  share.usage.Update(restored, false);
  CHECK(share.Counted() == 3);
}

// Guards against bookings of placements that the log has refused.
TEST_CASE("a placement that was not accepted is dropped", "[share]") {
  CountedShare share;
  share.usage.Update(share.jobs, true);
  share.Decide(0);
  share.Decide(1);
  CHECK(share.Free() == 98);
  share.Place(0);
  SECTION("nobody placed the task") {
    share.usage.SettleDecided(share.jobs);
    share.usage.Update(share.jobs, true);
    CHECK(share.Counted() == 1);
    CHECK(share.Free() == 99);
  }
  SECTION("another owner placed it elsewhere") {
    share.Place(1, WorkerId("other"));
    share.usage.SettleDecided(share.jobs);
    share.usage.Update(share.jobs, true);
    CHECK(share.Counted() == 2);
    CHECK(share.Free() == 99);
  }
}

// Guards against room on a worker that a former owner keeps booked in addition to the view of the worker.
TEST_CASE("a former owner books nothing on workers", "[share]") {
  CountedShare share;
  share.usage.Update(share.jobs, true);
  share.Decide(0);
  share.Place(0);
  share.usage.SettleDecided(share.jobs);
  share.usage.Update(share.jobs, true);
  CHECK(share.Free() == 99);
  share.usage.Update(share.jobs, false);
  CHECK(share.Free() == 100);
  CHECK(share.Counted() == 1);
  share.End(0);
  share.usage.Update(share.jobs, false);
  CHECK(share.Counted() == 0);
}

}  // namespace
}  // namespace berylgauge
