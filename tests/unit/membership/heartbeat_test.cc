#include "membership/heartbeat.h"

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "membership/message_limits.h"
#include "rapidcheck.h"
#include "rapidcheck/detail/Property.h"

namespace berylgauge {
namespace {

using nlohmann::json;

Heartbeat SampleHeartbeat() {
  return {.worker = WorkerId("limerick-yard-w07"),
          .rack = RackId("limerick-yard-r2"),
          .availability_zone = AvailabilityZoneId("limerick-yard"),
          .region = "ie-west",
          .incarnation = 0xf123456789abcdefULL,
          .sequence = 123456,
          .boot_id = "3f0c1e5a9b7d4c21",
          .address = "127.0.12.7:7300",
          .capacity = {.cpu_millis = 16000, .memory_mb = 60000, .slots = 8},
          .booked = {.cpu_millis = 4000, .memory_mb = 9000, .slots = 3},
          .reconciled = true,
          .endpoints = {{.service = ServiceId("dispatch"),
                         .address = "127.0.12.7:8080",
                         .incarnation = 77,
                         .slots = 8,
                         .outstanding = 3}},
          .config_version = 1812};
}

Heartbeat FullHeartbeat() {
  Heartbeat heartbeat = SampleHeartbeat();
  heartbeat.draining = true;
  heartbeat.leaving = true;
  heartbeat.endpoints.push_back({.service = ServiceId("pole-service"),
                                 .address = "[::1]:8081",
                                 .incarnation = 1ULL << 63U,
                                 .slots = 0,
                                 .leaving = true});
  heartbeat.running = {{.task = TaskId("j1/0"), .attempt = 1, .state = ReportedAttemptState::kStarting},
                       {.task = TaskId("j1/1"), .attempt = 4294967295U, .state = ReportedAttemptState::kRunning},
                       {.task = TaskId("j2/0"), .attempt = 3, .state = ReportedAttemptState::kStopping}};
  for (const auto& [outcome, name] : kReportedAttemptOutcomeNames.entries()) {
    heartbeat.ended.push_back({.task = TaskId("j3/" + std::string(name)),
                               .attempt = 2,
                               .agent_incarnation = 0xffffffffffffffffULL,
                               .outcome = outcome,
                               .checkpoint = "c-17",
                               .detail = "exit code 3"});
  }
  return heartbeat;
}

std::string ToBytes(const json& document) {
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

json ToDocument(const Heartbeat& heartbeat) {
  const Result<std::string> bytes = EncodeHeartbeat(heartbeat);
  REQUIRE(bytes.has_value());
  return json::from_cbor(*bytes);
}

// Guards against heartbeats that exceed the traffic allowed to each node: 8 entries, twice a second, 8 KB/s.
TEST_CASE("heartbeat without tasks stays near 300 bytes", "[heartbeat]") {
  const Result<std::string> bytes = EncodeHeartbeat(SampleHeartbeat());
  REQUIRE(bytes.has_value());
  INFO("encoded bytes: " << bytes->size());
  CHECK(bytes->size() <= 300);
  CHECK(DecodeHeartbeat(*bytes) == SampleHeartbeat());
}

// Guards against a field that is encoded but not decoded, or under the wrong key.
TEST_CASE("heartbeat with every field set survives encoding", "[heartbeat]") {
  const Result<std::string> bytes = EncodeHeartbeat(FullHeartbeat());
  REQUIRE(bytes.has_value());
  CHECK(DecodeHeartbeat(*bytes) == FullHeartbeat());
}

struct MalformedCase {
  const char* name;
  std::function<void(json&)> damage;
  const char* field;
};

// Guards against a malformed heartbeat that is taken for a valid one with a field ignored or replaced by a default.
TEST_CASE("heartbeat decoding refuses what the encoder never writes", "[heartbeat]") {
  const auto test = GENERATE(values<MalformedCase>({
      {"unknown key", [](json& d) { d["zz"] = 1; }, "$.zz"},
      {"worker missing", [](json& d) { d.erase("w"); }, "$.w"},
      {"worker empty", [](json& d) { d["w"] = ""; }, "$.w"},
      {"worker too long", [](json& d) { d["w"] = std::string(kMaxIdBytes + 1, 'x'); }, "$.w"},
      {"incarnation 0", [](json& d) { d["i"] = 0; }, "$.i"},
      {"incarnation text", [](json& d) { d["i"] = "7"; }, "$.i"},
      {"incarnation fraction", [](json& d) { d["i"] = 7.5; }, "$.i"},
      {"sequence 0", [](json& d) { d["q"] = 0; }, "$.q"},
      {"sequence negative", [](json& d) { d["q"] = -1; }, "$.q"},
      {"address without port", [](json& d) { d["a"] = "127.0.0.1"; }, "$.a"},
      {"address with a name", [](json& d) { d["a"] = "localhost:80"; }, "$.a"},
      {"address with port 0", [](json& d) { d["a"] = "127.0.0.1:0"; }, "$.a"},
      {"address with port 65536", [](json& d) { d["a"] = "127.0.0.1:65536"; }, "$.a"},
      {"capacity missing", [](json& d) { d.erase("c"); }, "$.c"},
      {"capacity negative", [](json& d) { d["c"]["c"] = -1; }, "$.c.c"},
      {"capacity unknown key", [](json& d) { d["c"]["x"] = 1; }, "$.c.x"},
      {"draining number", [](json& d) { d["d"] = 1; }, "$.d"},
      {"endpoints object", [](json& d) { d["e"] = json::object(); }, "$.e"},
      {"endpoint slots missing", [](json& d) { d["e"][0].erase("n"); }, "$.e[0].n"},
      {"endpoint slots negative", [](json& d) { d["e"][0]["n"] = -1; }, "$.e[0].n"},
      {"endpoint unknown key", [](json& d) { d["e"][0]["x"] = 1; }, "$.e[0].x"},
      {"too many endpoints", [](json& d) { d["e"] = json(kMaxReportedEndpoints + 1, d["e"][0]); }, "$.e"},
      {"attempt 0", [](json& d) { d["r"][0]["n"] = 0; }, "$.r[0].n"},
      {"attempt above 32 bits", [](json& d) { d["r"][0]["n"] = 4294967296; }, "$.r[0].n"},
      {"state unknown", [](json& d) { d["r"][0]["s"] = "paused"; }, "$.r[0].s"},
      {"outcome unknown", [](json& d) { d["x"][0]["o"] = "fine"; }, "$.x[0].o"},
      {"outcome missing", [](json& d) { d["x"][0].erase("o"); }, "$.x[0].o"},
      {"ended incarnation 0", [](json& d) { d["x"][0]["i"] = 0; }, "$.x[0].i"},
      {"detail too long", [](json& d) { d["x"][0]["d"] = std::string(kMaxDetailBytes + 1, 'x'); }, "$.x[0].d"},
      {"too many ended", [](json& d) { d["x"] = json(kMaxEndedAttempts + 1, d["x"][0]); }, "$.x"},
      {"version negative", [](json& d) { d["v"] = -1; }, "$.v"},
      {"not an object", [](json& d) { d = json::array(); }, "$"},
  }));
  INFO(test.name);
  json document = ToDocument(FullHeartbeat());
  test.damage(document);
  const Result<Heartbeat> decoded = DecodeHeartbeat(ToBytes(document));
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.error().code == FailureCode::kInvalidArgument);
  CHECK(decoded.error().field == test.field);
}

struct BytesCase {
  const char* name;
  std::string bytes;
};

// Guards against input that exhausts the stack or the memory of the CBOR parser, and against partial documents.
TEST_CASE("heartbeat decoding survives hostile bytes", "[heartbeat]") {
  const std::string valid = *EncodeHeartbeat(SampleHeartbeat());
  const auto test = GENERATE_COPY(values<BytesCase>({
      {"empty", ""},
      {"truncated", valid.substr(0, valid.size() - 1)},
      {"trailing byte", valid + std::string(1, '\0')},
      {"deep arrays", std::string(400'000, '\x81')},
      {"deep indefinite arrays", std::string(400'000, '\x9f')},
      {"deep maps", std::string(300'000, '\xa1')},
      {"array that claims 2^62 elements", std::string("\x9b\x40\0\0\0\0\0\0\0", 9)},
      {"map that claims 2^64-1 elements", std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 9)},
      {"text that claims 2^62 bytes", std::string("\x7b\x40\0\0\0\0\0\0\0", 9)},
      {"oversized", std::string(kMaxHeartbeatBytes + 1, '\xf6')},
  }));
  INFO(test.name);
  CHECK_FALSE(DecodeHeartbeat(test.bytes).has_value());
}

// Guards against a heartbeat that an entry would refuse: the agent must notice it first.
TEST_CASE("heartbeat encoding enforces the limits of decoding", "[heartbeat]") {
  Heartbeat heartbeat = FullHeartbeat();
  SECTION("more ended attempts than fit are left for later heartbeats") {
    const EndedAttemptReport attempt = heartbeat.ended.front();
    heartbeat.ended.assign(kMaxEndedAttempts + 5, attempt);
    for (std::size_t i = 0; i < heartbeat.ended.size(); ++i) {
      heartbeat.ended[i].attempt = static_cast<AttemptNumber>(i + 1);
    }
    const Result<Heartbeat> decoded = DecodeHeartbeat(*EncodeHeartbeat(heartbeat));
    REQUIRE(decoded.has_value());
    REQUIRE(decoded->ended.size() == kMaxEndedAttempts);
    CHECK(decoded->ended.back().attempt == kMaxEndedAttempts);
  }
  SECTION("long details are cut between characters") {
    heartbeat.ended.front().detail = std::string(kMaxDetailBytes - 1, 'x') + "\xc3\xa9";
    const Result<Heartbeat> decoded = DecodeHeartbeat(*EncodeHeartbeat(heartbeat));
    REQUIRE(decoded.has_value());
    CHECK(decoded->ended.front().detail == std::string(kMaxDetailBytes - 1, 'x'));
  }
  SECTION("running attempts are never left out, because a missing one would be taken for an ended one") {
    heartbeat.running.assign(kMaxRunningAttempts + 1, heartbeat.running.front());
    CHECK_FALSE(EncodeHeartbeat(heartbeat).has_value());
  }
  SECTION("an incarnation of 0 is refused") {
    heartbeat.incarnation = 0;
    CHECK_FALSE(EncodeHeartbeat(heartbeat).has_value());
  }
}

/// Broken: takes what it cannot read for a heartbeat without content.
Result<Heartbeat> DecodeLeniently(std::string_view bytes) {
  Result<Heartbeat> decoded = DecodeHeartbeat(bytes);
  return decoded ? decoded : Heartbeat{};
}

/// Changes a few bytes and compares the heartbeat that is decoded, if any, with what it encodes to.
template <Result<Heartbeat> (*Decode)(std::string_view)>
void CheckDamage() {
  static const std::string kValid = *EncodeHeartbeat(FullHeartbeat());
  std::string bytes = kValid;
  const auto changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  const Result<Heartbeat> decoded = Decode(bytes);
  if (!decoded) return;
  const Result<std::string> again = EncodeHeartbeat(*decoded);
  RC_ASSERT(again.has_value());
  RC_ASSERT(*DecodeHeartbeat(*again) == *decoded);
}

// Guards against a crash or an unfaithful decoding after any damage in transit.
TEST_CASE("damaged heartbeats are refused or decode to what they encode", "[heartbeat]") {
  CHECK(rc::check(CheckDamage<DecodeHeartbeat>));
}

TEST_CASE("the check of damaged heartbeats catches a lenient decoder", "[heartbeat]") {
  CHECK_FALSE(rc::detail::checkTestable(CheckDamage<DecodeLeniently>).is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace berylgauge
