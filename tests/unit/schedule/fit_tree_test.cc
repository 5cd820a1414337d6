#include "schedule/fit_tree.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace berylgauge {
namespace {

constexpr auto kAcceptAll = [](std::size_t) { return true; };

// Guards against a search that misses a position because the amounts of a range come from different positions.
TEST_CASE("fit tree needs all amounts at one position", "[fit_tree]") {
  FitTree tree;
  tree.Set(0, {.cpu_millis = 10, .memory_mb = 1});
  tree.Set(1, {.cpu_millis = 1, .memory_mb = 10});
  CHECK(tree.MayFit({.cpu_millis = 10, .memory_mb = 10}));
  CHECK_FALSE(tree.FindFrom(0, {.cpu_millis = 10, .memory_mb = 10}, kAcceptAll).has_value());
  tree.Set(5, {.cpu_millis = 10, .memory_mb = 10});
  CHECK(tree.FindFrom(0, {.cpu_millis = 10, .memory_mb = 10}, kAcceptAll) == 5);
  tree.Clear(5);
  CHECK_FALSE(tree.FindFrom(0, {.cpu_millis = 10, .memory_mb = 10}, kAcceptAll).has_value());
}

// Guards against an empty position that is found by a task that needs nothing.
TEST_CASE("fit tree finds no position that was never set", "[fit_tree]") {
  FitTree tree;
  CHECK_FALSE(tree.FindFrom(0, {}, kAcceptAll).has_value());
  tree.Set(3, {});
  CHECK(tree.FindFrom(0, {}, kAcceptAll) == 3);
}

// Guards against a tree that differs from a scan, also after it has grown and with positions that are not accepted.
TEST_CASE("fit tree agrees with a scan", "[fit_tree][property]") {
  CHECK(rc::check("same position", [](const std::vector<std::uint32_t>& draws) {
    FitTree tree;
    tree.Set(0, {});
    std::map<std::size_t, Resources> free{{0, {}}};
    for (const std::uint32_t draw : draws) {
      const std::size_t position = draw % 37;
      const Resources amount{draw / 3 % 5, draw / 7 % 5, draw / 11 % 3, draw / 13 % 3};
      if (draw % 5 == 0) {
        tree.Clear(position);
        free.erase(position);
      } else {
        tree.Set(position, amount);
        free[position] = amount;
      }
      const Resources need{draw / 17 % 5, draw / 19 % 5, draw / 23 % 3, draw / 29 % 3};
      const std::size_t start = draw / 31 % tree.size();
      const auto accept = [&](std::size_t at) { return at % 7 != draw % 7; };
      std::optional<std::size_t> expected;
      for (std::size_t i = 0; i < tree.size() && !expected.has_value(); ++i) {
        const std::size_t at = (start + i) % tree.size();
        if (free.contains(at) && need.FitsIn(free[at]) && accept(at)) expected = at;
      }
      RC_ASSERT(tree.FindFrom(start, need, accept) == expected);
    }
  }));
}

}  // namespace
}  // namespace berylgauge
