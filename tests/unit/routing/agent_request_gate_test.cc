#include "routing/agent_request_gate.h"

#include <catch2/catch.hpp>
#include <string>

#include "routing_fixtures.h"

namespace berylgauge {
namespace {

constexpr Incarnation kAgent = 7;
const std::string kAddress = "127.0.0.1:8080";

RequestId Id(std::uint64_t number, Incarnation entry = 1) {
  return FormatRequestId({.entry_incarnation = entry, .number = number});
}

GateRequest RequestOf(const RequestId& id, int deadline_ms = 1000, Incarnation agent = kAgent,
                      const std::string& address = kAddress) {
  return {.id = id,
          .agent_incarnation = agent,
          .service = ServiceId("dispatch"),
          .address = address,
          .deadline = At(deadline_ms)};
}

EndpointRegistry EndpointsOf(int slots, bool leaving = false, Incarnation incarnation = 3) {
  EndpointRegistry endpoints({});
  endpoints.Apply({.service = ServiceId("dispatch"),
                   .address = kAddress,
                   .incarnation = incarnation,
                   .slots = slots,
                   .leaving = leaving},
                  At(0));
  return endpoints;
}

AgentRequestGate GateOf(std::size_t max_ended = 100, std::size_t max_entries = 100) {
  return AgentRequestGate({.agent_incarnation = kAgent, .max_ended = max_ended, .max_entries = max_entries});
}

struct AdmitCase {
  const char* name;
  GateRequest request;
  int now_ms;
  int slots;
  bool is_endpoint_leaving;
  bool is_agent_leaving;
  GateAnswer answer;
};

// Guards against requests that run where they must not, and against a wrong verdict of the refusal.
TEST_CASE("gate decides on an arriving request", "[gate]") {
  using enum Verdict;
  const auto test = GENERATE(values<AdmitCase>({
      {"admitted", RequestOf(Id(1)), 0, 1, false, false, {GateReason::kAdmitted, kMayHaveRun}},
      {"no slot", RequestOf(Id(1)), 0, 0, false, false, {GateReason::kNoSlot, kNotRun}},
      {"endpoint leaving", RequestOf(Id(1)), 0, 1, true, false, {GateReason::kLeaving, kNotRun}},
      {"agent leaving", RequestOf(Id(1)), 0, 1, false, true, {GateReason::kLeaving, kNotRun}},
      {"endpoint silent", RequestOf(Id(1), 9000), 3001, 1, false, false, {GateReason::kUnknownEndpoint, kNotRun}},
      {"other address",
       RequestOf(Id(1), 1000, kAgent, "127.0.0.1:9"),
       0,
       1,
       false,
       false,
       {GateReason::kUnknownEndpoint, kNotRun}},
      {"at the deadline", RequestOf(Id(1), 10), 10, 1, false, false, {GateReason::kExpired, kNotRun}},
      {"before the deadline", RequestOf(Id(1), 11), 10, 1, false, false, {GateReason::kAdmitted, kMayHaveRun}},
      {"for the former agent",
       RequestOf(Id(1), 1000, kAgent - 1),
       0,
       1,
       false,
       false,
       {GateReason::kOtherIncarnation, kMayHaveRun}},
      {"malformed id", RequestOf(RequestId("x")), 0, 1, false, false, {GateReason::kMalformedId, kNotRun}},
  }));
  INFO(test.name);
  AgentRequestGate gate = GateOf();
  if (test.is_agent_leaving) gate.BeginLeaving();
  const GateAnswer answer =
      gate.Admit(test.request, EndpointsOf(test.slots, test.is_endpoint_leaving), At(test.now_ms));
  CHECK(kGateReasonNames.NameOf(answer.reason) == kGateReasonNames.NameOf(test.answer.reason));
  CHECK(kVerdictNames.NameOf(answer.verdict) == kVerdictNames.NameOf(test.answer.verdict));
  CHECK(gate.outstanding() == (test.answer.IsAdmitted() ? 1 : 0));
}

// Guards against a slot that is lost or freed twice on any way a request can end.
TEST_CASE("gate frees the slot once", "[gate]") {
  AgentRequestGate gate = GateOf();
  const EndpointRegistry endpoints = EndpointsOf(1);
  REQUIRE(gate.Admit(RequestOf(Id(1)), endpoints, At(0)).IsAdmitted());
  CHECK(gate.Admit(RequestOf(Id(2)), endpoints, At(0)).reason == GateReason::kNoSlot);
  CHECK(gate.OutstandingOf(ServiceId("dispatch"), kAddress, 3) == 1);
  SECTION("complete") {
    REQUIRE(gate.BeginForward(Id(1), At(0)).IsAdmitted());
    CHECK(gate.Complete(Id(1), ForwardResult::kComplete) == Verdict::kRan);
    CHECK(gate.Complete(Id(1), ForwardResult::kComplete) == Verdict::kMayHaveRun);
  }
  SECTION("broken") {
    REQUIRE(gate.BeginForward(Id(1), At(0)).IsAdmitted());
    CHECK(gate.Complete(Id(1), ForwardResult::kBroken) == Verdict::kMayHaveRun);
  }
  SECTION("not sent") {
    REQUIRE(gate.BeginForward(Id(1), At(0)).IsAdmitted());
    CHECK(gate.Complete(Id(1), ForwardResult::kNotSent) == Verdict::kNotRun);
    CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == GateAnswer{GateReason::kAlreadyRefused, Verdict::kNotRun});
  }
  SECTION("abandoned before it was forwarded") {
    CHECK(gate.Abandon(Id(1)) == GateAnswer{GateReason::kAbandoned, Verdict::kNotRun});
    CHECK(gate.BeginForward(Id(1), At(0)) == GateAnswer{GateReason::kAlreadyRefused, Verdict::kNotRun});
  }
  SECTION("abandoned after it was forwarded") {
    REQUIRE(gate.BeginForward(Id(1), At(0)).IsAdmitted());
    CHECK(gate.Abandon(Id(1)) == GateAnswer{GateReason::kAbandoned, Verdict::kMayHaveRun});
    CHECK(gate.outstanding() == 1);
    CHECK(gate.Complete(Id(1), ForwardResult::kComplete) == Verdict::kRan);
  }
  SECTION("expired before it was forwarded") {
    CHECK(gate.BeginForward(Id(1), At(1000)) == GateAnswer{GateReason::kExpired, Verdict::kNotRun});
  }
  CHECK(gate.outstanding() == 0);
  CHECK(gate.OutstandingOf(ServiceId("dispatch"), kAddress, 3) == 0);
  CHECK(gate.Admit(RequestOf(Id(3)), endpoints, At(0)).IsAdmitted());
}

// Guards against a request that runs after its entry was told that it was not run, or that runs twice.
TEST_CASE("gate remembers what it decided", "[gate]") {
  AgentRequestGate gate = GateOf();
  const EndpointRegistry endpoints = EndpointsOf(1);
  const GateAnswer already_refused{GateReason::kAlreadyRefused, Verdict::kNotRun};
  const GateAnswer repeated{GateReason::kRepeated, Verdict::kMayHaveRun};
  SECTION("refused, then repeated when there is room") {
    REQUIRE(gate.Admit(RequestOf(Id(1)), EndpointsOf(0), At(0)).reason == GateReason::kNoSlot);
    CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == already_refused);
  }
  SECTION("given up before it arrived") {
    CHECK(gate.Abandon(Id(1)) == GateAnswer{GateReason::kAbandoned, Verdict::kNotRun});
    CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == already_refused);
    CHECK(gate.Abandon(Id(1)) == already_refused);
  }
  SECTION("repeated while admitted, forwarded and completed") {
    REQUIRE(gate.Admit(RequestOf(Id(1)), endpoints, At(0)).IsAdmitted());
    CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == repeated);
    REQUIRE(gate.BeginForward(Id(1), At(0)).IsAdmitted());
    CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == repeated);
    CHECK(gate.BeginForward(Id(1), At(0)) == repeated);
    REQUIRE(gate.Complete(Id(1), ForwardResult::kComplete) == Verdict::kRan);
    CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == repeated);
    CHECK(gate.Abandon(Id(1)) == repeated);
  }
  SECTION("forwarded without having been admitted") {
    CHECK_FALSE(gate.BeginForward(Id(1), At(0)).IsAdmitted());
    CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == already_refused);
  }
  SECTION("the next attempt has its own number") {
    REQUIRE(gate.Admit(RequestOf(Id(1)), EndpointsOf(0), At(0)).reason == GateReason::kNoSlot);
    CHECK(gate.Admit(RequestOf(Id(2)), endpoints, At(0)).IsAdmitted());
  }
  SECTION("the same number of another entry process") {
    REQUIRE(gate.Admit(RequestOf(Id(1)), EndpointsOf(0), At(0)).reason == GateReason::kNoSlot);
    CHECK(gate.Admit(RequestOf(Id(1, 2)), endpoints, At(0)).IsAdmitted());
  }
}

