#include "state/decimal_text.h"

#include <catch2/catch.hpp>

#include "base/json_object_reader.h"

namespace berylgauge {
namespace {

struct DecimalCase {
  const char* document;
  std::uint64_t value;
  bool is_valid;
};

// Guards against a malformed incarnation that is read as another number, which would make two processes look like one.
TEST_CASE("only whole unsigned decimal numbers are read", "[state]") {
  const auto test = GENERATE(values<DecimalCase>({
      {R"({"n":"0"})", 0, true},
      {R"({"n":"18446744073709551615"})", UINT64_MAX, true},
      {R"({"n":"18446744073709551616"})", 0, false},
      {R"({"n":"12abc"})", 0, false},
      {R"({"n":"-1"})", 0, false},
      {R"({"n":" 1"})", 0, false},
      {R"({"n":""})", 0, false},
      {R"({"n":7})", 0, false},
      {R"({})", 0, false},
  }));
  CAPTURE(test.document);
  JsonErrors errors;
  const nlohmann::json document = nlohmann::json::parse(test.document);
  JsonObjectReader reader(document, "$", errors);
  CHECK(ReadDecimalText(reader, "n") == test.value);
  CHECK(errors.empty() == test.is_valid);
}

}  // namespace
}  // namespace berylgauge
