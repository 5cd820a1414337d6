#include "daemon/entry/failure_monitor.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "state/batch.h"
#include "state/jobs_state.h"

namespace berylgauge {
namespace {

constexpr WorkerQuarantineOptions kQuarantine{
    .failed_jobs = 2, .first_pause = absl::Seconds(10), .longest_pause = absl::Seconds(40)};
constexpr JobBackoffOptions kBackoff{.first_delay = absl::Seconds(1), .longest_delay = absl::Seconds(100)};

/// A share with five jobs of two tasks, and two entries that follow it.
class MonitoredShare {
 public:
  static constexpr int kJobs = 5;

  MonitoredShare() {
    Append(ShareClaimed{.entry = EntryId("e"), .entry_incarnation = 1, .previous_epoch = 0});
    for (int i = 0; i < kJobs; ++i) {
      JobSpec spec;
      spec.name = "j";
      spec.job_class = "batch";
      spec.team = TeamId("t");
      spec.task_count = 2;
      spec.resources = {.cpu_millis = 100, .memory_mb = 100, .accelerators = 0, .slots = 1};
      Append(JobSubmitted{.job = Job(i), .spec = spec});
    }
  }

  static JobId Job(int job) { return JobId("job-" + std::to_string(job)); }
  static TaskId TaskOf(int job, int task = 0) { return MakeTaskId(Job(job), static_cast<std::size_t>(task)); }

  void Append(const JobsRecord& record) {
    ++m_offset;
    const Batch batch{.writer = "w",
                      .incarnation = 1,
                      .sequence = ++m_sequence,
                      .seen = kNoOffset,
                      .records = {EncodeJobsRecord(record)}};
    REQUIRE(jobs.Apply(batch, m_offset).at(0) == FoldOutcome::kAccepted);
    Observe();
  }

  void Observe() {
    first.Observe(0, jobs, now);
    second.Observe(0, jobs, now);
  }

  void Place(const TaskId& task, const std::string& worker) {
    Append(TaskPlaced{.epoch = 1,
                      .task = task,
                      .attempt = ++m_attempts[task],
                      .worker = WorkerId(worker),
                      .availability_zone = AvailabilityZoneId("z"),
                      .agent_incarnation = 1});
  }

  void End(const TaskId& task, AttemptOutcome outcome, const std::string& detail = "broken") {
    Append(TaskEnded{.epoch = 1, .task = task, .attempt = m_attempts[task], .outcome = outcome, .detail = detail});
  }

  void Fail(const TaskId& task, const std::string& worker, const std::string& detail = "broken") {
    Place(task, worker);
    End(task, AttemptOutcome::kFailed, detail);
  }

  void SetAvailable(const std::string& worker, bool available) {
    first.RecordAvailable(WorkerId(worker), available);
    second.RecordAvailable(WorkerId(worker), available);
  }

  bool MayPlace(const std::string& worker) const {
    // Both entries have folded the same, so they have to agree.
    CHECK(first.MayPlace(WorkerId(worker), now) == second.MayPlace(WorkerId(worker), now));
    return first.MayPlace(WorkerId(worker), now);
  }

  JobsState jobs;
  MonotonicTime now{absl::Seconds(1000)};
  FailureMonitor first{kQuarantine, kBackoff};
  FailureMonitor second{kQuarantine, kBackoff};

