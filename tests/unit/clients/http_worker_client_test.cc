#include "clients/http_worker_client.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include "support/raw_server.h"
#include "support/standin.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(20);
constexpr absl::Duration kShortTimeout = absl::Milliseconds(200);
constexpr absl::Duration kLongLease = absl::Seconds(600);
const TaskId kTask("job-1/0");
const Resources kDeclared{.cpu_millis = 2000, .memory_mb = 4000, .accelerators = 0, .slots = 1};

WorkerStartOptions StartOptions(const std::string& command, AttemptNumber attempt = 1) {
  return {.task = kTask, .attempt = attempt, .resources = kDeclared, .lease = kLongLease, .command = command};
}

/// A worker with its client.
struct WorkerFixture {
  explicit WorkerFixture(const std::vector<std::string>& arguments = {}) : worker("standin_worker", arguments) {}

  /// The only task in the report.
  WorkerTask OnlyTask() {
    const auto report = client.Report(kTimeout);
    REQUIRE(report.has_value());
    REQUIRE(report->tasks.size() == 1);
    return report->tasks[0];
  }

  Standin worker;
  HttpClient http;
  HttpWorkerClient client{http, worker.Address()};
};

// Guards against a report that lacks what the agent rebuilds its ledger from.
TEST_CASE("the report shows boot id, capacity and tasks", "[worker]") {
  WorkerFixture fixture({"--boot-id=boot-7", "--slots=3"});
  REQUIRE(fixture.client.Start(StartOptions("{}"), kTimeout).has_value());
  const auto report = fixture.client.Report(kTimeout);
  REQUIRE(report.has_value());
  CHECK(report->boot_id == "boot-7");
  CHECK(report->capacity == Resources{.cpu_millis = 16000, .memory_mb = 60000, .accelerators = 0, .slots = 3});
  REQUIRE(report->tasks.size() == 1);
  CHECK(report->tasks[0].task == kTask);
  CHECK(report->tasks[0].attempt == 1);
  CHECK(report->tasks[0].state == WorkerTaskState::kRunning);
  CHECK(report->tasks[0].declared == kDeclared);
  CHECK(report->tasks[0].observed == kDeclared);
}

// Guards against a restarted worker that looks like the one before, whose tasks have ended.
TEST_CASE("a restarted worker has another boot id and no tasks", "[worker]") {
  WorkerFixture first;
  REQUIRE(first.client.Start(StartOptions("{}"), kTimeout).has_value());
  const auto before = first.client.Report(kTimeout);
  const std::string port = absl::StrCat("--port=", first.worker.process().port());
  CHECK(first.worker.process().Stop() == 0);
  Standin second("standin_worker", {port});
  const auto after = first.client.Report(kTimeout);
  REQUIRE(before.has_value());
  REQUIRE(after.has_value());
  CHECK(before->boot_id != after->boot_id);
  CHECK(after->tasks.empty());
}

struct Outcome {
  const char* name;
  const char* command;
  nlohmann::json faults;
  WorkerTaskState state;
};

// Guards against outcomes that are mixed up on the way from the worker.
TEST_CASE("a task ends as its command and the faults say", "[worker]") {
  const auto test = GENERATE(values<Outcome>({
      {"success", R"({"run_ms":1})", nlohmann::json::object(), WorkerTaskState::kSucceeded},
      {"failure", R"({"run_ms":1,"fail":true})", nlohmann::json::object(), WorkerTaskState::kFailed},
      {"worker that fails everything", R"({"run_ms":1})", {{"fail_tasks", true}}, WorkerTaskState::kFailed},
  }));
  INFO(test.name);
  WorkerFixture fixture;
  fixture.worker.SetFaults(test.faults);
  REQUIRE(fixture.client.Start(StartOptions(test.command), kTimeout).has_value());
  const auto ends = fixture.worker.WaitForEvents("end", 1);
  CHECK(ends[0]["task"] == kTask.value());
  CHECK(ends[0]["attempt"] == 1);
  CHECK(fixture.OnlyTask().state == test.state);
  CHECK(fixture.OnlyTask().observed == Resources{});
}

