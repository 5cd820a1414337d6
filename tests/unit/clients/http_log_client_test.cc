#include "clients/http_log_client.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <rapidcheck.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "support/raw_server.h"
#include "support/standin.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(20);
constexpr absl::Duration kShortTimeout = absl::Milliseconds(200);

struct AppendFault {
  const char* name;
  nlohmann::json faults;
  FailureCode code;
  std::size_t appended;  ///< records in the log once the faults are over
};

// Guards against a wrong verdict: `not run` for a record that is or may be in the log lets a writer drop it twice over.
TEST_CASE("verdicts of an append under faults", "[log]") {
  const auto test = GENERATE(values<AppendFault>({
      {"outage with 503", {{"outage", "unavailable"}}, FailureCode::kUnavailable, 0},
      {"outage without an answer", {{"outage", "silent"}}, FailureCode::kDeadlineExceeded, 0},
      {"answer lost after the append", {{"lose_answers", 1}}, FailureCode::kUnavailable, 1},
      {"answer after the deadline", {{"delay_ms", 600}}, FailureCode::kDeadlineExceeded, 1},
  }));
  INFO(test.name);
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  log.SetFaults(test.faults);
  const auto appended = client.Append("config", "a", kShortTimeout);
  REQUIRE_FALSE(appended.has_value());
  CHECK(kFailureCodeNames.NameOf(appended.error().code) == kFailureCodeNames.NameOf(test.code));
  CHECK(appended.error().verdict == Verdict::kMayHaveRun);
  if (test.appended > 0) log.WaitForEvents("append", test.appended);
  log.SetFaults({{"outage", "none"}, {"lose_answers", 0}, {"delay_ms", 0}});
  CHECK(log.Events("append").size() == test.appended);
  const auto again = client.Append("config", "a", kTimeout);
  REQUIRE(again.has_value());
  CHECK(*again == static_cast<Offset>(test.appended));
}

// Guards against libcurl sending a request again when a connection that was used before is closed: the log would hold
// the record twice after one call.
TEST_CASE("an append on a reused connection is sent once", "[log]") {
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  REQUIRE(client.Append("config", "first", kTimeout).has_value());
  REQUIRE(http.IdleConnections() == 1);
  log.SetFaults({{"lose_answers", 1}});
  const auto lost = client.Append("config", "second", kTimeout);
  REQUIRE_FALSE(lost.has_value());
  CHECK(lost.error().verdict == Verdict::kMayHaveRun);
  CHECK(log.Events("append").size() == 2);
}

