#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "process/job_history.h"
#include "process/platform_cluster.h"

namespace berylgauge {
namespace {

constexpr int kEntries = 2;
constexpr int kWorkers = 4;
constexpr int kRunMs = 300;
/// The platform accepts that a job has no run for this long while there is room.
constexpr std::int64_t kPromisedWaitMs = 3000;
/// A job is done soon if it is after that wait, its run and a second for the calls between the processes.
constexpr std::int64_t kDoneSoonMs = kPromisedWaitMs + kRunMs + 1000;
/// Longer than the pauses of 3, 6 and 12 s between failed trials, so that it ends early in the one of 24 s.
constexpr absl::Duration kLongFault = absl::Seconds(28);
constexpr absl::Duration kStartLimit = absl::Seconds(20);

constexpr const char* kShortJob = R"({"spec":"s","steps":[{"count":1,"cpu":240,"mem_mb":480,"est_ms":300}]})";
constexpr const char* kLastingJob =
    R"({"spec":"lasts","steps":[{"count":1,"cpu":240,"mem_mb":480,"long_running":true}]})";
/// Takes all processors of a worker.
constexpr const char* kFillerJob =
    R"({"spec":"lasts","steps":[{"count":5,"cpu":3200,"mem_mb":6400,"long_running":true}]})";
constexpr std::size_t kFillerTasks = 5;

/// The clock of the workers' events.
std::int64_t NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// A cluster of which the first workers fail all runs for a while, and jobs that arrive all the time.
class FailingCluster {
 public:
  explicit FailingCluster(int attempts) : m_cluster(kEntries, kWorkers, {.work_ms = kRunMs, .attempts = attempts}) {
    Submit(kShortJob);
    REQUIRE(m_cluster.WaitForState(0, m_jobs[0].id, "done", kStartLimit));
  }

  PlatformCluster& cluster() { return m_cluster; }
  const std::vector<AcceptedJob>& jobs() const { return m_jobs; }

  /// Occupies the processors of the last worker with tasks that last.
  void FillLastWorker() {
    for (int i = 0; i < kWorkers - 1; ++i) m_cluster.worker(i).SetFaults({{"draining", true}});
    absl::SleepFor(absl::Seconds(1));  // until the owner knows
    Standin& last = m_cluster.worker(kWorkers - 1);
    const std::size_t earlier = last.Events("run-start").size();
    Post(kFillerJob);
    last.WaitForEvents("run-start", earlier + kFillerTasks, kStartLimit);
    for (int i = 0; i < kWorkers - 1; ++i) m_cluster.worker(i).SetFaults({{"draining", false}});
    absl::SleepFor(absl::Seconds(1));
  }

  void Fail(int workers) {
    for (int i = 0; i < workers; ++i) m_cluster.worker(i).SetFaults({{"fail_runs_after_ms", kRunMs}});
  }
  void Recover() {
    for (int i = 0; i < kWorkers; ++i) m_cluster.worker(i).SetFaults({{"fail_runs_after_ms", 0}});
  }

  /// A job arrives in each interval, at each entry in turn.
  void Play(absl::Duration duration, const char* job, absl::Duration interval) {
    const absl::Time end = absl::Now() + duration;
    for (absl::Time next = absl::Now(); next < end; next += interval) {
      absl::SleepFor(next - absl::Now());
      Submit(job);
    }
    absl::SleepFor(end - absl::Now());
  }

  AcceptedJob Submit(const char* job) {
    const std::string id = Post(job);
    m_jobs.push_back({.id = id, .tasks = 1, .accepted_ms = NowMs()});
    return m_jobs.back();
  }

  /// The job that waited longest in this time, on the clock of the events.
  JobHistory LongestWaitIn(std::int64_t from_ms, std::int64_t to_ms) {
    std::vector<AcceptedJob> arrived;
    for (const AcceptedJob& job : m_jobs) {
      if (job.accepted_ms < to_ms) arrived.push_back(job);
    }
    return LongestWait(FollowJobs(m_cluster.Records(), arrived, from_ms, to_ms));
  }

 private:
  std::string Post(const char* job) {
    const std::string id = absl::StrFormat("%016x", ++m_submitted);
    REQUIRE(m_cluster.Call(m_submitted % kEntries, "POST", "/q/" + id, job).status == 200);
    return id;
  }

