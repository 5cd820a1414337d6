#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/http_keyed_log.h"
#include "platform/http_worker_port.h"
#include "platform/job_request.h"
#include "platform/operator_records.h"
#include "platform/platform_settings.h"
#include "platform/process_parts.h"
#include "platform/worker_heartbeat.h"

namespace berylgauge::platform {
namespace {

struct JobRow {
  const char* body;
  const char* field;  ///< of the failure; empty if the body is valid
};

// Guards against bodies that break the page and are accepted, or refused without naming the field.
TEST_CASE("a job's body is checked and the offending field is named", "[platform]") {
  const JobRow row = GENERATE(
      JobRow{R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":900,"affinity":"r1-3"}]})", ""},
      JobRow{R"({"steps":[{"count":1},{"after":[0]}],"repeats":3,"start_ms":1,"interval_ms":2})", ""},
      JobRow{R"([])", "body"}, JobRow{R"({"spec":"x"})", "steps"}, JobRow{R"({"steps":[]})", "steps"},
      JobRow{R"({"steps":[{"count":0}]})", "steps[0].count"}, JobRow{R"({"steps":[{"count":4001}]})", "steps[0].count"},
      JobRow{R"({"steps":[{"cpu":"1"}]})", "steps[0].cpu"}, JobRow{R"({"steps":[{},{"after":[1]}]})", "steps[1].after"},
      JobRow{R"({"steps":[{"gang":1}]})", "steps[0].gang"}, JobRow{R"({"spec":7,"steps":[{}]})", "spec"},
      JobRow{R"({"steps":[7]})", "steps[0]."});
  INFO(row.body);
  const auto job = DecodeJobRequest(row.body, "00000000000000a1", {.name = "q"});
  CHECK(job.has_value() == (row.field[0] == '\0'));
  if (!job) CHECK(job.error().field == row.field);
}

TEST_CASE("any bytes are a valid job or an invalid argument", "[platform]") {
  const bool ok = rc::check([](const std::string& bytes) {
    const auto job = DecodeJobRequest(bytes, "00000000000000a1", {});
    RC_ASSERT(job || job.error().code == FailureCode::kInvalidArgument);
  });
  CHECK(ok);
}

struct HeartbeatRow {
  const char* body;
  bool valid;
};

// Guards against a worker that is used although its heartbeat comes from another writer.
TEST_CASE("only a whole heartbeat names a worker", "[platform]") {
  const HeartbeatRow row = GENERATE(
      HeartbeatRow{
          R"({"service":"s","zone":"z","labels":["a","r1"],"capacity":{"cpu":1,"mem_mb":2,"gpu":0},"state":"ready","born":5,"seq":1})",
          true},
      HeartbeatRow{
          R"({"service":"s","zone":"z","labels":["a"],"capacity":{"cpu":1,"mem_mb":2},"state":"draining","remaining_ms":9,"born":5,"seq":1})",
          true},
      HeartbeatRow{
          R"({"service":"s","zone":"z","labels":["a"],"capacity":{"cpu":1,"mem_mb":2},"state":"odd","born":5,"seq":1})",
          false},
      HeartbeatRow{
          R"({"service":"s","zone":"z","labels":["a"],"capacity":{"cpu":"1","mem_mb":2},"state":"ready","born":5,"seq":1})",
          false},
      HeartbeatRow{
          R"({"service":"s","zone":"z","labels":["a"],"capacity":{"cpu":1,"mem_mb":2},"state":"ready","seq":1})",
          false},
      HeartbeatRow{"\xff\xfe", false}, HeartbeatRow{"[]", false});
  INFO(row.body);
  const auto announcement = DecodeHeartbeat("w1", row.body);
  CHECK(announcement.has_value() == row.valid);
  if (announcement) CHECK(announcement->rack == (announcement->labels.size() > 1 ? "r1" : ""));
}

// Guards against a worker that is taken for gone on a message that does not name its life.
TEST_CASE("a worker leaves in a named life", "[platform]") {
  const HeartbeatRow row = GENERATE(HeartbeatRow{R"({"born":5})", true}, HeartbeatRow{R"({"born":"5"})", false},
                                    HeartbeatRow{R"({"born":1e300})", false}, HeartbeatRow{"{}", false},
                                    HeartbeatRow{"[]", false}, HeartbeatRow{"", false});
  INFO(row.body);
  const auto life = DecodeLeave("w1", row.body);
  REQUIRE(life.has_value() == row.valid);
  if (life) CHECK(*life == workflow::WorkerLife{.worker = "w1", .born = 5});
}

TEST_CASE("records are framed as the store expects and read back", "[platform]") {
  const std::string body = EncodeLogRecords({{.key = "ab", .value = "xyz"}, {.key = "c", .value = ""}});
  CHECK(body == std::string("\0\0\0\6\2abxyz\0\0\0\2\1c", 16));
  const auto read = DecodeLogRead(std::string("\0\0\0\0\0\0\0\x9\0\0\0\0\0\0\0\3", 16) + body, 7);
  REQUIRE(read.has_value());
  CHECK(read->end == 9);
  REQUIRE(read->records.size() == 2);
  CHECK(read->records[0].key == "ab");
  CHECK(read->records[0].value == "xyz");
  CHECK(read->records[1].offset == 8);
  CHECK(!DecodeLogRead("short", 0));
  CHECK(!DecodeLogRead(std::string(16, '\0') + std::string("\0\0\0\x9x", 5), 0));
}

TEST_CASE("a page of newest records names the next one", "[platform]") {
  const auto page = DecodeLogNewest(R"({"items":[{"key":"k","value":"eA==","offset":4}],"more":true,"end":6})");
  REQUIRE(page.has_value());
  CHECK(page->records.at(0).value == "x");
  CHECK(page->next_after == "k");
  CHECK(!DecodeLogNewest(R"({"items":[{"key":"k","value":"!","offset":4}],"end":6})"));
}

TEST_CASE("the operators' records are decoded", "[platform]") {
  const OperatorRecords decoder;
  const auto evacuation = decoder.Decode("evacuate/galway-yard", "{}");
  REQUIRE(evacuation.has_value());
  CHECK(evacuation->kind == control::OperatorRecord::Kind::kEvacuation);
  CHECK(evacuation->zone == "galway-yard");
  const auto config = decoder.Decode(
      "config",
      R"({"version":7,"routes":[{"host":"H.example","path_prefix":"/a/","service":"s","attempts":2},{"host":"h.example","path_prefix":"/a/b/","service":"t"}]})");
  REQUIRE(config.has_value());
  CHECK(config->queues->version() == 7);
  CHECK(config->queues->Find("h.example:80", "/a/b/c")->queue.service == "t");  // the longest prefix
  CHECK(config->queues->Find("h.example", "/a/x")->queue.max_attempts == 2);
  CHECK(config->queues->Find("h.example", "/x/") == nullptr);
  CHECK(config->queues->Find("other", "/a/") == nullptr);
  CHECK(!decoder.Decode("config", "{"));
  CHECK(decoder.Decode("wave/1", "{}")->kind == control::OperatorRecord::Kind::kOther);
}

struct StartRow {
  int status;
  const char* body;
  workflow::StartRefusal refusal;
};

TEST_CASE("the worker's answers to a start are decoded", "[platform]") {
  using workflow::StartRefusal;
  const StartRow row =
      GENERATE(StartRow{200, R"({"clock_ms":5})", StartRefusal::kNone},
               StartRow{409, R"({"clock_ms":5,"reason":"room"})", StartRefusal::kRoom},
               StartRow{409, R"({"clock_ms":5,"reason":"old"})", StartRefusal::kEnded},
               StartRow{409, R"({"clock_ms":5,"reason":"fence"})", StartRefusal::kStaleOwner},
               StartRow{421, "", StartRefusal::kOtherLife}, StartRow{503, "", StartRefusal::kUnhealthy});
  const auto answer = DecodeStart({.status = row.status, .headers = {}, .body = row.body});
  REQUIRE(answer.has_value());
  CHECK(answer->refusal == row.refusal);
  CHECK(!DecodeStart({.status = 409, .headers = {}, .body = "{}"}));
}

struct StartStatusRow {
  int status;
  Verdict verdict;
};

// Guards against a second run of a task whose start has begun although its answer says otherwise: only a status that
// the worker gives for a call without effect is proof of that (issue 28).
TEST_CASE("a start with an unknown status may have run", "[platform]") {
  const StartStatusRow row =
      GENERATE(StartStatusRow{400, Verdict::kNotRun}, StartStatusRow{404, Verdict::kNotRun},
               StartStatusRow{409, Verdict::kNotRun}, StartStatusRow{204, Verdict::kMayHaveRun},
               StartStatusRow{500, Verdict::kMayHaveRun}, StartStatusRow{502, Verdict::kMayHaveRun},
               StartStatusRow{504, Verdict::kMayHaveRun});
  CAPTURE(row.status);
  const auto answer = DecodeStart({.status = row.status, .headers = {}, .body = "{}"});
  REQUIRE(!answer.has_value());
  CHECK(answer.error().verdict == row.verdict);
}

// Guards against leases that the platform shortens unseen, and jobs that are forgotten too early elsewhere.
TEST_CASE("the scheduler keeps to the platform's bounds", "[platform]") {
  PlatformSettings settings{.job_retention_ms = 300'000};
  settings.longest_lease_ms = 3000;
  CHECK(MakeSchedulerOptions(settings).lease == absl::Seconds(3));
  CHECK(MakeSchedulerOptions(settings).retention >= absl::Seconds(300));
  settings.longest_lease_ms = 10'000;
  CHECK(MakeSchedulerOptions(settings).lease == workflow::SchedulerOptions{}.lease);
}

TEST_CASE("settings of the platform are read leniently, but not without addresses", "[platform]") {
  const std::string agent =
      R"({"node":"side-1","ip":"10.0.0.1","serves":["side"],"listen":{"control":"10.0.0.1:81"},"app":"10.0.0.1:80","port_range":[7,9],"platform":{"addr":"10.0.0.2:5"},"unknown":{}})";
  const auto settings = ParsePlatformSettings(agent);
  REQUIRE(settings.has_value());
  CHECK(settings->role == PlatformRole::kAgent);
  CHECK(settings->internal_port == 7);
  CHECK(settings->store.ToString() == "10.0.0.2:5");
  CHECK(settings->memory_mb == 0);
  CHECK(settings->max_descriptors == 0);
  CHECK(!ParsePlatformSettings("{}"));
  CHECK(!ParsePlatformSettings("x"));
}

/// Lists of a worker with the ends of those numbers.
std::string ListsWithEnds(const std::vector<std::int64_t>& numbers) {
  nlohmann::json ended = nlohmann::json::array();
  for (const std::int64_t number : numbers) {
    ended.push_back(nlohmann::json::array({number, "00000000000000a1.0.0." + std::to_string(number), 1, "done", ""}));
  }
  return nlohmann::json{{"clock_ms", 7}, {"born", 5}, {"running", nlohmann::json::array()}, {"ended", ended}}.dump();
}

// Guards against a list of ends that was cut and counts as whole, so that a run whose end is not in it counts as absent
// (issue 28).
TEST_CASE("a list of ends is whole only if it is shorter than the platform allows", "[platform]") {
  const std::int64_t count = GENERATE(0, 499, 500);
  std::vector<std::int64_t> numbers;
  for (std::int64_t number = 1; number <= count; ++number) numbers.push_back(number);
  const Result<control::HoldAnswer> answer = DecodeHold(ListsWithEnds(numbers));
  REQUIRE(answer.has_value());
  CHECK(answer->has_all_ends == (count < 500));
}

// Guards against ends that are acknowledged unread: the owner takes them in the order of the list and names the highest
// number (issue 28).
TEST_CASE("ends are read in the order of their numbers", "[platform]") {
  const Result<control::HoldAnswer> answer = DecodeHold(ListsWithEnds({3, 1, 2}));
  REQUIRE(answer.has_value());
  REQUIRE(answer->ends.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) CHECK(answer->ends[i].number == static_cast<std::int64_t>(i) + 1);
}

}  // namespace
}  // namespace berylgauge::platform