// Guards against a task that runs twice because its start was repeated.
TEST_CASE("repeats of a start change nothing", "[worker]") {
  WorkerFixture fixture;
  const WorkerStartOptions start = StartOptions(R"({"run_ms":1})");
  REQUIRE(fixture.client.Start(start, kTimeout).has_value());
  fixture.worker.WaitForEvents("end", 1);
  WorkerStartOptions other = start;
  other.command = R"({"run_ms":1,"fail":true})";
  REQUIRE(fixture.client.Start(other, kTimeout).has_value());
  fixture.worker.SetFaults({{"refuse_starts", true}});
  REQUIRE(fixture.client.Start(start, kTimeout).has_value());
  CHECK(fixture.worker.Events("start").size() == 1);
  CHECK(fixture.worker.Events("end").size() == 1);
  CHECK(fixture.OnlyTask().state == WorkerTaskState::kSucceeded);
}

struct StartFault {
  const char* name;
  nlohmann::json faults;
  FailureCode code;
  Verdict verdict;
  std::size_t started;  ///< starts that take effect before the faults are over
};

// Guards against a wrong verdict of a start: after `not run` the task is placed elsewhere.
TEST_CASE("verdicts of a start under faults", "[worker]") {
  const auto test = GENERATE(values<StartFault>({
      {"outage with 503", {{"outage", "unavailable"}}, FailureCode::kUnavailable, Verdict::kMayHaveRun, 0},
      {"outage without an answer", {{"outage", "silent"}}, FailureCode::kDeadlineExceeded, Verdict::kMayHaveRun, 0},
      {"answer lost", {{"lose_answers", 1}}, FailureCode::kUnavailable, Verdict::kMayHaveRun, 1},
      {"answer after the deadline", {{"delay_ms", 600}}, FailureCode::kDeadlineExceeded, Verdict::kMayHaveRun, 1},
      {"refused", {{"refuse_starts", true}}, FailureCode::kRefused, Verdict::kNotRun, 0},
  }));
  INFO(test.name);
  WorkerFixture fixture;
  fixture.worker.SetFaults(test.faults);
  const auto started = fixture.client.Start(StartOptions("{}"), kShortTimeout);
  REQUIRE_FALSE(started.has_value());
  CHECK(kFailureCodeNames.NameOf(started.error().code) == kFailureCodeNames.NameOf(test.code));
  CHECK(started.error().verdict == test.verdict);
  if (test.started > 0) fixture.worker.WaitForEvents("start", test.started);
  fixture.worker.SetFaults({{"outage", "none"}, {"lose_answers", 0}, {"delay_ms", 0}, {"refuse_starts", false}});
  CHECK(fixture.worker.Events("start").size() == test.started);
  REQUIRE(fixture.client.Start(StartOptions("{}"), kTimeout).has_value());
  CHECK(fixture.worker.Events("start").size() == 1);
}

// Guards against libcurl sending a command again on its own after the connection was closed.
TEST_CASE("a start on a reused connection is sent once", "[worker]") {
  WorkerFixture fixture;
  REQUIRE(fixture.client.Report(kTimeout).has_value());
  fixture.worker.SetFaults({{"lose_answers", 1}});
  const auto started = fixture.client.Start(StartOptions("{}"), kTimeout);
  REQUIRE_FALSE(started.has_value());
  CHECK(started.error().verdict == Verdict::kMayHaveRun);
}

// Guards against a task that outlives the agent that should renew its lease.
TEST_CASE("the worker stops a task whose lease is not renewed", "[worker]") {
  WorkerFixture fixture;
  WorkerStartOptions start = StartOptions("{}");
  start.lease = absl::Milliseconds(300);
  REQUIRE(fixture.client.Start(start, kTimeout).has_value());
  const auto ends = fixture.worker.WaitForEvents("end", 1);
  const auto starts = fixture.worker.Events("start");
  CHECK(ends[0]["state"] == "lease-expired");
  CHECK(ends[0]["time_ms"].get<std::int64_t>() - starts[0]["time_ms"].get<std::int64_t>() >= 299);
  CHECK(fixture.OnlyTask().state == WorkerTaskState::kLeaseExpired);
  const auto renewed = fixture.client.Renew(kTask, 1, kLongLease, kTimeout);
  REQUIRE_FALSE(renewed.has_value());
  CHECK(renewed.error().code == FailureCode::kConflict);
  CHECK(renewed.error().verdict == Verdict::kNotRun);
}

