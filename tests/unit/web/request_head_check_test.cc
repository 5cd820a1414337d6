#include "web/request_head_check.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

struct LinesCase {
  std::string lines;                                         ///< '|' stands for NUL
  std::vector<std::pair<std::size_t, std::size_t>> headers;  ///< sizes of names and values, found in this order
  bool is_strict;
};

// Guards against memory in which the library found line ends other than CR LF.
TEST_CASE("line ends other than CR LF are recognised", "[web]") {
  const auto test = GENERATE(values<LinesCase>({
      {"||||", {}, true},
      {"||", {}, false},
      {"|||", {}, false},
      {"|||||", {}, false},
      {"", {}, false},
      {"||a| b||||", {{1, 1}}, true},
      {"||a|b||||", {{1, 1}}, true},
      {"||a| b \t||||", {{1, 1}}, true},
      {"||a|||||", {{1, 0}}, true},
      {"||a| b||cd|e||||", {{1, 1}, {2, 1}}, true},
      {"||a| b|cd|e||||", {{1, 1}, {2, 1}}, false},
      {"|a| b||||", {{1, 1}}, false},
      {"||a| b|||", {{1, 1}}, false},
      {"||a| b|x||||", {{1, 1}}, false},
      {"||a| b||x|y||||", {{1, 1}}, false},
      {"||a| b||||", {}, false},
      {"||a: b||||", {{1, 1}}, false},
  }));
  CAPTURE(test.lines);
  std::string memory = test.lines;
  for (char& c : memory) {
    if (c == '|') c = '\0';
  }
  std::vector<RawHeader> headers;
  std::size_t at = 0;
  for (const auto& [name_size, value_size] : test.headers) {
    const auto next_text = [&](std::size_t size) {
      while (at < memory.size() && (memory[at] == '\0' || memory[at] == ' ' || memory[at] == ':')) ++at;
      if (size == 0) at = 4;
      const std::string_view text = std::string_view(memory).substr(at, size);
      at += size;
      return text;
    };
    const std::string_view name = next_text(name_size);
    headers.push_back({.name = name, .value = next_text(value_size)});
  }
  CHECK(HasStrictLineEnds(memory, headers) == test.is_strict);
}

// Guards against a header that the library moved elsewhere because it continues on a second line.
TEST_CASE("a header outside the memory of the lines is recognised", "[web]") {
  const std::string memory("\0\0a\0b\0\0\0\0", 9);
  const std::string elsewhere = "a";
  const std::string_view inside(memory);
  CHECK(HasStrictLineEnds(memory, {{.name = inside.substr(2, 1), .value = inside.substr(4, 1)}}));
  CHECK_FALSE(HasStrictLineEnds(memory, {{.name = elsewhere, .value = inside.substr(4, 1)}}));
}

}  // namespace
}  // namespace berylgauge
