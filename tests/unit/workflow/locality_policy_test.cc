#include "workflow/locality_policy.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "workflow/locality_history.h"

namespace berylgauge::workflow {
namespace {

constexpr MonotonicTime kNow(absl::Hours(1));

struct DecisionRow {
  const char* name;
  std::optional<double> near_speed;
  std::optional<double> far_speed;
  int capacity_in_ms;  ///< from now; negative for never
  double success_rate;
  int waited_ms;        ///< negative if the task has not waited yet
  int wait_ends_in_ms;  ///< of such a wait
  int limit_in_ms;      ///< negative for none
  LocalityChoice choice;
  LocalityReason reason;
  int until_in_ms;  ///< of a wait
};

constexpr auto kNear = LocalityChoice::kNear;
constexpr auto kFar = LocalityChoice::kFar;
constexpr auto kWait = LocalityChoice::kWait;

// The load: tasks of 2 s that take 4 s away from their data. Guards against tasks that take a far worker just before a
// near one becomes free, and against waits that cost more than they save.
TEST_CASE("a task waits for near capacity only if that completes it earlier", "[locality]") {
  const DecisionRow row = GENERATE(
      DecisionRow{"near is free", 1.0, 1.0, 100, 1, -1, 0, -1, kNear, LocalityReason::kNearFree, 0},
      DecisionRow{"only near is free, and slow", 0.1, {}, 100, 1, -1, 0, -1, kNear, LocalityReason::kNearFree, 0},
      DecisionRow{"near is slow, but faster than far", 0.6, 1.0, 1, 1, -1, 0, -1, kNear, LocalityReason::kNearFree, 0},
      DecisionRow{"near is slower than far", 0.4, 1.0, -1, 1, -1, 0, -1, kFar, LocalityReason::kNearSlower, 0},
      DecisionRow{"near is slow, and a better one is due", 0.4, 1.0, 400, 1, -1, 0, -1, kWait,
                  LocalityReason::kCapacityDue, 600},
      DecisionRow{"due soon", {}, 1.0, 1000, 1, -1, 0, -1, kWait, LocalityReason::kCapacityDue, 1500},
      DecisionRow{"due when the gain is used up", {}, 1.0, 2000, 1, -1, 0, -1, kFar, LocalityReason::kNotWorthwhile, 0},
      DecisionRow{"due later", {}, 1.0, 2001, 1, -1, 0, -1, kFar, LocalityReason::kBeyondBound, 0},
      DecisionRow{"far is slow", {}, 0.5, 1900, 1, -1, 0, -1, kWait, LocalityReason::kCapacityDue, 2000},
      DecisionRow{"not expected", {}, 1.0, -1, 1, -1, 0, -1, kFar, LocalityReason::kNoCapacity, 0},
      DecisionRow{"expected now, but not usable", {}, 1.0, 0, 1, -1, 0, -1, kFar, LocalityReason::kNoCapacity, 0},
      DecisionRow{"few waits succeed", {}, 1.0, 1000, 0.4, -1, 0, -1, kFar, LocalityReason::kNotWorthwhile, 0},
      DecisionRow{
          "few waits succeed, but it is due", {}, 1.0, 300, 0.4, -1, 0, -1, kWait, LocalityReason::kCapacityDue, 450},
      DecisionRow{"the job must run before", {}, 1.0, 1000, 1, -1, 0, 900, kFar, LocalityReason::kBeyondBound, 0},
      DecisionRow{"the job must run soon", {}, 1.0, 1000, 1, -1, 0, 1200, kWait, LocalityReason::kCapacityDue, 1200},
      DecisionRow{"the job must run now", {}, 1.0, 100, 1, 500, 400, 0, kFar, LocalityReason::kBoundReached, 0},
      DecisionRow{"waits on, until the time as decided first",
                  {},
                  1.0,
                  700,
                  1,
                  500,
                  400,
                  -1,
                  kWait,
                  LocalityReason::kCapacityDue,
                  400},
      DecisionRow{"the wait is over", {}, 1.0, 100, 1, 1500, 0, -1, kFar, LocalityReason::kCapacityOverdue, 0},
      DecisionRow{"near became free during the wait", 1.0, 1.0, 100, 1, 500, 400, -1, kNear, LocalityReason::kNearFree,
                  0},
      DecisionRow{
          "the worker was lost during the wait", {}, 1.0, -1, 1, 500, 400, -1, kFar, LocalityReason::kNoCapacity, 0},
      DecisionRow{"nothing is free", {}, {}, 100, 1, 500, 400, -1, LocalityChoice::kNone, LocalityReason::kNoRoom, 0});
  INFO(row.name);
  const LocalityPolicy policy({.far_x = 2, .wait_margin = 0.5});
  LocalityQuery query = {.run_time = absl::Seconds(2),
                         .near_speed = row.near_speed,
                         .far_speed = row.far_speed,
                         .success_rate = row.success_rate,
                         .waited = absl::Milliseconds(std::max(row.waited_ms, 0))};
  if (row.capacity_in_ms >= 0) query.capacity_at = kNow + absl::Milliseconds(row.capacity_in_ms);
  if (row.waited_ms >= 0) query.wait_until = kNow + absl::Milliseconds(row.wait_ends_in_ms);
  if (row.limit_in_ms >= 0) query.wait_limit = kNow + absl::Milliseconds(row.limit_in_ms);
  const LocalityDecision decision = policy.Decide(query, kNow);
  CHECK(kLocalityChoiceNames.NameOf(decision.choice) == kLocalityChoiceNames.NameOf(row.choice));
  CHECK(kLocalityReasonNames.NameOf(decision.reason) == kLocalityReasonNames.NameOf(row.reason));
  if (row.choice == kWait) CHECK(decision.wait_until == kNow + absl::Milliseconds(row.until_in_ms));
}

// Guards against a wait that is extended again and again by estimates that move on, and against one without a gain.
TEST_CASE("the total wait stays within its bounds whatever is expected", "[locality]") {
  const bool ok = rc::check([] {
    const double far_x = *rc::gen::inRange(100, 400) / 100.0;
    const LocalityPolicy policy({.far_x = far_x});
    LocalityQuery query = {.run_time = absl::Milliseconds(*rc::gen::inRange(0, 5000))};
    query.wait_limit = kNow + absl::Milliseconds(*rc::gen::inRange(0, 3000));
    const MonotonicTime bound = std::min(query.wait_limit, kNow + policy.LongestWait(query.run_time));
    MonotonicTime now = kNow;
    std::optional<MonotonicTime> first_until;
    for (int i = 0; i < 20; ++i) {
      query.far_speed = *rc::gen::inRange(10, 101) / 100.0;
      query.success_rate = *rc::gen::inRange(0, 101) / 100.0;
      query.capacity_at = now + absl::Milliseconds(*rc::gen::inRange(-100, 6000));
      query.waited = now - kNow;
      const LocalityDecision decision = policy.Decide(query, now);
      RC_ASSERT(decision.choice == LocalityChoice::kFar || decision.choice == LocalityChoice::kWait);
      if (decision.choice == LocalityChoice::kFar) return;
      RC_ASSERT(decision.wait_until > now);
      RC_ASSERT(decision.wait_until <= bound);
      if (!first_until) first_until = decision.wait_until;
      RC_ASSERT(decision.wait_until <= *first_until);
      RC_ASSERT(query.capacity_at + query.run_time < now + query.run_time * (far_x / *query.far_speed));
      query.wait_until = *first_until;
      now = now + absl::Milliseconds(*rc::gen::inRange(0, 2000));
    }
  });
  CHECK(ok);
}

// Guards against a rack that is given up for good after a busy moment, or that all jobs go on waiting for.
TEST_CASE("waits without success lower the success rate of their rack for a while", "[locality]") {
  LocalityHistory history;
  const double before = history.SuccessRate("r1-1", kNow);
  for (int i = 0; i < 20; ++i) history.Record("r1-1", false, kNow);
  CHECK(history.SuccessRate("r1-1", kNow) < 0.2);
  CHECK(history.SuccessRate("r1-2", kNow) == before);
  CHECK(history.SuccessRate("r1-1", kNow + absl::Minutes(2)) > 0.8);
  for (int i = 0; i < 40; ++i) history.Record("r1-1", true, kNow);
  CHECK(history.SuccessRate("r1-1", kNow) > 0.6);
}

}  // namespace
}  // namespace berylgauge::workflow
