#include "routing/request_key.h"

#include <catch2/catch.hpp>
#include <string>

namespace berylgauge {
namespace {

// Guards against two spellings of one id, under which a refused request could be admitted again.
TEST_CASE("request ids have exactly one spelling", "[request-key]") {
  const RequestKey key{.entry_incarnation = 0xabc, .number = 0x1f};
  REQUIRE(FormatRequestId(key).value() == "0000000000000abc-1f");
  CHECK(ParseRequestId(FormatRequestId(key)) == key);
  const auto* const text =
      GENERATE("", "-", "0000000000000abc-", "0000000000000abc-0", "0000000000000abc-01f", "0000000000000ABC-1f",
               "0000000000000000-1f", "0000000000000abc-1f ", "0000000000000abc1f", "00000000000000abc-1f",
               "0000000000000abc-10000000000000000", "0000000000000ab-1f0");
  CHECK_FALSE(ParseRequestId(RequestId(text)).has_value());
}

}  // namespace
}  // namespace berylgauge