// Guards against unbounded memory, and against a forgotten request that is admitted as a new one.
TEST_CASE("forgotten requests are below the floor", "[gate]") {
  AgentRequestGate gate = GateOf(2);
  const EndpointRegistry endpoints = EndpointsOf(10);
  const GateAnswer below_floor{GateReason::kBelowFloor, Verdict::kMayHaveRun};
  for (std::uint64_t number = 1; number <= 50; ++number) gate.Abandon(Id(number));
  CHECK(gate.remembered() == 2);
  CHECK(gate.Admit(RequestOf(Id(48)), endpoints, At(0)) == below_floor);
  CHECK(gate.Admit(RequestOf(Id(1)), endpoints, At(0)) == below_floor);
  CHECK(gate.Abandon(Id(1)) == below_floor);
  CHECK(gate.Admit(RequestOf(Id(49)), endpoints, At(0)).reason == GateReason::kAlreadyRefused);
  CHECK(gate.Admit(RequestOf(Id(51)), endpoints, At(0)).IsAdmitted());
  CHECK(gate.Admit(RequestOf(Id(1, 2)), endpoints, At(0)).IsAdmitted());
  // A request in progress outlives the floor.
  for (std::uint64_t number = 52; number <= 99; ++number) gate.Abandon(Id(number));
  CHECK(gate.BeginForward(Id(51), At(0)).IsAdmitted());
  CHECK(gate.Complete(Id(51), ForwardResult::kComplete) == Verdict::kRan);
}

