#include "workflow/idle_cpu_model.h"

#include <catch2/catch.hpp>

namespace berylgauge::workflow {
namespace {

MonotonicTime At(double seconds) { return MonotonicTime(absl::Hours(1)) + absl::Seconds(seconds); }

struct UsageRow {
  const char* name;
  double first;  ///< value that alternates with the second one, a second apart
  double second;
  bool are_bounds;
  double least;  ///< learned share after 30 s
  double most;
};

TEST_CASE("the CPU that serving tasks use is learned with its spread", "[idle-cpu]") {
  const UsageRow row = GENERATE(UsageRow{"steady and low", 0.3, 0.3, false, 0.30, 0.33},   //
                                UsageRow{"steady and high", 0.8, 0.8, false, 0.76, 0.80},  //
                                UsageRow{"a spread counts in part", 0.3, 0.7, false, 0.58, 0.62},
                                UsageRow{"a low bound lowers the estimate", 0.3, 0.3, true, 0.30, 0.40},
                                UsageRow{"a high bound tells nothing", 0.9, 1.4, true, 0.5, 0.5},
                                UsageRow{"impossible values are cut", 1.5, 1.5, false, 0.90, 1.0});
  INFO(row.name);
  IdleCpuModel model;
  CHECK(model.ServingShare(0.5) == 0.5);
  for (int second = 0; second < 30; ++second) {
    const double value = second % 2 == 0 ? row.first : row.second;
    row.are_bounds ? model.AddUpperBound(value, 0.5, At(second)) : model.AddShare(value, At(second));
  }
  CHECK(model.ServingShare(0.5) >= row.least);
  CHECK(model.ServingShare(0.5) <= row.most);
  // Guards against a figure of a former load that holds for good where no filler task runs any more.
  model.Decay(At(400));
  CHECK(model.ServingShare(0.5) == Approx(0.5).margin(0.01));
}

// Guards against one list that is reported many times and outweighs all former figures.
TEST_CASE("a value that is reported again at once counts once", "[idle-cpu]") {
  IdleCpuModel model;
  model.AddShare(0.9, At(0));
  const double once = model.ServingShare(0.5);
  for (int i = 0; i < 100; ++i) model.AddShare(0.9, At(0));
  CHECK(model.ServingShare(0.5) == once);
}

}  // namespace
}  // namespace berylgauge::workflow
