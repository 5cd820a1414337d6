#include "membership/endpoint_registry.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

MonotonicTime At(int ms) { return MonotonicTime(absl::Milliseconds(ms)); }

EndpointAnnouncement Announce(const std::string& service, int port, Incarnation incarnation, int slots = 4,
                              bool leaving = false) {
  return {.service = ServiceId(service),
          .address = "127.0.0.1:" + std::to_string(port),
          .incarnation = incarnation,
          .slots = slots,
          .leaving = leaving};
}

struct Step {
  int ms;
  EndpointAnnouncement announcement;
  AnnouncementDecision decision;
};

struct SequenceCase {
  const char* name;
  std::vector<Step> steps;
  std::vector<EndpointAnnouncement> live;  ///< after the last step
};

// Guards against requests to processes that are gone, and against endpoints that return from leaving.
TEST_CASE("endpoint registry decides on each announcement", "[endpoint-registry]") {
  using enum AnnouncementDecision;
  const auto test = GENERATE(values<SequenceCase>({
      {"refreshed with other slots",
       {{0, Announce("a", 80, 1), kNewEndpoint}, {1000, Announce("a", 80, 1, 9), kRefreshed}},
       {Announce("a", 80, 1, 9)}},
      {"silent for 3 s",
       {{0, Announce("a", 80, 1), kNewEndpoint}, {3001, Announce("b", 81, 2), kNewEndpoint}},
       {Announce("b", 81, 2)}},
      {"heard within 3 s",
       {{0, Announce("a", 80, 1), kNewEndpoint}, {3000, Announce("b", 81, 2), kNewEndpoint}},
       {Announce("a", 80, 1), Announce("b", 81, 2)}},
      {"leaving stays leaving",
       {{0, Announce("a", 80, 1, 4, true), kNewEndpoint}, {1, Announce("a", 80, 1, 4, false), kRefreshed}},
       {Announce("a", 80, 1, 4, true)}},
      {"a new process is not leaving",
       {{0, Announce("a", 80, 1, 4, true), kNewEndpoint}, {1, Announce("a", 80, 2), kNewIncarnation}},
       {Announce("a", 80, 2)}},
      {"late announcement of the former process",
       {{0, Announce("a", 80, 1), kNewEndpoint},
        {1, Announce("a", 80, 2, 7), kNewIncarnation},
        {2, Announce("a", 80, 1), kFormer}},
       {Announce("a", 80, 2, 7)}},
      {"the former process is the living one",
       {{0, Announce("a", 80, 1), kNewEndpoint},
        {1, Announce("a", 80, 2), kNewIncarnation},
        {3002, Announce("a", 80, 1), kNewIncarnation}},
       {Announce("a", 80, 1)}},
      {"a new process of another service at the address",
       {{0, Announce("a", 80, 1), kNewEndpoint}, {1, Announce("b", 80, 2), kNewIncarnation}},
       {Announce("b", 80, 2)}},
      {"one process with two services",
       {{0, Announce("a", 80, 1), kNewEndpoint}, {1, Announce("b", 80, 1), kNewEndpoint}},
       {Announce("a", 80, 1), Announce("b", 80, 1)}},
      {"more endpoints than allowed",
       {{0, Announce("a", 80, 1), kNewEndpoint},
        {1, Announce("a", 81, 2), kNewEndpoint},
        {2, Announce("a", 82, 3), kTooMany},
        {3, Announce("a", 81, 2), kRefreshed}},
       {Announce("a", 80, 1), Announce("a", 81, 2)}},
  }));
  INFO(test.name);
  const bool calls_expire = GENERATE(false, true);
  EndpointRegistry registry({.max_endpoints = 2});
  int ms = 0;
  for (std::size_t i = 0; i < test.steps.size(); ++i) {
    INFO("step " << i);
    const Step& step = test.steps[i];
    ms = step.ms;
    if (calls_expire) registry.Expire(At(ms));
    const AnnouncementDecision decision = registry.Apply(step.announcement, At(ms));
    CHECK(kAnnouncementDecisionNames.NameOf(decision) == kAnnouncementDecisionNames.NameOf(step.decision));
  }
  std::vector<EndpointAnnouncement> live;
  for (const EndpointRecord* record : registry.Live(At(ms))) live.push_back(record->last);
  CHECK(live == test.live);
  for (const EndpointAnnouncement& endpoint : test.live) {
    CHECK(registry.Find(endpoint.service, endpoint.address, At(ms)) != nullptr);
  }
}

// Guards against an endpoint that stays reachable because nobody called Expire.
TEST_CASE("silent endpoints are not found", "[endpoint-registry]") {
  EndpointRegistry registry({});
  registry.Apply(Announce("a", 80, 1), At(0));
  CHECK(registry.Find(ServiceId("a"), "127.0.0.1:80", At(3000)) != nullptr);
  CHECK(registry.Find(ServiceId("a"), "127.0.0.1:80", At(3001)) == nullptr);
  CHECK(registry.Live(At(3001)).empty());
  CHECK(registry.Expire(At(3001)) == std::vector{Announce("a", 80, 1)});
  CHECK(registry.Expire(At(3002)).empty());
}

struct BodyCase {
  const char* body;
  const char* field;  ///< empty if the body is valid
};

// Guards against announcements that are accepted with a field ignored.
TEST_CASE("endpoint announcements are decoded strictly", "[endpoint-registry]") {
  const auto test = GENERATE(values<BodyCase>({
      {R"({"service":"a","address":"127.0.0.1:80","slots":4,"incarnation":7})", ""},
      {R"({"service":"a","address":"127.0.0.1:80","slots":4,"incarnation":7,"leaving":true})", ""},
      {R"({"service":"","address":"127.0.0.1:80","slots":4,"incarnation":7})", "$.service"},
      {R"({"service":"a","address":"host:80","slots":4,"incarnation":7})", "$.address"},
      {R"({"service":"a","address":"127.0.0.1:80","slots":-1,"incarnation":7})", "$.slots"},
      {R"({"service":"a","address":"127.0.0.1:80","slots":1e3,"incarnation":7})", "$.slots"},
      {R"({"service":"a","address":"127.0.0.1:80","slots":4,"incarnation":0})", "$.incarnation"},
      {R"({"service":"a","address":"127.0.0.1:80","slots":4,"incarnation":7,"leaving":1})", "$.leaving"},
      {R"({"service":"a","address":"127.0.0.1:80","slots":4,"incarnation":7,"port":1})", "$.port"},
      {R"({"service":)", "$"},
      {R"([])", "$"},
  }));
  INFO(test.body);
  const Result<EndpointAnnouncement> decoded = DecodeEndpointAnnouncement(test.body);
  CHECK(decoded.has_value() == std::string(test.field).empty());
  if (!decoded) CHECK(decoded.error().field == test.field);
}

}  // namespace
}  // namespace berylgauge