  PlatformCluster m_cluster;
  int m_submitted = 0;
  std::vector<AcceptedJob> m_jobs;
};

struct FaultRow {
  int failing;
  bool last_is_full;
  const char* job;
  absl::Duration interval;
};

void CheckNoJobWaits(const FaultRow& row) {
  FailingCluster fleet(100);
  if (row.last_is_full) fleet.FillLastWorker();
  const std::int64_t failed_ms = NowMs();
  fleet.Fail(row.failing);
  fleet.Play(kLongFault, row.job, row.interval);
  fleet.Recover();
  const std::int64_t recovered_ms = NowMs();
  const AcceptedJob probe = fleet.Submit(kShortJob);
  fleet.Play(absl::Seconds(8), row.job, row.interval);
  const std::int64_t end_ms = NowMs();
  {
    const JobHistory longest = fleet.LongestWaitIn(failed_ms, recovered_ms);
    INFO("job " << longest.job.id << " while the workers fail");
    CHECK(longest.longest_wait_ms <= kPromisedWaitMs);
  }
  {
    const JobHistory longest = fleet.LongestWaitIn(recovered_ms, end_ms);
    INFO("job " << longest.job.id << " after that");
    CHECK(longest.longest_wait_ms <= kPromisedWaitMs);
  }
  const JobHistory last = FollowJobs(fleet.cluster().Records(), {probe}, recovered_ms, end_ms)[0];
  CHECK(last.done_ms.value_or(end_ms) - probe.accepted_ms <= kDoneSoonMs);
  for (int i = 0; i < kEntries; ++i) CHECK(fleet.cluster().StateOf(i, probe.id) == "done");
  const std::string violation = fleet.cluster().Violation();
  INFO(violation);
  CHECK(violation.empty());
}

// Guards against jobs that wait without a run beside idle workers, because all were taken out at the same time.
TEST_CASE("no job waits long when all workers have failed everything") {
  CheckNoJobWaits({.failing = kWorkers, .last_is_full = false, .job = kShortJob, .interval = absl::Milliseconds(400)});
}

// Guards against the same with tasks that never end as done.
TEST_CASE("no lasting task waits long when all workers have failed everything") {
  CheckNoJobWaits(
      {.failing = kWorkers, .last_is_full = false, .job = kLastingJob, .interval = absl::Milliseconds(400)});
}

// Guards against jobs that wait for the room of the one worker that does not fail, because all others were taken out.
TEST_CASE("no job waits long when most workers have failed everything and the other one is full") {
  CheckNoJobWaits(
      {.failing = kWorkers - 1, .last_is_full = true, .job = kShortJob, .interval = absl::Milliseconds(400)});
}

/// When the third job that failed in a row on the worker ended there, which takes it out; -1 if none did.
std::int64_t TakenOutMs(const std::vector<nlohmann::json>& events, std::int64_t from_ms) {
  constexpr std::size_t kFailedJobs = 3;
  std::set<std::string> failed;
  for (const nlohmann::json& event : events) {
    if (event.at("kind") != "run-end" || event.at("time_ms") < from_ms) continue;
    const std::string task = event.at("task");
    if (event.at("how") == "done") failed.clear();
    if (event.at("how") == "failed") failed.insert(task.substr(0, task.find('.')));
    if (failed.size() == kFailedJobs) return event.at("time_ms");
  }
  return -1;
}

// Guards against a quarantine that lets a worker that fails everything take the work of sound ones.
TEST_CASE("one worker that fails everything gets trials only") {
  /// Until the end has reached the owner and starts that are under way have been answered.
  constexpr std::int64_t kNoticedMs = 1000;
  /// Trials 3 s after the worker is taken out and 6 s after the first one has failed; the next is due 12 s after that.
  constexpr int kTrials = 2;
  FailingCluster fleet(2);
  const std::int64_t failed_ms = NowMs();
  fleet.Fail(1);
  fleet.Play(absl::Seconds(20), kShortJob, absl::Milliseconds(200));
  const std::int64_t recovered_ms = NowMs();
  fleet.Recover();
  fleet.Play(absl::Seconds(3), kShortJob, absl::Milliseconds(200));
  const std::int64_t last_ms = NowMs();
  absl::SleepFor(absl::Milliseconds(kDoneSoonMs));

  const std::vector<std::vector<nlohmann::json>> records = fleet.cluster().Records();
  const std::int64_t out_ms = TakenOutMs(records[0], failed_ms);
  REQUIRE(out_ms > 0);
  int trials = 0;
  int other_starts = 0;
  for (std::size_t worker = 0; worker < records.size(); ++worker) {
    for (const nlohmann::json& event : records[worker]) {
      if (event.at("kind") != "run-start") continue;
      if (event.at("time_ms") < out_ms + kNoticedMs || event.at("time_ms") >= recovered_ms) continue;
      ++(worker == 0 ? trials : other_starts);
    }
  }
  INFO(other_starts << " starts on the others, out after " << out_ms - failed_ms << " ms");
  CHECK(trials <= kTrials);
  CHECK(other_starts > 0);
  const std::int64_t end_ms = NowMs();
  for (const JobHistory& history : FollowJobs(records, fleet.jobs(), failed_ms, end_ms)) {
    INFO("job " << history.job.id << ", accepted " << history.job.accepted_ms - out_ms
                << " ms after the worker was out");
    CHECK(history.longest_wait_ms <= kPromisedWaitMs);
    if (history.job.accepted_ms >= out_ms && history.job.accepted_ms < last_ms) CHECK(history.done_ms.has_value());
  }
  const std::string violation = fleet.cluster().Violation();
  INFO(violation);
  CHECK(violation.empty());
}

}  // namespace
}  // namespace berylgauge
