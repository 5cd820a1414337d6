#include "base/log_budget.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "base/line_writer.h"

namespace berylgauge {
namespace {

// Guards against logs that grow with the load.
TEST_CASE("lines beyond the budget of a kind are omitted and counted", "[log]") {
  LogBudget budget(2);
  const MonotonicTime now(absl::Hours(1));
  CHECK(budget.Allow("start", now));
  CHECK(budget.Allow("start", now));
  CHECK(!budget.Allow("start", now));
  CHECK(!budget.Allow("start", now));
  CHECK(budget.Allow("stop", now));  // each kind has its own budget
  CHECK(budget.TakeOmitted(now).empty());
  const MonotonicTime later = now + absl::Seconds(1);
  CHECK(budget.Allow("start", later));
  const auto omitted = budget.TakeOmitted(later + absl::Seconds(1));
  REQUIRE(omitted.size() == 1);
  CHECK(omitted[0] == std::pair<std::string, std::uint64_t>("start", 2));
  CHECK(budget.TakeOmitted(later + absl::Seconds(1)).empty());
}

// Guards against a program that stands still because nobody reads its log.
TEST_CASE("a full pipe drops lines and does not block", "[log]") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  LineWriter writer(ends[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 200; ++i) writer.Write(line);
  const std::uint64_t dropped = writer.TakeDropped();
  CHECK(dropped > 0);
  CHECK(dropped < 200);
  CHECK(writer.TakeDropped() == 0);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace berylgauge