// Guards against a renewal that is accepted but does not extend the lease.
TEST_CASE("a renewed task runs on", "[worker]") {
  WorkerFixture fixture;
  WorkerStartOptions start = StartOptions(R"({"run_ms":2500})");
  start.lease = absl::Milliseconds(2000);
  REQUIRE(fixture.client.Start(start, kTimeout).has_value());
  REQUIRE(fixture.client.Renew(kTask, 1, kLongLease, kTimeout).has_value());
  const auto ends = fixture.worker.WaitForEvents("end", 1);
  CHECK(ends[0]["state"] == "succeeded");
}

// Guards against work that is lost or done twice when a task moves to another worker.
TEST_CASE("a stopped task resumes from its checkpoint on another worker", "[worker]") {
  WorkerFixture first;
  WorkerFixture second;
  REQUIRE(first.client.Start(StartOptions(R"({"run_ms":600000,"checkpoint_ms":5})"), kTimeout).has_value());
  REQUIRE(first.client.Stop(kTask, 1, true, kTimeout).has_value());
  first.worker.WaitForEvents("end", 1);
  REQUIRE(first.client.Stop(kTask, 1, true, kTimeout).has_value());
  const WorkerTask stopped = first.OnlyTask();
  CHECK(stopped.state == WorkerTaskState::kStopped);
  REQUIRE_FALSE(stopped.checkpoint.empty());
  CHECK(first.worker.Events("stop").size() == 1);
  WorkerStartOptions resumed = StartOptions("{}", 2);
  resumed.checkpoint = stopped.checkpoint;
  REQUIRE(second.client.Start(resumed, kTimeout).has_value());
  const auto starts = second.worker.Events("start");
  REQUIRE(starts.size() == 1);
  CHECK(starts[0]["attempt"] == 2);
  CHECK(starts[0]["checkpoint"] == stopped.checkpoint);
}

// Guards against a stop that waits for a checkpoint that nobody asked for.
TEST_CASE("a stop without a checkpoint ends a checkpoint that is under way", "[worker]") {
  WorkerFixture fixture;
  REQUIRE(fixture.client.Start(StartOptions(R"({"checkpoint_ms":600000})"), kTimeout).has_value());
  REQUIRE(fixture.client.Stop(kTask, 1, true, kTimeout).has_value());
  CHECK(fixture.OnlyTask().state == WorkerTaskState::kRunning);
  REQUIRE(fixture.client.Stop(kTask, 1, false, kTimeout).has_value());
  CHECK(fixture.OnlyTask().state == WorkerTaskState::kStopped);
  CHECK(fixture.OnlyTask().checkpoint.empty());
}

// Guards against a limit that does not reach the worker.
TEST_CASE("a throttled task uses less", "[worker]") {
  WorkerFixture fixture;
  REQUIRE(fixture.client.Start(StartOptions("{}"), kTimeout).has_value());
  REQUIRE(fixture.client.Throttle(kTask, 1, 25, kTimeout).has_value());
  CHECK(fixture.OnlyTask().observed.cpu_millis == 500);
  CHECK(fixture.worker.Events("throttle")[0]["percent"] == 25);
}

