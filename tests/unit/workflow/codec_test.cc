#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "workflow/job_codec.h"
#include "workflow/job_index.h"
#include "workflow/record_keys.h"
#include "workflow/step_progress.h"
#include "workflow/task_name.h"

namespace berylgauge::workflow {
namespace {

TEST_CASE("a job is read back as written", "[codec]") {
  const bool ok = rc::check([](const std::string& payload, const std::string& label, bool gang) {
    const int count = *rc::gen::inRange(1, kMaxTasksPerStep + 1);
    JobDefinition job;
    job.id = "00ff00ff00ff00ff";
    job.queue = {.name = *rc::gen::container<std::string>(60, rc::gen::inRange('a', 'z')),
                 .service = "dispatch",
                 .priority = 2,
                 .max_attempts = 3,
                 .stretch = 1.5};
    job.payload = payload;
    job.steps = {{.task_count = count, .gang = gang, .required_label = label},
                 {.after = {0}, .max_per_worker = 2, .may_miss = 0}};
    job.occurrences = count;
    const std::string bytes = EncodeJob(job);
    RC_ASSERT(DecodeJob(bytes) == job);
    JobIndex index;
    index.ApplySubmission(job.id, bytes);
    RC_ASSERT(index.WaitingIn(job.queue.name) == 1);
  });
  CHECK(ok);
}

TEST_CASE("progress of a step is read back as written", "[codec]") {
  std::vector<TaskProgress> tasks(4);
  tasks[1] = {
      .state = TaskState::kPlaced, .run = 3, .failures = 1, .worker = "w1", .agent = "side-1", .worker_born = 17};
  tasks[1].bound = GENERATE(RunBound::kNone, RunBound::kLongestLease, RunBound::kGrantedLease);
  tasks[2] = {.state = TaskState::kDone, .run = 1};
  tasks[3] = {.state = TaskState::kWaiting, .run = 2, .checkpoint = "c"};
  CHECK(DecodeStepProgress(EncodeStepProgress(tasks), 4) == tasks);
  CHECK(!DecodeStepProgress(EncodeStepProgress(tasks), 2));  // names tasks that the step does not have
  CHECK(!DecodeStepProgress("junk", 4));
}

struct NameRow {
  const char* text;
  bool valid;
};

TEST_CASE("names of tasks are parsed strictly", "[codec]") {
  const NameRow row = GENERATE(NameRow{"5c0e.0.1.17", true}, NameRow{"5c0e.0.1", false}, NameRow{"5c0e.0.1.", false},
                               NameRow{".0.1.2", false}, NameRow{"5c0e.0.-1.2", false}, NameRow{"5c0e.x.1.2", false});
  INFO(row.text);
  const std::optional<TaskName> name = TaskName::Parse(row.text);
  CHECK(name.has_value() == row.valid);
  if (name) CHECK(name->ToString() == row.text);
}

// Guards against a job that is shown as queued or unknown after records arrived in another order.
TEST_CASE("the index shows the phase of a job from its newest records", "[index]") {
  JobIndex index;
  JobDefinition job;
  job.id = "a0";
  job.queue.name = "checks";
  CHECK(!index.PhaseOf("a0"));
  index.ApplyProgress("a0", "running");
  CHECK(!index.PhaseOf("a0"));  // progress may be read before the submission
  index.ApplySubmission("a0", EncodeJob(job));
  CHECK(index.PhaseOf("a0") == JobPhase::kRunning);
  CHECK(index.WaitingIn("checks") == 0);
  index.ApplySubmission(CancellationKey("a0"), kCancellationValue);
  CHECK(index.PhaseOf("a0") == JobPhase::kCancelled);
  index.ApplySubmission("a0", EncodeJob(job));  // a late repeat of the submission
  CHECK(index.PhaseOf("a0") == JobPhase::kCancelled);
  index.ApplyProgress("a0", "");
  index.ApplySubmission("a0", "");
  index.ApplySubmission(CancellationKey("a0"), "");
  CHECK(index.size() == 0);
}

TEST_CASE("the index counts cancellations of jobs that are not stored", "[index]") {
  JobIndex index;
  JobDefinition job;
  job.id = "a0";
  for (const char* id : {"a0", "a1"}) index.ApplySubmission(CancellationKey(id), kCancellationValue);
  index.ApplySubmission(CancellationKey("a1"), kCancellationValue);
  CHECK(index.cancellations_without_job() == 2);
  index.ApplySubmission("a0", EncodeJob(job));
  CHECK(index.cancellations_without_job() == 1);
  CHECK(index.PhaseOf("a0") == JobPhase::kCancelled);
  CHECK(!index.PhaseOf("a1"));
  index.ApplySubmission("a0", {});
  index.ApplySubmission(CancellationKey("a0"), {});
  index.ClearSubmissions();
  CHECK(index.cancellations_without_job() == 0);
  CHECK(index.size() == 0);
}

TEST_CASE("the index counts jobs of which nothing has started", "[index]") {
  JobIndex index;
  JobDefinition job;
  job.queue.name = "checks";
  for (const char* id : {"a0", "a1", "a2"}) {
    job.id = id;
    index.ApplySubmission(id, EncodeJob(job));
  }
  CHECK(index.WaitingIn("checks") == 3);
  index.ApplyProgress("a1", "running");
  index.ApplySubmission(CancellationKey("a2"), kCancellationValue);
  CHECK(index.WaitingIn("checks") == 1);
  index.ApplyProgress("a1", "done");
  CHECK(index.PhaseOf("a1") == JobPhase::kDone);
  CHECK(index.WaitingIn("checks") == 1);
}

}  // namespace
}  // namespace berylgauge::workflow
