#include "workflow/interference_model.h"

#include <catch2/catch.hpp>
#include <random>

namespace berylgauge::workflow {
namespace {

// Load pattern of both sites: the serving load swings by half its mean, and several filling images share a worker.
TEST_CASE("interference is learnt from half-second figures under a swinging load", "[interference]") {
  std::mt19937_64 random(20261204);  // Abseil's generators differ from process to process
  const auto draw = [&](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
  InterferenceModel model;
  for (int i = 0; i < 400; ++i) {
    const double heavy = draw(0.0, 1.8);
    const double light = draw(0.0, 5.4);
    const double swing = draw(0.5, 1.5);
    model.AddSample("web", 24 * swing + 90 * heavy + 0.5 * light, {{"heavy", heavy}, {"light", light}});
  }
  model.Refresh();
  CHECK(model.table().Get("web", "heavy") == Approx(90).margin(9));
  CHECK(model.table().Get("web", "light") == Approx(0.5).margin(2));
  CHECK(model.BaseOf("web") == Approx(24).margin(8));
}

TEST_CASE("pairs that were never seen together have the default", "[interference]") {
  InterferenceModel model;
  model.AddSample("web", 24, {{"seen", 1.0}});
  model.Refresh();
  CHECK(model.table().Get("web", "unseen") == InterferenceTable::kDefaultMsPerCore);
  CHECK(model.table().Get("other", "seen") == InterferenceTable::kDefaultMsPerCore);
}

// Guards against a negative coefficient, which would make a filling task look like a remedy.
TEST_CASE("coefficients are never negative", "[interference]") {
  InterferenceModel model;
  for (int i = 0; i < 50; ++i) model.AddSample("web", i % 2 == 0 ? 60 : 20, {{"x", i % 2 == 0 ? 0.0 : 2.0}});
  model.Refresh();
  CHECK(model.table().Get("web", "x") >= 0);
}

}  // namespace
}  // namespace berylgauge::workflow
