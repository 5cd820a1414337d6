#include "base/json_document.h"

#include <catch2/catch.hpp>
#include <string>

namespace berylgauge {
namespace {

struct TextRow {
  const char* name;
  std::string text;
  bool valid;
};

std::string Nested(int depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Guards against a body of legal size that takes many times its size in memory, and against shallow bodies that are
// refused for what their texts contain.
TEST_CASE("JSON is read or refused by its depth", "[json]") {
  const TextRow row = GENERATE_COPY(
      TextRow{"deepest allowed", Nested(kMaxJsonDepth), true},
      TextRow{"one level more", Nested(kMaxJsonDepth + 1), false}, TextRow{"very deep", Nested(250'000), false},
      TextRow{"very deep without an end", std::string(500'000, '['), false},
      TextRow{"very deep objects", std::string(1000, '{'), false},
      TextRow{"many side by side", "[" + Nested(1) + std::string(100, ' ') + "," + Nested(2) + "]", true},
      TextRow{"brackets in a text", "\"" + std::string(100, '[') + "\"", true},
      TextRow{"brackets behind an escaped quote", R"(["\"[[[[[[[[[[[[[[[[[[[[[[["])", true},
      TextRow{"brackets behind an escaped backslash", R"(["\\",)" + Nested(kMaxJsonDepth) + "]", false},
      TextRow{"closes more than it opens", "]]]]", false}, TextRow{"text without an end", R"("[[[)", false},
      TextRow{"ends with an escape", R"("\)", false}, TextRow{"empty", "", false}, TextRow{"number", "7", true});
  INFO(row.name);
  CHECK(ParseJsonDocument(row.text).has_value() == row.valid);
}

}  // namespace
}  // namespace berylgauge
