#include "base/json_object_reader.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

struct ReadCase {
  const char* document;
  std::vector<std::string> paths;  ///< of the expected errors
};

// Guards against documents that are accepted with a key ignored, and against reports that stop at the first error.
TEST_CASE("object reader reports every error with its path", "[json]") {
  const auto test = GENERATE(values<ReadCase>({
      {R"({"name":"a","count":3})", {}},
      {R"({"count":3})", {"$.name"}},
      {R"({"name":7,"count":"x"})", {"$.name", "$.count"}},
      {R"({"name":"","count":11})", {"$.name", "$.count"}},
      {R"({"name":"a","count":18446744073709551615})", {"$.count"}},
      {R"({"name":"a","count":3,"typo":1})", {"$.typo"}},
      {R"({"name":"a","count":3,"inner":{"x":1,"y":2}})", {"$.inner.y"}},
      {R"({"name":"a","count":3,"inner":[]})", {"$.inner"}},
      {R"([])", {"$", "$.name", "$.count"}},
  }));
  JsonErrors errors;
  const nlohmann::json document = nlohmann::json::parse(test.document);
  JsonObjectReader reader(document, "$", errors);
  reader.String("name");
  reader.Integer("count", {.min = 1, .max = 10});
  JsonObjectReader inner = reader.Object("inner", false);
  inner.Integer("x", {.default_value = 0});
  inner.Finish();
  reader.Finish();
  std::vector<std::string> paths;
  for (const JsonError& error : errors.errors()) paths.push_back(error.path);
  CHECK(paths == test.paths);
}

}  // namespace
}  // namespace berylgauge
