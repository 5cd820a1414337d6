#include "base/event_log.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

struct QuotingCase {
  const char* value;
  const char* expected;
};

// Guards against log lines that a key=value parser would split at the wrong place.
TEST_CASE("event log quotes values that need it", "[event_log]") {
  const auto test = GENERATE(values<QuotingCase>({
      {"plain", "event=e k=plain"},
      {"", "event=e k=\"\""},
      {"two words", "event=e k=\"two words\""},
      {"a=b", "event=e k=\"a=b\""},
      {"say \"x\"", "event=e k=\"say \\\"x\\\"\""},
      {"line\nfeed", "event=e k=\"line\\nfeed\""},
      {"\x01", "event=e k=\"\\x01\""},
  }));
  CHECK(FormatEvent("e", {{"k", test.value}}) == test.expected);
}

}  // namespace
}  // namespace berylgauge
