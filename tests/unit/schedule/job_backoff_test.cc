#include "schedule/job_backoff.h"

#include <catch2/catch.hpp>
#include <vector>

namespace berylgauge {
namespace {

struct FailureOf {
  const char* task;
  const char* worker;
};

struct BackoffCase {
  const char* name;
  std::vector<FailureOf> failures;
  JobBackoffState state;
};

// Guards against a job of many tasks that waits for minutes because one worker failed each of them once.
TEST_CASE("a job is delayed for its own failures, not for those of one worker", "[backoff]") {
  const auto test = GENERATE(values<BackoffCase>({
      {"four tasks, once each, one worker",
       {{"j/0", "a"}, {"j/1", "a"}, {"j/2", "a"}, {"j/3", "a"}},
       JobBackoffState::kReady},
      {"one task, three times, one worker", {{"j/0", "a"}, {"j/0", "a"}, {"j/0", "a"}}, JobBackoffState::kDelayed},
      {"two tasks, two workers", {{"j/0", "a"}, {"j/1", "b"}}, JobBackoffState::kDelayed},
  }));
  CAPTURE(test.name);
  JobBackoff backoff;
  const JobId job("j");
  const MonotonicTime now(absl::Seconds(1000));
  AttemptNumber attempt = 0;
  for (const FailureOf& failure : test.failures) {
    backoff.RecordFailure(job, {.key = {.task = TaskId(failure.task), .attempt = ++attempt},
                                .worker = WorkerId(failure.worker),
                                .detail = "failed",
                                .at = now});
  }
  CHECK(backoff.StateOf(job, now) == test.state);
}

}  // namespace
}  // namespace berylgauge
