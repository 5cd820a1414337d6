#include "workflow/lasting_shares.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace berylgauge::workflow {
namespace {

LastingStepState StateOf(const std::string& name, std::int64_t size, int at_work, const std::string& queue = "watch") {
  return {.name = name, .queue = queue, .size = size, .tasks = 10, .at_work = at_work};
}

struct SharesRow {
  const char* name;
  std::vector<LastingStepState> steps;
  double all;
  double largest_tenth;
  double next_fifth;
  double least;
  std::string least_step;
};

// Guards against figures that hide the steps that ask for most: their mean with all others looks healthy.
TEST_CASE("shares of lasting steps are told by size", "[lasting]") {
  const SharesRow row =
      GENERATE(SharesRow{"one step", {StateOf("a", 10, 5)}, 0.5, 0.5, 1, 0.5, "a"},
               SharesRow{"two steps", {StateOf("a", 10, 10), StateOf("b", 20, 2)}, 0.6, 0.2, 1, 0.2, "b"},
               SharesRow{"ten steps",
                         {StateOf("a", 100, 1), StateOf("b", 90, 2), StateOf("c", 80, 4), StateOf("d", 70, 10),
                          StateOf("e", 60, 10), StateOf("f", 50, 10), StateOf("g", 40, 10), StateOf("h", 30, 10),
                          StateOf("i", 20, 10), StateOf("j", 10, 10)},
                         0.77,
                         0.1,
                         0.3,
                         0.1,
                         "a"},
               SharesRow{"a small step is served worst",
                         {StateOf("a", 30, 8), StateOf("b", 20, 6), StateOf("c", 10, 0)},
                         1.4 / 3,
                         0.8,
                         0.6,
                         0,
                         "c"});
  INFO(row.name);
  const LastingShares shares = SharesByQueue(row.steps).at("watch");
  CHECK(shares.all == Approx(row.all));
  CHECK(shares.largest_tenth == Approx(row.largest_tenth));
  CHECK(shares.next_fifth == Approx(row.next_fifth));
  CHECK(shares.least == Approx(row.least));
  CHECK(shares.least_step == row.least_step);
}

TEST_CASE("shares of lasting steps are told by queue", "[lasting]") {
  const auto shares = SharesByQueue({StateOf("a", 10, 2, "watch"), StateOf("b", 10, 8, "board")});
  CHECK(shares.size() == 2);
  CHECK(shares.at("watch").all == Approx(0.2));
  CHECK(shares.at("board").all == Approx(0.8));
}

}  // namespace
}  // namespace berylgauge::workflow
