#include "base/doubling_delay.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

struct Row {
  int failures;
  int delay_ms;
};

TEST_CASE("a delay doubles with each failure up to the longest", "[delay]") {
  const Row row = GENERATE(Row{0, 50}, Row{1, 50}, Row{2, 100}, Row{4, 400}, Row{5, 500}, Row{1000, 500});
  CHECK(DoublingDelay(row.failures, absl::Milliseconds(50), absl::Milliseconds(500)) ==
        absl::Milliseconds(row.delay_ms));
}

}  // namespace
}  // namespace berylgauge
