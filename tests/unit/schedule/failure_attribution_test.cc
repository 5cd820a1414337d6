#include "schedule/failure_attribution.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

MonotonicTime At(std::int64_t seconds) { return MonotonicTime(absl::Seconds(100'000 + seconds)); }

WorkerId Worker(int number) { return WorkerId("w" + std::to_string(number)); }
JobId Job(int number) { return JobId("j" + std::to_string(number)); }

JobFailure Failure(int job, int worker, std::int64_t at_s) {
  return {.key = {TaskId("j" + std::to_string(job) + "/0"), 1},
          .worker = Worker(worker),
          .detail = "exit 1",
          .at = At(at_s)};
}

struct QuarantineCase {
  const char* name;
  std::vector<int> failed_jobs;
  int success_after;  ///< number of failures before a success; -1: none
  QuarantineState state;
};

// Guards against taking a worker out because of one faulty job, and against leaving one in that fails everything.
TEST_CASE("worker quarantine needs failures of different jobs in a row", "[worker_quarantine]") {
  const auto test = GENERATE(values<QuarantineCase>({
      {"two jobs", {1, 2}, -1, QuarantineState::kOpen},
      {"three jobs", {1, 2, 3}, -1, QuarantineState::kQuarantined},
      {"one job often", {1, 1, 1, 1, 1}, -1, QuarantineState::kOpen},
      {"success in between", {1, 2, 3}, 1, QuarantineState::kOpen},
  }));
  INFO(test.name);
  WorkerQuarantine quarantine;
  int count = 0;
  for (const int job : test.failed_jobs) {
    if (count++ == test.success_after) quarantine.RecordSuccess(Worker(1));
    quarantine.RecordFailure(Worker(1), Job(job), At(0));
  }
  CHECK(quarantine.StateOf(Worker(1), At(1)) == test.state);
  CHECK(quarantine.MayPlace(Worker(1), At(1)) == (test.state == QuarantineState::kOpen));
  CHECK(quarantine.StateOf(Worker(2), At(1)) == QuarantineState::kOpen);
}

// Guards against a worker that gets full load after its quarantine, or is never let back in.
TEST_CASE("worker quarantine ends by a trial", "[worker_quarantine]") {
  WorkerQuarantine quarantine;
  for (int job : {1, 2, 3}) quarantine.RecordFailure(Worker(1), Job(job), At(0));
  CHECK(quarantine.Evidence(Worker(1)).size() == 3);
  CHECK(quarantine.StateOf(Worker(1), At(59)) == QuarantineState::kQuarantined);
  CHECK(quarantine.StateOf(Worker(1), At(60)) == QuarantineState::kTrialDue);
  // An attempt that was placed before the quarantine is no trial.
  CHECK_FALSE(quarantine.RecordFailure(Worker(1), Job(4), At(60)));
  CHECK(quarantine.MayPlace(Worker(1), At(60)));
  quarantine.RecordPlaced(Worker(1), At(60));
  CHECK(quarantine.StateOf(Worker(1), At(61)) == QuarantineState::kTrialRunning);
  CHECK_FALSE(quarantine.MayPlace(Worker(1), At(61)));
  SECTION("that succeeds") {
    quarantine.RecordSuccess(Worker(1));
    CHECK(quarantine.StateOf(Worker(1), At(62)) == QuarantineState::kOpen);
    CHECK(quarantine.Evidence(Worker(1)).empty());
  }
  SECTION("that fails, so the pause doubles") {
    CHECK(quarantine.RecordFailure(Worker(1), Job(5), At(100)));
    CHECK(quarantine.StateOf(Worker(1), At(219)) == QuarantineState::kQuarantined);
    CHECK(quarantine.StateOf(Worker(1), At(220)) == QuarantineState::kTrialDue);
  }
  SECTION("that is cancelled") {
    quarantine.RecordTrialAborted(Worker(1));
    CHECK(quarantine.StateOf(Worker(1), At(62)) == QuarantineState::kTrialDue);
  }
}

struct BackoffCase {
  const char* name;
  std::vector<int> workers;  ///< of the failures, one per second from second 0
  JobBackoffState state;     ///< right after the last one
  std::int64_t retry_s;      ///< after the last one; 0: at once; -1: never
};

// Guards against a job that is delayed because of one worker, and one that is tried for ever without delay.
TEST_CASE("job backoff needs failures on several workers", "[job_backoff]") {
  const auto test = GENERATE(values<BackoffCase>({
      {"one", {1}, JobBackoffState::kReady, 0},
      {"two on one worker", {1, 1}, JobBackoffState::kReady, 0},
      {"three on one worker", {1, 1, 1}, JobBackoffState::kDelayed, 20},
      {"two workers", {1, 2}, JobBackoffState::kDelayed, 10},
      {"three workers", {1, 2, 3}, JobBackoffState::kDelayed, 20},
      {"five failures", {1, 2, 3, 1, 2}, JobBackoffState::kDelayed, 80},
      {"six failures on three workers", {1, 2, 3, 1, 2, 3}, JobBackoffState::kParked, -1},
      {"six failures on two workers", {1, 2, 1, 2, 1, 2}, JobBackoffState::kDelayed, 160},
      {"many failures on one worker", std::vector<int>(40, 1), JobBackoffState::kDelayed, 1'800},
  }));
  INFO(test.name);
  JobBackoff backoff;
  std::int64_t now = -1;
  for (const int worker : test.workers) backoff.RecordFailure(Job(1), Failure(1, worker, ++now));
  CHECK(backoff.StateOf(Job(1), At(now)) == test.state);
  if (test.retry_s > 0) {
    CHECK(backoff.RetryAt(Job(1)) == At(now + test.retry_s));
    CHECK(backoff.StateOf(Job(1), At(now + test.retry_s)) == JobBackoffState::kReady);
  }
  if (test.retry_s == 0) CHECK(backoff.RetryAt(Job(1)) == InfinitePast());
  if (test.retry_s < 0) CHECK(backoff.RetryAt(Job(1)) == InfiniteFuture());
  CHECK(backoff.Evidence(Job(1)).size() == std::min<std::size_t>(test.workers.size(), 32));
  backoff.Forget(Job(1));
  CHECK(backoff.StateOf(Job(1), At(now)) == JobBackoffState::kReady);
}

// Guards against a task that always fails and is hidden by the other tasks of its job.
TEST_CASE("a success drops only the failures of its task", "[job_backoff]") {
  JobBackoff backoff;
  backoff.RecordFailure(Job(1), Failure(1, 1, 0));
  backoff.RecordFailure(Job(1), Failure(1, 2, 0));
  backoff.RecordSuccess(Job(1), TaskId("j1/7"));
  CHECK(backoff.IsSuspect(Job(1)));
  backoff.RecordSuccess(Job(1), TaskId("j1/0"));
  CHECK_FALSE(backoff.IsSuspect(Job(1)));
}

// Guards against a faulty worker whose failures delay good jobs.
TEST_CASE("failures of a faulty worker do not count against jobs", "[failure_attribution]") {
  FailureAttribution attribution;
  attribution.RecordFailure(Job(1), Failure(1, 9, 0));
  attribution.RecordFailure(Job(2), Failure(2, 9, 1));
  CHECK(attribution.RecordFailure(Job(3), Failure(3, 9, 2)) == FailureSuspect::kWorker);
  for (int job : {1, 2, 3}) CHECK(attribution.backoff().Evidence(Job(job)).empty());
  CHECK(attribution.RecordFailure(Job(1), Failure(1, 9, 3)) == FailureSuspect::kWorker);
  CHECK(attribution.backoff().StateOf(Job(1), At(3)) == JobBackoffState::kReady);
}

// Guards against a faulty job that takes out good workers.
TEST_CASE("failures of a faulty job do not count against workers", "[failure_attribution]") {
  FailureAttribution attribution;
  CHECK(attribution.RecordFailure(Job(1), Failure(1, 1, 0)) == FailureSuspect::kUndecided);
  CHECK(attribution.RecordFailure(Job(1), Failure(1, 2, 1)) == FailureSuspect::kJob);
  for (int worker : {1, 2}) CHECK(attribution.quarantine().Evidence(Worker(worker)).empty());
  CHECK(attribution.RecordFailure(Job(1), Failure(1, 3, 2)) == FailureSuspect::kJob);
  CHECK(attribution.quarantine().Evidence(Worker(3)).empty());
}

// Guards against a trial that a faulty job decides.
TEST_CASE("a trial with a faulty job is repeated", "[failure_attribution]") {
  FailureAttribution attribution;
  for (int worker : {1, 2}) attribution.RecordFailure(Job(9), Failure(9, worker, 0));
  for (int job : {1, 2, 3}) attribution.RecordFailure(Job(job), Failure(job, 5, 0));
  attribution.quarantine().RecordPlaced(Worker(5), At(60));
  REQUIRE(attribution.quarantine().StateOf(Worker(5), At(61)) == QuarantineState::kTrialRunning);
  attribution.RecordFailure(Job(9), Failure(9, 5, 62));
  CHECK(attribution.quarantine().StateOf(Worker(5), At(62)) == QuarantineState::kTrialDue);
}

/// Site of ten workers and many jobs; some workers and some jobs fail always. Every attempt takes a second.
struct Site {
  std::set<int> faulty_workers;
  std::set<int> faulty_jobs;
  WorkerQuarantineOptions quarantine = {};
  JobBackoffOptions backoff = {};
};

/// Runs the site and returns what was judged wrongly in the end, or an empty string.
std::string Judge(const Site& site, std::uint64_t seed) {
  constexpr int kWorkers = 10;
  constexpr int kJobs = 30;
  FailureAttribution attribution(site.quarantine, site.backoff);
  std::mt19937_64 random(seed);
  int good_jobs_parked = 0;
  for (std::int64_t now = 0; now < 3'000; ++now) {
    const int job = static_cast<int>(random() % kJobs);
    if (attribution.backoff().StateOf(Job(job), At(now)) != JobBackoffState::kReady) continue;
    const int worker = static_cast<int>(random() % kWorkers);
    if (!attribution.quarantine().MayPlace(Worker(worker), At(now))) continue;
    attribution.quarantine().RecordPlaced(Worker(worker), At(now));
    if (site.faulty_workers.contains(worker) || site.faulty_jobs.contains(job)) {
      attribution.RecordFailure(Job(job), Failure(job, worker, now));
    } else {
      attribution.RecordSuccess(Job(job), TaskId("j" + std::to_string(job) + "/0"), Worker(worker));
    }
    const bool parked = attribution.backoff().StateOf(Job(job), At(now)) == JobBackoffState::kParked;
    if (parked && !site.faulty_jobs.contains(job)) ++good_jobs_parked;
  }
  if (good_jobs_parked > 0) return "parked a good job";
  for (int worker = 0; worker < kWorkers; ++worker) {
    const bool out = attribution.quarantine().StateOf(Worker(worker), At(3'000)) != QuarantineState::kOpen;
    if (site.faulty_workers.contains(worker) && !out) return "left a faulty worker in";
    if (!site.faulty_workers.contains(worker) && out) return "took a good worker out";
  }
  for (const int job : site.faulty_jobs) {
    if (attribution.backoff().StateOf(Job(job), At(3'000)) == JobBackoffState::kReady) return "left a faulty job in";
  }
  return "";
}

// Guards against blaming good workers for faulty jobs or good jobs for faulty workers, in any order of attempts.
TEST_CASE("faulty workers and faulty jobs are told apart", "[failure_attribution][property]") {
  CHECK(rc::check("judged rightly", [] {
    const auto workers = *rc::gen::inRange(0, 4);
    const auto jobs = *rc::gen::inRange(0, 6);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    Site site;
    for (int i = 0; i < workers; ++i) site.faulty_workers.insert(i);
    for (int i = 0; i < jobs; ++i) site.faulty_jobs.insert(i);
    const std::string wrong = Judge(site, seed);
    if (!wrong.empty()) RC_FAIL(wrong);
  }));
}

struct BrokenSiteCase {
  const char* name;
  WorkerQuarantineOptions quarantine;
  JobBackoffOptions backoff;
  const char* wrong;
};

// Guards against a property that passes whatever is blamed.
TEST_CASE("the property catches wrong attribution", "[failure_attribution][property]") {
  const auto test = GENERATE(values<BrokenSiteCase>({
      {"one failure takes a worker out", {.failed_jobs = 1}, {}, "took a good worker out"},
      {"one worker parks a job", {}, {.delay_workers = 1, .park_workers = 1, .park_failures = 1}, "parked a good job"},
      {"workers are never taken out", {.failed_jobs = 1'000}, {}, "left a faulty worker in"},
      {"jobs are never delayed",
       {},
       {.delay_workers = 100, .park_workers = 100, .park_failures = 1'000, .delay_failures = 1'000},
       "left a faulty job in"},
  }));
  INFO(test.name);
  const Site site{
      .faulty_workers = {0, 1}, .faulty_jobs = {0, 1, 2}, .quarantine = test.quarantine, .backoff = test.backoff};
  bool caught = false;
  for (std::uint64_t seed = 0; seed < 50 && !caught; ++seed) caught = Judge(site, seed) == test.wrong;
  CHECK(caught);
}

}  // namespace
}  // namespace berylgauge