// Guards against a task that disappears from the report while it is still running.
TEST_CASE("only ended attempts are forgotten", "[worker]") {
  WorkerFixture fixture;
  REQUIRE(fixture.client.Start(StartOptions("{}"), kTimeout).has_value());
  const auto early = fixture.client.Forget(kTask, 1, kTimeout);
  REQUIRE_FALSE(early.has_value());
  CHECK(early.error().code == FailureCode::kConflict);
  REQUIRE(fixture.client.Stop(kTask, 1, false, kTimeout).has_value());
  REQUIRE(fixture.client.Forget(kTask, 1, kTimeout).has_value());
  const auto again = fixture.client.Forget(kTask, 1, kTimeout);
  REQUIRE_FALSE(again.has_value());
  CHECK(again.error().code == FailureCode::kNotFound);
  CHECK(again.error().verdict == Verdict::kNotRun);
  CHECK(fixture.client.Report(kTimeout)->tasks.empty());
}

// Guards against a stand-in that hides an agent's overbooking.
TEST_CASE("a start above the capacity is refused", "[worker]") {
  WorkerFixture fixture({"--slots=1"});
  REQUIRE(fixture.client.Start(StartOptions("{}"), kTimeout).has_value());
  WorkerStartOptions second = StartOptions("{}");
  second.task = TaskId("job-2/0");
  const auto started = fixture.client.Start(second, kTimeout);
  REQUIRE_FALSE(started.has_value());
  CHECK(started.error().code == FailureCode::kOverloaded);
  CHECK(started.error().verdict == Verdict::kNotRun);
  CHECK(fixture.worker.Events("over-capacity").size() == 1);
}

