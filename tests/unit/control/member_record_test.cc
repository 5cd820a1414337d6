#include "control/member_record.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/cbor_document.h"
#include "control/agent_messages.h"

namespace berylgauge::control {
namespace {

using nlohmann::json;

struct MemberRow {
  const char* name;
  json document;
  bool valid;
};

// Guards against a member that cannot be reached, or another one that is used instead, because another writer left a
// record whose port does not fit into 16 bits or whose address is none.
TEST_CASE("a member record names a process that can be called", "[member]") {
  const std::string ip = "127.0.0.1";
  const MemberRow row =
      GENERATE_COPY(MemberRow{"lowest port", json::array({"agent", ip, 1}), true},
                    MemberRow{"highest port", json::array({"entry", ip, 65535}), true},
                    MemberRow{"port 0", json::array({"agent", ip, 0}), false},
                    MemberRow{"port -1", json::array({"agent", ip, -1}), false},
                    MemberRow{"port 65536", json::array({"agent", ip, 65536}), false},
                    MemberRow{"port 1e9", json::array({"agent", ip, 1'000'000'000}), false},
                    MemberRow{"port that is valid in its low 32 bits",
                              json::array({"agent", ip, (std::int64_t{1} << 32) + 80}), false},
                    MemberRow{"port beyond int64", json::array({"agent", ip, UINT64_MAX}), false},
                    MemberRow{"port 1e300", json::array({"agent", ip, 1e300}), false},
                    MemberRow{"port not a number", json::array({"agent", ip, NAN}), false},
                    MemberRow{"port as text", json::array({"agent", ip, "80"}), false},
                    MemberRow{"port as a truth value", json::array({"agent", ip, true}), false},
                    MemberRow{"no port", json::array({"agent", ip}), false},
                    MemberRow{"unknown kind", json::array({"worker", ip, 80}), false},
                    MemberRow{"no address", json::array({"agent", "", 80}), false},
                    MemberRow{"name instead of an address", json::array({"agent", "host.example", 80}), false},
                    MemberRow{"address that is not UTF-8", json::array({"agent", "\xff", 80}), false},
                    MemberRow{"huge address", json::array({"agent", std::string(100'000, '1'), 80}), false},
                    MemberRow{"object", json{{"agent", ip}}, false}, MemberRow{"null", json(), false},
                    MemberRow{"empty list", json::array(), false});
  INFO(row.name);
  CHECK(DecodeMember(ToCbor(row.document)).has_value() == row.valid);
}

struct MessageRow {
  const char* pointer;
  json value;
  bool valid = false;
};

// Guards against a worker whose runs or capacity are other ones than its agent wrote.
TEST_CASE("an answer to a watch with a value out of range is refused", "[messages]") {
  const MessageRow row = GENERATE(
      MessageRow{"/1/1/6/0", 16000, true}, MessageRow{"/1/1/6/0", -1}, MessageRow{"/1/1/6/0", 1e300},
      MessageRow{"/1/1/6/1", UINT64_MAX}, MessageRow{"/1/1/6/2", true}, MessageRow{"/1/1/2", 3},
      MessageRow{"/1/1/2", (std::int64_t{1} << 32)}, MessageRow{"/1/1/8", NAN}, MessageRow{"/1/1/1/1", 1e300},
      MessageRow{"/1/1/10/0/1", (std::int64_t{1} << 32) + 1}, MessageRow{"/1/1/10/0/1", -1},
      MessageRow{"/1/1/10/0/3", 1e300}, MessageRow{"/1/1/11/0/0", -1}, MessageRow{"/1/1/11/0/3", 6},
      MessageRow{"/1/1/11/0/2", (std::int64_t{1} << 32) + 1}, MessageRow{"/1/1/10", 7}, MessageRow{"/1/0", -1});
  CAPTURE(row.pointer, row.value.dump());
  WatchAnswer answer{.version = 1, .report = {.life = {.worker = "w1", .born = 5}}};
  answer.report.runs = {{.task = "a.0.0.0", .run = 1, .checkpoint = "", .percent = 50, .measured = 3}};
  answer.report.ends = {
      {.number = 1, .task = "a.0.0.1", .run = 1, .kind = workflow::RunEndKind::kDone, .checkpoint = ""}};
  const std::string bytes = EncodeWatchAnswer(answer);
  json document = ParseCborDocument(bytes, bytes.size()).value();
  document.at(json::json_pointer(row.pointer)) = row.value;
  CHECK(DecodeWatchAnswer(ToCbor(document)).has_value() == row.valid);
}

}  // namespace
}  // namespace berylgauge::control