 private:
  Offset m_offset = kNoOffset;
  std::uint64_t m_sequence = 0;
  std::map<TaskId, AttemptNumber> m_attempts;
};

using Share = MonitoredShare;

// Guards against evidence that only the present owner has, which a change of owner would lose.
TEST_CASE("every entry that folds the share takes a faulty worker out", "[failures]") {
  Share share;
  share.Fail(Share::TaskOf(0), "bad");
  CHECK(share.MayPlace("bad"));
  share.Fail(Share::TaskOf(1), "bad");
  CHECK_FALSE(share.MayPlace("bad"));
  CHECK(share.MayPlace("good"));
}

// Guards against evictions, lost workers and refusals that count as failures.
TEST_CASE("only failures are evidence against a worker", "[failures]") {
  const AttemptOutcome outcome = GENERATE(AttemptOutcome::kStopped, AttemptOutcome::kNotRun, AttemptOutcome::kLost);
  Share share;
  for (int job = 0; job < Share::kJobs; ++job) {
    share.Place(Share::TaskOf(job), "w");
    share.End(Share::TaskOf(job), outcome);
  }
  CHECK(share.MayPlace("w"));
}

// Guards against events that are counted again in each step.
TEST_CASE("an event is taken in once", "[failures]") {
  Share share;
  share.Fail(Share::TaskOf(0), "a");
  for (int i = 0; i < 10; ++i) share.Observe();
  CHECK(share.first.MayRetry(Share::Job(0), share.now));
}

// Guards against two attempts on a worker that gets one trial, and a trial that is lost for ever with its placement.
TEST_CASE("a worker in quarantine gets one trial at a time", "[failures]") {
  Share share;
  share.Fail(Share::TaskOf(0), "bad");
  share.Place(Share::TaskOf(4), "bad");  // still runs when the worker is taken out
  share.Fail(Share::TaskOf(1), "bad");
  share.now = share.now + absl::Seconds(10);
  REQUIRE(share.MayPlace("bad"));

  SECTION("between decision and fold") {
    share.first.RecordDecided(WorkerId("bad"), share.now);
    CHECK_FALSE(share.first.MayPlace(WorkerId("bad"), share.now));
    share.now = share.now + absl::Seconds(11);
    CHECK(share.first.MayPlace(WorkerId("bad"), share.now));
  }
  SECTION("after the fold, whatever became of an earlier attempt") {
    share.first.RecordDecided(WorkerId("bad"), share.now);
    share.Place(Share::TaskOf(2), "bad");
    CHECK_FALSE(share.MayPlace("bad"));
    share.End(Share::TaskOf(4), GENERATE(AttemptOutcome::kFailed, AttemptOutcome::kStopped));
    CHECK_FALSE(share.MayPlace("bad"));
    share.now = share.now + absl::Seconds(1000);
    CHECK_FALSE(share.MayPlace("bad"));
    share.End(Share::TaskOf(2), AttemptOutcome::kSucceeded);
    CHECK(share.MayPlace("bad"));
  }
  SECTION("a trial without result is repeated") {
    share.Place(Share::TaskOf(2), "bad");
    share.End(Share::TaskOf(2), AttemptOutcome::kNotRun);
    CHECK(share.MayPlace("bad"));
  }
  SECTION("a failed trial doubles the pause") {
    share.Fail(Share::TaskOf(2), "bad");
    share.now = share.now + absl::Seconds(19);
    CHECK_FALSE(share.MayPlace("bad"));
    share.now = share.now + absl::Seconds(1);
    CHECK(share.MayPlace("bad"));
  }
}

// Guards against urgent work that waits beside idle workers, because all of them failed what they ran and were taken
// out (issue 28).
TEST_CASE("of workers that are all in quarantine one is tried in time for urgent work", "[failures]") {
  Share share;
  for (const char* worker : {"a", "b"}) share.SetAvailable(worker, true);
  for (const int job : {0, 1}) share.Fail(Share::TaskOf(job), "a");
  for (const int job : {2, 3}) share.Fail(Share::TaskOf(job), "b");
  REQUIRE_FALSE(share.MayPlace("a"));
  REQUIRE_FALSE(share.MayPlace("b"));
  share.now = share.now + absl::Milliseconds(1300);
  CHECK((share.MayPlace("a") || share.MayPlace("b")));
}

struct ExtentRow {
  const char* name;
  std::vector<std::string> available;
  std::vector<std::string> leave;  ///< of these, after "a" and "b" were taken out
  bool tried_early;
};

// Guards against trials that wait for the pause although most of the workers that could take work are out, and against
// early trials beside workers that are enough (issue 28).
TEST_CASE("trials are early only while most of the available workers are out", "[failures]") {
  const auto row = GENERATE(values<ExtentRow>({
      {"none heard", {}, {}, false},
      {"all out", {"a", "b"}, {}, true},
      {"two of three out", {"a", "b", "c"}, {}, true},
      {"half out", {"a", "b", "c", "d"}, {}, false},
      {"others than those out", {"c", "d"}, {}, false},
      {"the sound ones leave", {"a", "b", "c", "d"}, {"c", "d"}, true},
      {"those out leave", {"a", "b", "c"}, {"a", "b"}, false},
  }));
  INFO(row.name);
  Share share;
  for (const std::string& worker : row.available) share.SetAvailable(worker, true);
  for (const int job : {0, 1}) share.Fail(Share::TaskOf(job), "a");
  for (const int job : {2, 3}) share.Fail(Share::TaskOf(job), "b");
  for (const std::string& worker : row.leave) share.SetAvailable(worker, false);
  CHECK_FALSE(share.MayPlace("a"));
  share.now = share.now + absl::Seconds(1);
  CHECK(share.MayPlace("a") == row.tried_early);
  share.now = share.now + kQuarantine.first_pause;
  CHECK(share.MayPlace("a"));
}

// Guards against an early trial that lets all tasks onto the worker, and against long pauses of workers that failed
// early trials, after the common cause is gone (issue 28).
TEST_CASE("an early trial is one attempt and does not double the pause", "[failures]") {
  Share share;
  for (const char* worker : {"a", "b", "c"}) share.SetAvailable(worker, true);
  for (const int job : {0, 1}) share.Fail(Share::TaskOf(job), "a");
  for (const int job : {2, 3}) share.Fail(Share::TaskOf(job), "b");
  for (int trial = 0; trial < 5; ++trial) {
    share.now = share.now + absl::Seconds(1);
    REQUIRE(share.MayPlace("a"));
    share.first.RecordDecided(WorkerId("a"), share.now);
    CHECK_FALSE(share.first.MayPlace(WorkerId("a"), share.now));
    share.Place(Share::TaskOf(4), "a");
    CHECK_FALSE(share.MayPlace("a"));
    share.End(Share::TaskOf(4), AttemptOutcome::kFailed);
    CHECK_FALSE(share.MayPlace("a"));
  }
  for (const char* worker : {"d", "e"}) share.SetAvailable(worker, true);
  share.now = share.now + kQuarantine.first_pause - absl::Seconds(1);
  CHECK_FALSE(share.MayPlace("a"));
  share.now = share.now + absl::Seconds(1);
  CHECK(share.MayPlace("a"));
}

// Guards against entries that disagree for good on a trial, because they hear of different workers (issue 28).
TEST_CASE("an early trial counts at an entry that hears of other workers", "[failures]") {
  Share share;
  share.first.RecordAvailable(WorkerId("a"), true);
  for (const char* worker : {"a", "b", "c"}) share.second.RecordAvailable(WorkerId(worker), true);
  for (const int job : {0, 1}) share.Fail(Share::TaskOf(job), "a");
  share.now = share.now + absl::Seconds(1);
  CHECK(share.first.MayPlace(WorkerId("a"), share.now));
  CHECK_FALSE(share.second.MayPlace(WorkerId("a"), share.now));
  share.Place(Share::TaskOf(2), "a");
  share.now = share.now + kQuarantine.first_pause;
  CHECK_FALSE(share.MayPlace("a"));
  share.End(Share::TaskOf(2), AttemptOutcome::kSucceeded);
  CHECK(share.MayPlace("a"));
}

// Guards against a faulty task that is tried for ever, and against parking the healthy tasks of its job with it.
TEST_CASE("a task that fails on several workers is parked with the evidence", "[failures]") {
  Share share;
  const TaskId faulty = Share::TaskOf(0, 0);
  const TaskId healthy = Share::TaskOf(0, 1);
  for (int i = 0; i < 6; ++i) {
    CHECK_FALSE(share.first.ShouldPark(Share::Job(0), faulty, share.now));
    share.Fail(faulty, "w" + std::to_string(i % 3), "exit 1");
  }
  CHECK(share.first.ShouldPark(Share::Job(0), faulty, share.now));
  CHECK_FALSE(share.first.ShouldPark(Share::Job(0), healthy, share.now));
  CHECK_FALSE(share.first.MayRetry(Share::Job(0), share.now));
  CHECK(share.first.MayRetry(Share::Job(0), share.now + kBackoff.longest_delay));
  const std::string evidence = share.first.DescribeEvidence(Share::Job(0));
  CHECK(evidence.find("failed 6 times on 3 workers") == 0);
  CHECK(evidence.find("attempt 6 on w2: exit 1") != std::string::npos);
  share.Append(TaskParked{.epoch = 1, .task = faulty, .detail = evidence});
  CHECK(share.first.MayRetry(Share::Job(0), share.now));
  CHECK(share.second.MayRetry(Share::Job(0), share.now));
  CHECK_FALSE(share.first.ShouldPark(Share::Job(0), healthy, share.now));
  for (const char* worker : {"w0", "w1", "w2"}) CHECK(share.MayPlace(worker));
}

// Guards against a parked record that the fold refuses, which would be appended again in each step.
TEST_CASE("long evidence still makes a valid record", "[failures]") {
  Share share;
  std::string detail = "x";
  while (detail.size() < 3'000) detail += "\u00e9";
  for (int i = 0; i < 6; ++i) share.Fail(Share::TaskOf(0), "w" + std::to_string(i % 3), detail);
  const std::string evidence = share.first.DescribeEvidence(Share::Job(0));
  CHECK_NOTHROW(nlohmann::json(evidence).dump());
  share.Append(TaskParked{.epoch = 1, .task = Share::TaskOf(0), .detail = evidence});
}

// Guards against delays that a new process invents or forgets although the stream still holds the evidence.
TEST_CASE("a new process learns from the stream", "[failures]") {
  Share share;
  share.Fail(Share::TaskOf(0), "bad");
  share.Fail(Share::TaskOf(1), "bad");
  FailureMonitor restarted(kQuarantine, kBackoff);
  restarted.Observe(0, share.jobs, share.now);
  CHECK_FALSE(restarted.MayPlace(WorkerId("bad"), share.now));
}

}  // namespace
}  // namespace berylgauge
