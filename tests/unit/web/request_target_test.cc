#include "web/request_target.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

struct TargetCase {
  std::string raw;
  std::string path;
  std::string query;
};

TEST_CASE("targets are split and decoded", "[web]") {
  const auto test = GENERATE(values<TargetCase>({
      {"/", "/", ""},
      {"/a/b", "/a/b", ""},
      {"/a%2Fb%2f", "/a/b/", ""},
      {"/a+b", "/a+b", ""},
      {"/%41%7e", "/A~", ""},
      {"/a?", "/a", ""},
      {"/a?b=%zz&c?d", "/a", "b=%zz&c?d"},
      {"/%25%34%31", "/%41", ""},
      {"/%3Fb", "/?b", ""},
      {"/...", "/...", ""},
      {"//a", "//a", ""},
      {"/\xc3\xa9", "/\xc3\xa9", ""},
  }));
  CAPTURE(test.raw);
  const Result<RequestTarget> target = RequestTarget::Parse(test.raw);
  REQUIRE(target.has_value());
  CHECK(target->path == test.path);
  CHECK(target->query == test.query);
}

// Guards against paths that endpoints, logs or C strings read differently from the router.
TEST_CASE("ambiguous targets are refused", "[web]") {
  const auto raw =
      GENERATE(values<std::string>({"",       "*",    "a",   "http://a/", "/a b", "/a\t",      std::string("/a\0", 3),
                                    "/\x7f",  "/%",   "/%4", "/%4g",      "/a%",  "/%00",      "/%0a",
                                    "/%7F",   "/..",  "/.",  "/a/../b",   "/a/.", "/%2e%2e/a", "/a%2f..%2fb",
                                    "/a?b c", "/a?\n"}));
  CAPTURE(raw);
  const Result<RequestTarget> target = RequestTarget::Parse(raw);
  REQUIRE_FALSE(target.has_value());
  CHECK(target.error().field == "url");
  CHECK(target.error().verdict == Verdict::kNotRun);
}

TEST_CASE("decoding reverses encoding", "[web]") {
  CHECK(rc::check([](const std::string& text) {
    std::string raw = "/x";
    std::string expected = "/x";
    for (const char c : text) {
      const auto byte = static_cast<unsigned char>(c);
      if (byte < 0x20 || byte == 0x7f || c == '/') continue;
      constexpr char kDigits[] = "0123456789aBcDeF";
      raw += {'%', kDigits[byte / 16], kDigits[byte % 16]};
      expected += c;
    }
    const Result<RequestTarget> target = RequestTarget::Parse(raw);
    RC_ASSERT(target.has_value());
    RC_ASSERT(target->path == expected);
  }));
}

}  // namespace
}  // namespace berylgauge