// Guards against reads that report a failure of the log as an empty stream.
TEST_CASE("reads fail under faults", "[log]") {
  const auto test = GENERATE(values<AppendFault>({
      {"outage with 503", {{"outage", "unavailable"}}, FailureCode::kUnavailable, 0},
      {"outage without an answer", {{"outage", "silent"}}, FailureCode::kDeadlineExceeded, 0},
      {"answer lost", {{"lose_answers", 1}}, FailureCode::kUnavailable, 0},
      {"answer after the deadline", {{"delay_ms", 10'000}}, FailureCode::kDeadlineExceeded, 0},
  }));
  INFO(test.name);
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  log.SetFaults(test.faults);
  const auto page = client.Read("config", 0, 10, absl::ZeroDuration(), kShortTimeout);
  REQUIRE_FALSE(page.has_value());
  CHECK(kFailureCodeNames.NameOf(page.error().code) == kFailureCodeNames.NameOf(test.code));
}

// Guards against two writers being told the same offset, and against payloads that end up at another offset.
TEST_CASE("appends from 16 threads get different offsets", "[log]") {
  constexpr int kThreads = 16;
  constexpr int kAppends = 50;
  constexpr std::size_t kTotal = std::size_t{kThreads} * kAppends;
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  std::vector<std::vector<Offset>> offsets(kThreads);
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < kAppends; ++i) {
        const auto offset = client.Append("jobs-1", absl::StrCat(t, "/", i), kTimeout);
        offsets[t].push_back(offset ? *offset : kNoOffset);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const auto page = client.Read("jobs-1", 0, kThreads * kAppends, absl::ZeroDuration(), kTimeout);
  REQUIRE(page.has_value());
  REQUIRE(page->records.size() == kTotal);
  std::set<Offset> distinct;
  for (int t = 0; t < kThreads; ++t) {
    for (int i = 0; i < kAppends; ++i) {
      const Offset offset = offsets[t][i];
      REQUIRE(offset >= 0);
      distinct.insert(offset);
      CHECK(page->records.at(static_cast<std::size_t>(offset)).payload == absl::StrCat(t, "/", i));
    }
  }
  CHECK(distinct.size() == kTotal);
}

// Guards against payloads that are changed on the way, such as bytes outside of UTF-8.
TEST_CASE("payloads are read as they were appended", "[log]") {
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  CHECK(rc::check("any bytes", [&](const std::string& payload) {
    const auto offset = client.Append("config", payload, kTimeout);
    RC_ASSERT(offset.has_value());
    const auto page = client.Read("config", *offset, 1, absl::ZeroDuration(), kTimeout);
    RC_ASSERT(page.has_value());
    RC_ASSERT(page->records.size() == 1U);
    RC_ASSERT(page->records[0].offset == *offset);
    RC_ASSERT(page->records[0].payload == payload);
    RC_ASSERT(page->next_offset == *offset + 1);
  }));
}

// Guards against reads that begin or end at the wrong record.
TEST_CASE("a read returns the records from the offset on", "[log]") {
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  const auto empty = client.Read("config", 0, 10, absl::ZeroDuration(), kTimeout);
  REQUIRE(empty.has_value());
  CHECK(empty->records.empty());
  CHECK(empty->next_offset == 0);
  for (const char* payload : {"a", "b", "c", "d"}) REQUIRE(client.Append("config", payload, kTimeout).has_value());
  const auto page = client.Read("config", 1, 2, absl::ZeroDuration(), kTimeout);
  REQUIRE(page.has_value());
  REQUIRE(page->records.size() == 2);
  CHECK(page->records[0].payload == "b");
  CHECK(page->records[1].payload == "c");
  CHECK(page->next_offset == 4);
  const auto beyond = client.Read("config", 9, 2, absl::ZeroDuration(), kTimeout);
  REQUIRE(beyond.has_value());
  CHECK(beyond->records.empty());
  CHECK(beyond->next_offset == 4);
}

struct RetentionCase {
  const char* name;
  nlohmann::json retention;
};

// Guards against a gap that a reader does not notice.
TEST_CASE("a read of an offset that is no longer retained fails", "[log]") {
  const auto test = GENERATE(values<RetentionCase>({
      {"by count", {{"max_records", 2}}},
      {"by age", {{"max_age_ms", 1}}},
  }));
  INFO(test.name);
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  for (const char* payload : {"a", "b", "c"}) REQUIRE(client.Append("config", payload, kTimeout).has_value());
  log.Control("retention", test.retention);
  const absl::Time deadline = absl::Now() + kTimeout;
  auto page = client.Read("config", 0, 10, absl::ZeroDuration(), kTimeout);
  while (page.has_value() && absl::Now() < deadline) {
    page = client.Read("config", 0, 10, absl::ZeroDuration(), kTimeout);
  }
  REQUIRE_FALSE(page.has_value());
  CHECK(page.error().code == FailureCode::kExpired);
  const auto tail = client.Read("config", 3, 10, absl::ZeroDuration(), kTimeout);
  REQUIRE(tail.has_value());
  CHECK(tail->first_offset > 0);
  CHECK(tail->next_offset == 3);
}

// Guards against a reader that learns of a configuration change only at the end of its wait.
TEST_CASE("a waiting read returns as soon as a record arrives", "[log]") {
  constexpr absl::Duration kWait = absl::Seconds(60);
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  Result<LogPage> page;
  absl::Time returned;
  std::thread reader([&] {
    page = client.Read("config", 0, 10, kWait, kWait + kTimeout);
    returned = absl::Now();
  });
  const absl::Time deadline = absl::Now() + kTimeout;
  while (log.Control("waiting-reads", {})["waiting_reads"] != 1 && absl::Now() < deadline) {
  }
  const absl::Time appended = absl::Now();
  const auto offset = client.Append("config", "a", kTimeout);
  reader.join();
  REQUIRE(offset.has_value());
  REQUIRE(page.has_value());
  REQUIRE(page->records.size() == 1);
  CHECK(page->records[0].payload == "a");
  CHECK(returned >= appended);
  CHECK(returned - appended < kWait / 10);
}

// Guards against a quiet stream that looks like an outage, because the read waits as long as its own timeout.
TEST_CASE("a wait as long as the timeout ends with an empty page", "[log]") {
  Standin log("standin_log");
  HttpClient http;
  HttpLogClient client(http, log.Address());
  const auto page = client.Read("config", 0, 10, absl::Seconds(2), absl::Seconds(2));
  REQUIRE(page.has_value());
  CHECK(page->records.empty());
}

struct CorruptPage {
  const char* name;
  const char* body;
};

// Guards against a fold of records that are missing, out of order or damaged.
TEST_CASE("pages that contradict the request are corrupt", "[log]") {
  const auto test = GENERATE(values<CorruptPage>({
      {"not JSON", "nope"},
      {"empty", ""},
      {"no object", "[]"},
      {"key missing", R"({"first_offset":0,"records":[]})"},
      {"unknown key", R"({"first_offset":0,"next_offset":5,"records":[],"x":1})"},
      {"negative offset", R"({"first_offset":-1,"next_offset":5,"records":[]})"},
      {"fraction", R"({"first_offset":0,"next_offset":5.5,"records":[]})"},
      {"next below first", R"({"first_offset":6,"next_offset":5,"records":[]})"},
      {"first above the requested offset",
       R"({"first_offset":6,"next_offset":7,"records":[{"offset":5,"payload":"YQ=="}]})"},
      {"record missing", R"({"first_offset":0,"next_offset":7,"records":[]})"},
      {"gap", R"({"first_offset":0,"next_offset":9,"records":[{"offset":5,"payload":""},{"offset":7,"payload":""}]})"},
      {"other offset", R"({"first_offset":0,"next_offset":9,"records":[{"offset":4,"payload":""}]})"},
      {"beyond next", R"({"first_offset":0,"next_offset":5,"records":[{"offset":5,"payload":""}]})"},
      {"too many",
       R"({"first_offset":0,"next_offset":9,"records":[{"offset":5,"payload":""},{"offset":6,"payload":""},
           {"offset":7,"payload":""}]})"},
      {"not base64", R"({"first_offset":0,"next_offset":9,"records":[{"offset":5,"payload":"*"}]})"},
      {"base64 with a blank", R"({"first_offset":0,"next_offset":9,"records":[{"offset":5,"payload":"Y Q=="}]})"},
      {"base64 without padding", R"({"first_offset":0,"next_offset":9,"records":[{"offset":5,"payload":"YQ"}]})"},
      {"payload missing", R"({"first_offset":0,"next_offset":9,"records":[{"offset":5}]})"},
      {"record with an unknown key",
       R"({"first_offset":0,"next_offset":9,"records":[{"offset":5,"payload":"","x":1}]})"},
  }));
  INFO(test.name);
  RawServer server(
      absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", std::string(test.body).size(), "\r\n\r\n", test.body));
  HttpClient http;
  HttpLogClient client(http, server.Address());
  const auto page = client.Read("config", 5, 2, absl::ZeroDuration(), kTimeout);
  REQUIRE_FALSE(page.has_value());
  CHECK(kFailureCodeNames.NameOf(page.error().code) == "corrupt");
}

struct AppendAnswer {
  int status;
  const char* body;
  FailureCode code;
  Verdict verdict;
};

// Guards against `not run` for an answer that does not prove it, and against an offset taken from a damaged answer.
TEST_CASE("verdicts of an append by its answer", "[log]") {
  const auto test = GENERATE(values<AppendAnswer>({
      {200, R"({"offset":"1"})", FailureCode::kCorrupt, Verdict::kMayHaveRun},
      {200, R"({"offset":-1})", FailureCode::kCorrupt, Verdict::kMayHaveRun},
      {200, R"({"offset":1,"x":1})", FailureCode::kCorrupt, Verdict::kMayHaveRun},
      {200, "", FailureCode::kCorrupt, Verdict::kMayHaveRun},
      {201, R"({"offset":1})", FailureCode::kCorrupt, Verdict::kMayHaveRun},
      {302, "", FailureCode::kCorrupt, Verdict::kMayHaveRun},
      {400, "", FailureCode::kInvalidArgument, Verdict::kNotRun},
      {403, "", FailureCode::kRefused, Verdict::kNotRun},
      {408, "", FailureCode::kCorrupt, Verdict::kMayHaveRun},
      {429, "", FailureCode::kOverloaded, Verdict::kNotRun},
      {500, "", FailureCode::kUnavailable, Verdict::kMayHaveRun},
      {503, "", FailureCode::kUnavailable, Verdict::kMayHaveRun},
      {504, "", FailureCode::kUnavailable, Verdict::kMayHaveRun},
  }));
  CAPTURE(test.status, test.body);
  RawServer server(absl::StrCat("HTTP/1.1 ", test.status, " X\r\nContent-Length: ", std::string(test.body).size(),
                                "\r\n\r\n", test.body));
  HttpClient http;
  HttpLogClient client(http, server.Address());
  const auto appended = client.Append("config", "a", kTimeout);
  REQUIRE_FALSE(appended.has_value());
  CHECK(kFailureCodeNames.NameOf(appended.error().code) == kFailureCodeNames.NameOf(test.code));
  CHECK(appended.error().verdict == test.verdict);
  CHECK(server.Requests().size() == 1);
}

// Guards against a stream name that changes the path of the request.
TEST_CASE("invalid arguments of the log client are not sent", "[log]") {
  RawServer server("");
  HttpClient http;
  HttpLogClient client(http, server.Address());
  for (const std::string& name : {std::string(), std::string("a/b"), std::string("a?b"), std::string(129, 'a')}) {
    CAPTURE(name);
    const auto appended = client.Append(name, "a", kTimeout);
    REQUIRE_FALSE(appended.has_value());
    CHECK(appended.error().code == FailureCode::kInvalidArgument);
    CHECK(appended.error().verdict == Verdict::kNotRun);
  }
  CHECK_FALSE(client.Read("a", -1, 1, absl::ZeroDuration(), kTimeout).has_value());
  CHECK_FALSE(client.Read("a", 0, 0, absl::ZeroDuration(), kTimeout).has_value());
  CHECK_FALSE(client.Read("a", 0, 10'001, absl::ZeroDuration(), kTimeout).has_value());
  CHECK(server.Requests().empty());
}

}  // namespace
}  // namespace berylgauge
