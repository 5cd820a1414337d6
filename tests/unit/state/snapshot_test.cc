#include "state/snapshot.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

nlohmann::json LargeState(int seed) { return {{"seed", seed}, {"text", std::string(600'000, 'x')}}; }

// Guards against readers that take an incomplete snapshot, or the older of two, for the state.
TEST_CASE("the complete snapshot that covers most is used", "[snapshot]") {
  const auto older = EncodeSnapshot("a", 10, LargeState(1));
  const auto newer = EncodeSnapshot("b", 20, LargeState(2));
  const auto incomplete = EncodeSnapshot("c", 30, LargeState(3));
  REQUIRE(newer.size() == 3);
  SnapshotAssembler assembler;
  for (std::size_t i = 0; i < newer.size(); ++i) {
    REQUIRE(assembler.Add(newer[i]).has_value());
    REQUIRE(assembler.Add(older[i]).has_value());
    if (i > 0) REQUIRE(assembler.Add(incomplete[i]).has_value());
  }
  REQUIRE(assembler.state().has_value());
  CHECK((*assembler.state())["seed"] == 2);
  CHECK(assembler.covers() == 20);
}

// Guards against garbage in the stream that would be folded as state.
TEST_CASE("malformed snapshot parts are refused", "[snapshot]") {
  const auto payload = GENERATE(values<std::string>({"", "garbage", std::string(1, '\xa0')}));
  SnapshotAssembler assembler;
  CHECK(!assembler.Add(payload).has_value());
  CHECK(!assembler.state().has_value());
}

}  // namespace
}  // namespace berylgauge
