#include "membership/heartbeat_reply.h"

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

namespace berylgauge {
namespace {

using nlohmann::json;

HeartbeatReply SampleReply() {
  return {.entry = EntryId("entry-2"),
          .entry_incarnation = 0x8000000000000001ULL,
          .config_version = 12,
          .offset = 40,
          .proof_age = absl::Milliseconds(37),
          .availability_zone_admission = AvailabilityZoneAdmission::kDraining,
          .worker_admission = WorkerAdmission::kRevoked,
          .acknowledged = {{.task = TaskId("j1/0"), .attempt = 2}},
          .entries = {"127.0.0.2:7200", "[::1]:7200"}};
}

// Guards against a proof, a revocation or an acknowledgement that is lost in transit.
TEST_CASE("heartbeat reply survives encoding", "[heartbeat]") {
  HeartbeatReply reply = SampleReply();
  SECTION("full") {}
  SECTION("without a proof") { reply.proof_age.reset(); }
  SECTION("proof of age 0") { reply.proof_age = absl::ZeroDuration(); }
  SECTION("before the first record") { reply.offset = kNoOffset; }
  SECTION("nothing to acknowledge") { reply.acknowledged.clear(); }
  const Result<std::string> bytes = EncodeHeartbeatReply(reply);
  REQUIRE(bytes.has_value());
  CHECK(DecodeHeartbeatReply(*bytes) == reply);
}

// Guards against a proof that looks younger at the agent than it is at the entry.
TEST_CASE("proof age is rounded up to milliseconds", "[heartbeat]") {
  HeartbeatReply reply = SampleReply();
  reply.proof_age = absl::Microseconds(1999'001);
  CHECK(DecodeHeartbeatReply(*EncodeHeartbeatReply(reply))->proof_age == absl::Milliseconds(2000));
}

struct MalformedCase {
  const char* name;
  std::function<void(json&)> damage;
  const char* field;
};

// Guards against a damaged reply that permits what the entry did not permit.
TEST_CASE("heartbeat reply decoding is strict", "[heartbeat]") {
  const auto test = GENERATE(values<MalformedCase>({
      {"unknown key", [](json& d) { d["zz"] = 1; }, "$.zz"},
      {"worker admission missing", [](json& d) { d.erase("w"); }, "$.w"},
      {"worker admission unknown", [](json& d) { d["w"] = "ok"; }, "$.w"},
      {"zone admission missing", [](json& d) { d.erase("z"); }, "$.z"},
      {"zone admission of a worker", [](json& d) { d["z"] = "revoked"; }, "$.z"},
      {"negative proof age", [](json& d) { d["p"] = -1; }, "$.p"},
      {"null proof age", [](json& d) { d["p"] = nullptr; }, "$.p"},
      {"offset below -1", [](json& d) { d["o"] = -2; }, "$.o"},
      {"entry incarnation 0", [](json& d) { d["i"] = 0; }, "$.i"},
      {"acknowledged attempt 0", [](json& d) { d["x"][0]["n"] = 0; }, "$.x[0].n"},
      {"entry address without port", [](json& d) { d["n"][0] = "127.0.0.2"; }, "$.n"},
  }));
  INFO(test.name);
  json document = json::from_cbor(*EncodeHeartbeatReply(SampleReply()));
  test.damage(document);
  std::string bytes;
  json::to_cbor(document, bytes);
  const Result<HeartbeatReply> decoded = DecodeHeartbeatReply(bytes);
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().field == test.field);
}

}  // namespace
}  // namespace berylgauge
