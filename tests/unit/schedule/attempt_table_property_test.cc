#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>

#include "agent_model.h"

namespace berylgauge::testing {
namespace {

constexpr std::size_t kStepsPerRun = 200;

rc::Gen<std::vector<Step>> Steps() {
  const auto step = rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<std::uint32_t>(0, 100'000), rc::gen::inRange<std::uint32_t>(0, 1u << 30),
                     rc::gen::inRange<std::uint32_t>(0, 1u << 30)),
      [](const auto& draws) { return MakeStep(std::get<0>(draws), std::get<1>(draws), std::get<2>(draws)); });
  return rc::gen::container<std::vector<Step>>(kStepsPerRun, step);
}

/// Runs the steps and returns the first violation.
std::string RunAll(AgentModel& model, const std::vector<Step>& steps) {
  for (const Step& step : steps) {
    if (const auto violation = model.Run(step)) return *violation;
  }
  return model.Settle().value_or("");
}

// Guards against every way in which an interleaving of commands, lost and late results, restarts and configuration
// changes could exceed the capacity, run an attempt twice or start it without a proof.
TEST_CASE("attempt table keeps its guarantees under arbitrary interleavings", "[attempt_table][property]") {
  CHECK(rc::check("no violation", [] {
    AgentModel model(AgentFault::kNone);
    const auto steps = *Steps();
    const std::string violation = RunAll(model, steps);
    if (!violation.empty()) RC_FAIL(violation);
    RC_SUCCEED();
  }));
}

// Guards against a generator that never gets far enough to test anything: most runs must start and refuse attempts.
TEST_CASE("the interleavings start and refuse attempts", "[attempt_table][property]") {
  std::mt19937_64 random(20261204);
  std::size_t started = 0;
  std::size_t refused = 0;
  constexpr std::size_t kRuns = 400;
  for (std::size_t run = 0; run < kRuns; ++run) {
    AgentModel model(AgentFault::kNone);
    const std::string violation = RunAll(model, RandomSteps(random, kStepsPerRun));
    INFO("run " << run);
    REQUIRE(violation.empty());
    started += model.started_count();
    refused += model.refused_count();
  }
  CHECK(started > kRuns * 2);
  CHECK(refused > kRuns * 2);
}

struct FaultCase {
  const char* name;
  AgentFault fault;
  const char* violation;
};

// Guards against checks that pass whatever the agent does: each deliberately broken agent must be caught, by the check
// that is meant for it.
TEST_CASE("the checks catch broken agents", "[attempt_table][property]") {
  const auto test = GENERATE(values<FaultCase>({
      {"skips the ledger", AgentFault::kSkipsLedger, "admitted more than the capacity minus the reserve"},
      {"forgets tombstones", AgentFault::kForgetsTombstones, "started an attempt that was answered as not run"},
      {"forgets ended attempts", AgentFault::kForgetsTombstones, "started an attempt that had ended"},
      {"ignores the age of proofs", AgentFault::kIgnoresProofAge, "started without a fresh proof"},
      {"ignores drains", AgentFault::kIgnoresDrain, "started on a worker that was taken out of service before"},
      {"repeats a start", AgentFault::kRepeatsStart, "passed an attempt to the worker twice"},
      {"ignores the incarnation", AgentFault::kIgnoresIncarnation, "admitted a command for another incarnation"},
      {"ignores the grace", AgentFault::kIgnoresGrace, "renewed beyond the outage grace"},
      {"trusts the first report", AgentFault::kIgnoresSettling, "admitted more than the capacity minus the reserve"},
      {"is hasty", AgentFault::kHastyLoss, "an attempt runs that was reported as ended"},
      {"drops ended attempts", AgentFault::kDropsEnded, "no longer reported before it was acknowledged"},
      {"ignores excess", AgentFault::kIgnoresExcess, "keeps more than the capacity after taking commands"},
      {"ignores results", AgentFault::kIgnoresResults, "stuck in state starting"},
      {"skips renewals", AgentFault::kSkipsRenewals, "a lease expired although nothing failed"},
  }));
  INFO(test.name);
  std::mt19937_64 random(20261204);
  constexpr int kMaxRuns = 5'000;
  int runs = 0;
  bool caught = false;
  std::set<std::string> seen;
  while (!caught && runs < kMaxRuns) {
    ++runs;
    AgentModel model(test.fault);
    for (const Step& step : RandomSteps(random, kStepsPerRun)) model.Run(step);
    model.Settle();
    caught = model.violations().contains(test.violation);
    seen.insert(model.violations().begin(), model.violations().end());
  }
  std::string all;
  for (const std::string& violation : seen) all += violation + "; ";
  INFO("seen: " << all);
  CHECK(caught);
}

}  // namespace
}  // namespace berylgauge::testing