// Guards against measurements of a faulty worker that hide the states of its tasks or overflow sums.
TEST_CASE("usage reports that lag, freeze or are absurd", "[worker]") {
  WorkerFixture fixture;
  REQUIRE(fixture.client.Start(StartOptions(R"({"use_cpu_millis":1500,"use_memory_mb":9000})"), kTimeout).has_value());
  CHECK(fixture.OnlyTask().observed.cpu_millis == 1500);
  CHECK(fixture.OnlyTask().observed.memory_mb == 9000);

  SECTION("lag") {
    fixture.worker.SetFaults({{"usage_lag_ms", 600'000}});
    CHECK(fixture.OnlyTask().observed == Resources{});
  }
  SECTION("frozen") {
    fixture.worker.SetFaults({{"usage", "frozen"}});
    REQUIRE(fixture.client.Stop(kTask, 1, false, kTimeout).has_value());
    CHECK(fixture.OnlyTask().state == WorkerTaskState::kStopped);
    CHECK(fixture.OnlyTask().observed.cpu_millis == 1500);
    fixture.worker.SetFaults({{"usage", "normal"}});
    CHECK(fixture.OnlyTask().observed.cpu_millis == 0);
  }
  SECTION("absurd") {
    fixture.worker.SetFaults({{"usage", "absurd"}});
    CHECK(fixture.OnlyTask().state == WorkerTaskState::kRunning);
    CHECK(fixture.OnlyTask().observed.cpu_millis == 0);
    CHECK(fixture.OnlyTask().observed.memory_mb == 60000);
  }
}

struct CommandAnswer {
  const char* name;
  const char* body;
};

// Guards against an answer to another command being taken for the answer to this one.
TEST_CASE("answers of the worker that do not match the command are corrupt", "[worker]") {
  const auto test = GENERATE(values<CommandAnswer>({
      {"empty", ""},
      {"no object", "7"},
      {"other task", R"({"task":"job-1/1","attempt":1})"},
      {"other attempt", R"({"task":"job-1/0","attempt":2})"},
      {"attempt missing", R"({"task":"job-1/0"})"},
      {"unknown key", R"({"task":"job-1/0","attempt":1,"x":1})"},
  }));
  INFO(test.name);
  RawServer server(
      absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", std::string(test.body).size(), "\r\n\r\n", test.body));
  HttpClient http;
  HttpWorkerClient client(http, server.Address());
  const auto stopped = client.Stop(kTask, 1, true, kTimeout);
  REQUIRE_FALSE(stopped.has_value());
  CHECK(stopped.error().code == FailureCode::kCorrupt);
  CHECK(stopped.error().verdict == Verdict::kMayHaveRun);
}

constexpr const char* kAmounts = R"({"cpu_millis":1,"memory_mb":1,"accelerators":0,"slots":1})";

std::string ReportedTask(const std::string& attempt, const std::string& state, const std::string& declared) {
  return absl::StrCat(R"({"task":"a/0","attempt":)", attempt, R"(,"state":)", state, R"(,"declared":)", declared,
                      R"(,"observed":)", kAmounts, R"(,"checkpoint":"","detail":""})");
}

std::string Report(const std::string& capacity, const std::string& tasks) {
  return absl::StrCat(R"({"boot_id":"b","capacity":)", capacity, R"(,"tasks":[)", tasks, "]}");
}

struct ReportCase {
  const char* name;
  std::string body;
  bool valid;
};

// Guards against a ledger that is rebuilt from a damaged report.
TEST_CASE("damaged reports are corrupt", "[worker]") {
  const std::string task = ReportedTask("1", R"("running")", kAmounts);
  const std::string negative = R"({"cpu_millis":-1,"memory_mb":1,"accelerators":0,"slots":1})";
  const std::string fraction = R"({"cpu_millis":1.5,"memory_mb":1,"accelerators":0,"slots":1})";
  const std::string incomplete = R"({"cpu_millis":1,"memory_mb":1,"accelerators":0})";
  const std::vector<ReportCase> cases = {
      {"whole", Report(kAmounts, task), true},
      {"no tasks", Report(kAmounts, ""), true},
      {"not JSON", "x", false},
      {"negative capacity", Report(negative, task), false},
      {"fraction", Report(fraction, task), false},
      {"capacity incomplete", Report(incomplete, task), false},
      {"same attempt twice", Report(kAmounts, task + "," + task), false},
      {"attempt 0", Report(kAmounts, ReportedTask("0", R"("running")", kAmounts)), false},
      {"attempt above 32 bits", Report(kAmounts, ReportedTask("4294967296", R"("running")", kAmounts)), false},
      {"unknown state", Report(kAmounts, ReportedTask("1", R"("paused")", kAmounts)), false},
      {"negative declared amount", Report(kAmounts, ReportedTask("1", R"("running")", negative)), false},
      {"empty boot id", absl::StrCat(R"({"boot_id":"","capacity":)", kAmounts, R"(,"tasks":[]})"), false},
      {"tasks missing", absl::StrCat(R"({"boot_id":"b","capacity":)", kAmounts, "}"), false},
      {"unknown key", absl::StrCat(R"({"boot_id":"b","x":1,"capacity":)", kAmounts, R"(,"tasks":[]})"), false},
  };
  for (const ReportCase& test : cases) {
    INFO(test.name);
    RawServer server(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", test.body.size(), "\r\n\r\n", test.body));
    HttpClient http;
    HttpWorkerClient client(http, server.Address());
    const auto report = client.Report(kTimeout);
    CHECK(report.has_value() == test.valid);
    if (!report) CHECK(report.error().code == FailureCode::kCorrupt);
  }
}

// Guards against commands that the worker would have to interpret, such as a lease of 0.
TEST_CASE("invalid commands are not sent", "[worker]") {
  RawServer server("");
  HttpClient http;
  HttpWorkerClient client(http, server.Address());
  WorkerStartOptions no_task = StartOptions("{}");
  no_task.task = TaskId();
  WorkerStartOptions no_lease = StartOptions("{}");
  no_lease.lease = absl::Microseconds(999);
  const std::vector<Result<void>> results = {
      client.Start(no_task, kTimeout),
      client.Start(no_lease, kTimeout),
      client.Start(StartOptions("{}", 0), kTimeout),
      client.Start(StartOptions("\xff"), kTimeout),
      client.Renew(kTask, 1, absl::ZeroDuration(), kTimeout),
      client.Throttle(kTask, 1, 0, kTimeout),
      client.Throttle(kTask, 1, 101, kTimeout),
  };
  for (const Result<void>& result : results) {
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().code == FailureCode::kInvalidArgument);
    CHECK(result.error().verdict == Verdict::kNotRun);
  }
  CHECK(server.Requests().empty());
}

}  // namespace
}  // namespace berylgauge
