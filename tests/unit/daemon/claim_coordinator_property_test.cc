#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "claims_model.h"

namespace berylgauge {
namespace {

/// Runs a random history and returns the first problem.
std::string RunHistory(const ClaimsModelFaults& faults, int* executions = nullptr, int* followers = nullptr) {
  ClaimsModel model(faults);
  const int steps = 40 + *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 400));
  for (int i = 0; i < steps && model.problems().empty(); ++i) model.Step();
  if (model.problems().empty()) model.Settle();
  if (executions != nullptr) *executions += model.executions();
  if (followers != nullptr) *followers += model.followers();
  return model.problems().empty() ? "" : model.problems().front();
}

// Guards against a request that runs twice, readers that disagree on who holds a key, requests without an answer, and
// keys that stay blocked though nothing ran.
TEST_CASE("claims keep their promises in histories of faults", "[daemon][claims][property]") {
  int executions = 0;
  int followers = 0;
  CHECK(rc::check("random history", [&] { RC_ASSERT(RunHistory({}, &executions, &followers) == ""); }));
  // Without these the histories would not have tried anything.
  CHECK(executions > 20);
  CHECK(followers > 20);
}

bool IsCaught(const ClaimsModelFaults& faults) {
  for (int run = 0; run < 20; ++run) {
    if (!rc::check("broken variant", [&] { RC_ASSERT(RunHistory(faults) == ""); })) return true;
  }
  return false;
}

// Guards against a property above that cannot fail.
TEST_CASE("the property catches broken claims", "[daemon][claims][property]") {
  CHECK(IsCaught({.restart_as_complete = true}));
  CHECK(IsCaught({.read_own_first = true}));
  CHECK(IsCaught({.drop_releases = true}));
}

}  // namespace
}  // namespace berylgauge
