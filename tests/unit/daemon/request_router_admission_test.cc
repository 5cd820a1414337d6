#include <catch2/catch.hpp>

#include "base/ids.h"
#include "router_harness.h"
#include "state/batch.h"
#include "state/commands/put_service.h"
#include "state/config_state.h"

namespace berylgauge {
namespace {

const std::string kVerdictName = "Berylgauge-Verdict";

/// Configuration with the service "dispatch".
ConfigState ConfigOf(std::int64_t max_outstanding) {
  ServiceConfig service;
  service.name = ServiceId("dispatch");
  service.max_outstanding = max_outstanding;
  ConfigState config;
  Offset offset = 0;
  std::uint64_t sequence = 0;
  const auto append = [&](const ConfigRecord& record) {
    config.Apply({.writer = "entry",
                  .incarnation = 1,
                  .sequence = ++sequence,
                  .seen = offset - 1,
                  .records = {EncodeConfigRecord(record)}},
                 offset);
    ++offset;
  };
  append(PlanProposed{.plan = PlanId("p"),
                      .operator_name = "aoife",
                      .based_on = config.version(),
                      .commands = nlohmann::json::array({PutService(service.name, service).ToJson()})});
  append(PlanConfirmed{.plan = PlanId("p"), .operator_name = "aoife", .confirmed_unix_ms = 1});
  return config;
}

// Guards against requests that are refused although waiting a moment would have helped.
TEST_CASE("a request without room waits for a slot", "[daemon][router]") {
  RouterHarness harness({1});
  const int first = harness.Send("POST");
  const int second = harness.Send("POST");
  CHECK(harness.AtAgents() == 1);
  CHECK_FALSE(harness.IsAnswered(second));
  harness.AnswerRan(201, "first");
  CHECK(harness.answers.at(first).body == "first");
  REQUIRE(harness.AtAgents() == 1);
  harness.AnswerRan(201, "second");
  CHECK(harness.answers.at(second).body == "second");
  CHECK(harness.router->Outstanding() == 0);
}

// Guards against a newcomer that takes the slot for which another request has waited.
TEST_CASE("a request queues behind those that wait", "[daemon][router]") {
  RouterHarness harness({1});
  harness.Send("POST", {}, "first");
  harness.Send("POST", {}, "second");
  harness.Send("POST", {}, "third");
  harness.AnswerRan();
  CHECK(harness.Front().request.body == "second");
  harness.Send("POST", {}, "fourth");
  harness.AnswerRan();
  CHECK(harness.Front().request.body == "third");
}

// Guards against waiting requests that nobody wakes when an endpoint is added.
TEST_CASE("a new endpoint takes waiting requests", "[daemon][router]") {
  RouterHarness harness({1});
  harness.Send("POST");
  harness.Send("POST");
  CHECK(harness.AtAgents() == 1);
  harness.Heartbeat(1, 1);
  harness.router->Advance();
  CHECK(harness.AtAgents() == 2);
}

// Guards against a request that waits beyond its deadline, and one that is refused without saying that it was not run.
TEST_CASE("a waiting request is refused at its deadline", "[daemon][router]") {
  RouterHarness harness({1});
  harness.Send("POST");
  const int second = harness.Send("POST", {{"berylgauge-timeout-ms", "100"}});
  harness.clock.Advance(absl::Milliseconds(50));
  harness.router->Advance();
  CHECK_FALSE(harness.IsAnswered(second));
  harness.clock.Advance(absl::Milliseconds(50));
  harness.router->Advance();
  REQUIRE(harness.IsAnswered(second));
  CHECK(harness.answers.at(second).status == 504);
  CHECK(harness.HeaderOf(second, kVerdictName) == "not-run");
  harness.AnswerRan();
  CHECK(harness.AtAgents() == 0);
}

// Guards against memory that grows with the load.
TEST_CASE("the number of waiting requests is bounded", "[daemon][router]") {
  RouterHarness harness({1}, {.incarnation = 5, .admission = {.queue = {.capacity = 3}}});
  for (int i = 0; i < 4; ++i) harness.Send("POST");
  const int refused = harness.Send("POST");
  REQUIRE(harness.IsAnswered(refused));
  CHECK(harness.answers.at(refused).status == 503);
  CHECK(harness.HeaderOf(refused, kVerdictName) == "not-run");
  CHECK_FALSE(harness.HeaderOf(refused, "Retry-After").empty());
}

// Guards against a service that takes all of an entry's memory and connections.
TEST_CASE("max_outstanding of a service is honoured", "[daemon][router]") {
  RouterHarness harness({8});
  harness.router->UpdateServices(ConfigOf(2));
  harness.Send("POST");
  harness.Send("POST");
  const int refused = harness.Send("POST");
  REQUIRE(harness.IsAnswered(refused));
  CHECK(harness.answers.at(refused).status == 503);
  CHECK(harness.HeaderOf(refused, kVerdictName) == "not-run");
  CHECK_FALSE(harness.HeaderOf(refused, "Retry-After").empty());
  harness.AnswerRan();
  const int accepted = harness.Send("POST");
  CHECK_FALSE(harness.IsAnswered(accepted));
  CHECK(harness.AtAgents() == 2);
}

// Guards against more requests in progress than the limit that follows the latency.
TEST_CASE("the limit of concurrency makes requests wait", "[daemon][router]") {
  RouterHarness harness({100}, {.incarnation = 5, .admission = {.limiter = {.initial_limit = 2, .min_limit = 1}}});
  for (int i = 0; i < 3; ++i) harness.Send("POST");
  CHECK(harness.AtAgents() == 2);
  harness.AnswerRan();
  CHECK(harness.AtAgents() == 2);
}

// Guards against an endpoint that fails every request and goes on receiving them.
TEST_CASE("an endpoint that fails is taken out of rotation", "[daemon][router]") {
  RouterHarness harness({4, 4, 4});
  const std::string failing = "127.0.4.1:7430";
  for (int i = 0; i < 60; ++i) {
    harness.Send("POST");
    if (harness.Front().endpoint_address == failing) {
      harness.AnswerRan(500, "broken");
    } else {
      harness.AnswerRan();
    }
  }
  for (int i = 0; i < 30; ++i) {
    harness.Send("POST");
    CHECK(harness.Front().endpoint_address != failing);
    harness.AnswerRan();
  }
}

// Guards against a caller that has healthy endpoints ejected by allowing too little time, and against a timeout at the
// endpoint that is reported as a broken connection.
TEST_CASE("only timeouts of callers that allow enough time count against an endpoint", "[daemon][router]") {
  const bool is_enough = GENERATE(false, true);
  CAPTURE(is_enough);
  RouterHarness harness({4, 4, 4});
  const std::string slow = "127.0.4.1:7430";
  bool is_used_at_the_end = false;
  for (int i = 0; i < 90; ++i) {
    const int number = harness.Send("POST");
    if (harness.Front().endpoint_address == slow) {
      is_used_at_the_end = i >= 60;
      if (is_enough) harness.clock.Advance(absl::Milliseconds(500));
      for (std::size_t worker = 0; worker < 3; ++worker) harness.Heartbeat(worker, 4);
      harness.AnswerMayHaveRun("deadline-exceeded");
      CHECK(harness.answers.at(number).status == 504);
      CHECK(harness.HeaderOf(number, kVerdictName) == "may-have-run");
    } else {
      harness.AnswerRan();
    }
  }
  CHECK(is_used_at_the_end == !is_enough);
}

// Guards against a request that runs after the entry has answered its caller.
TEST_CASE("the agent is told of a request that is given up", "[daemon][router]") {
  RouterHarness harness({4});
  const int number = harness.Send("POST");
  const RequestId id = harness.Front().id;
  harness.AnswerBroken();
  REQUIRE(harness.IsAnswered(number));
  CHECK(harness.HeaderOf(number, kVerdictName) == "may-have-run");
  REQUIRE(harness.others.size() == 1);
  CHECK(AbandonedRequestOf(harness.others[0]) == id);
}

// Guards against a slot or a count that is lost with a refused or failed request.
TEST_CASE("nothing is left over after mixed results", "[daemon][router]") {
  RouterHarness harness({2, 2});
  for (int round = 0; round < 50; ++round) {
    std::vector<int> numbers;
    for (int i = 0; i < 6; ++i) numbers.push_back(harness.Send(i % 2 == 0 ? "POST" : "GET"));
    for (int i = 0; harness.AtAgents() > 0; ++i) {
      if (i % 5 == 3) {
        harness.AnswerBroken();
      } else if (i % 7 == 5) {
        harness.AnswerNotRun("no-slot");
      } else {
        harness.AnswerRan();
      }
    }
    harness.clock.Advance(absl::Milliseconds(500));
    harness.Heartbeat(0, 2);
    harness.Heartbeat(1, 2);
    harness.router->Advance();
    while (harness.AtAgents() > 0) harness.AnswerRan();
    for (const int number : numbers) CHECK(harness.IsAnswered(number));
    CHECK(harness.router->Outstanding() == 0);
  }
}

}  // namespace
}  // namespace berylgauge