// Guards against forgetting an entry process, whose late requests could not be told from new ones.
TEST_CASE("gate refuses more entry processes than it can remember", "[gate]") {
  AgentRequestGate gate = GateOf(100, 2);
  const EndpointRegistry endpoints = EndpointsOf(10);
  CHECK(gate.Admit(RequestOf(Id(1, 1)), endpoints, At(0)).IsAdmitted());
  CHECK(gate.Admit(RequestOf(Id(1, 2)), endpoints, At(0)).IsAdmitted());
  const GateAnswer refused{GateReason::kTooManyEntries, Verdict::kNotRun};
  CHECK(gate.Admit(RequestOf(Id(1, 3)), endpoints, At(0)) == refused);
  CHECK(gate.Abandon(Id(1, 3)) == refused);
  CHECK(gate.Admit(RequestOf(Id(2, 2)), endpoints, At(0)).IsAdmitted());
}

// Guards against requests to a dead endpoint process that occupy the slots of its successor.
TEST_CASE("slots belong to an endpoint process", "[gate]") {
  AgentRequestGate gate = GateOf();
  REQUIRE(gate.Admit(RequestOf(Id(1)), EndpointsOf(1, false, 3), At(0)).IsAdmitted());
  CHECK(gate.Admit(RequestOf(Id(2)), EndpointsOf(1, false, 4), At(0)).IsAdmitted());
  CHECK(gate.OutstandingOf(ServiceId("dispatch"), kAddress, 3) == 1);
  CHECK(gate.OutstandingOf(ServiceId("dispatch"), kAddress, 4) == 1);
}

}  // namespace
}  // namespace berylgauge
