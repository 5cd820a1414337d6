#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "interleaving_world.h"

namespace berylgauge::workflow {
namespace {

constexpr int kSteps = 600;  // a minute
constexpr std::uint64_t kSeeds = 150;
/// Some faults show in 1 world of 100, and which world depends on the order of hash tables.
constexpr std::uint64_t kSeedsWithBreakage = 1500;

// Guards against runs of one task at two workers, starts after an end that was taken note of, starts before the step
// before is done, work over a worker's capacity, and jobs that are never finished, under any interleaving of faults.
TEST_CASE("the scheduler keeps its promises in arbitrary interleavings", "[interleaving]") {
  int runs_done = 0;
  int takeovers = 0;
  int hidden_owners = 0;
  int late_starts = 0;
  int repeated_starts = 0;
  int strayed_starts = 0;
  int revived_runs = 0;
  int cut_lists = 0;
  int past_ends = 0;
  int late_lists = 0;
  int single_gang_ends = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    InterleavingWorld world(seed, WorldFaults::kMixed, Breakage::kNone);
    for (int i = 0; i < kSteps; ++i) world.Step();
    world.Heal();
    INFO("seed " << seed << ": " << (world.violations().empty() ? std::string() : world.violations().front()));
    CHECK(world.violations().empty());
    runs_done += world.runs_done();
    takeovers += world.takeovers();
    hidden_owners += world.hidden_owners();
    late_starts += world.late_starts();
    repeated_starts += world.repeated_starts();
    strayed_starts += world.strayed_starts();
    revived_runs += world.revived_runs();
    cut_lists += world.cut_lists();
    past_ends += world.past_ends();
    late_lists += world.late_lists();
    single_gang_ends += world.single_gang_ends();
  }
  // Otherwise the faults would not have been met.
  CHECK(runs_done > 1000);
  CHECK(takeovers > 1000);
  CHECK(hidden_owners > 100);
  CHECK(late_starts > 100);
  CHECK(repeated_starts > 100);
  CHECK(strayed_starts > 100);
  CHECK(revived_runs > 30);
  CHECK(cut_lists > 100);
  CHECK(past_ends > 30);
  CHECK(late_lists > 30);
  CHECK(single_gang_ends > 100);
}

// Guards against a second run of a task whose worker started again, was cut off and kept its runs by a lease of its
// former life, or began them late, while the owner that knew of that was lost (issue 46).
TEST_CASE("no task runs twice while workers start again and are cut off", "[interleaving]") {
  int strayed_starts = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    InterleavingWorld world(seed, WorldFaults::kRestartsAndCuts, Breakage::kNone);
    for (int i = 0; i < kSteps; ++i) world.Step();
    world.Heal();
    INFO("seed " << seed << ": " << (world.violations().empty() ? std::string() : world.violations().front()));
    CHECK(world.violations().empty());
    strayed_starts += world.strayed_starts();
  }
  CHECK(strayed_starts > 30);
}

struct BreakageRow {
  const char* name;
  Breakage breakage;
  /// Beginning of a violation that is looked for after the faults; otherwise any during them counts.
  std::string_view after_faults = {};
  WorldFaults faults = WorldFaults::kMixed;
};

// Guards against checks that cannot fail.
TEST_CASE("what is broken on purpose is noticed", "[interleaving]") {
  const BreakageRow row = GENERATE(
      BreakageRow{"ends are acknowledged before their record is durable", Breakage::kAcknowledgeBeforeDurable},
      BreakageRow{"starts are sent before their placement is durable", Breakage::kStartBeforeDurable},
      BreakageRow{"a new owner does not wait for the former one's leases", Breakage::kNoWaitForFormerOwner},
      BreakageRow{"a start without answer counts as refused", Breakage::kRefusalIsFinal},
      BreakageRow{"leases are taken for shorter than they are", Breakage::kLeaseTooShort},
      BreakageRow{"an unknown worker counts as another life", Breakage::kUnknownIsOtherLife},
      BreakageRow{"tokens do not tell lives apart", Breakage::kTokenOfOwnerOnly, {}, WorldFaults::kRestartsAndCuts},
      BreakageRow{"ends are acknowledged with numbers of a former life", Breakage::kAcknowledgeFormerLife},
      BreakageRow{"orders go to a life that has answered nothing",
                  Breakage::kOrdersBeforeFirstList,
                  {},
                  WorldFaults::kRestartsAndCuts},
      BreakageRow{"a list of ends that was cut counts as whole", Breakage::kCutListIsWhole},
      BreakageRow{"ends of a worker that has left are forgotten", Breakage::kForgetReadEnds},
      BreakageRow{"a worker has left before its last lists are read", Breakage::kGoneAtOnce},
      BreakageRow{"the end of a gang as done is taken for that of a broken one", Breakage::kGangEndIsBroken},
      BreakageRow{"gangs are started in parts", Breakage::kGangInParts, "alone"},
      BreakageRow{"leases of a former life are left out of account",
                  Breakage::kNoFormerLeases,
                  {},
                  WorldFaults::kRestartsAndCuts},
      BreakageRow{"starts that are carried out late are left out of account",
                  Breakage::kNoLateCalls,
                  {},
                  WorldFaults::kRestartsAndCuts},
      BreakageRow{"ends are noted while a late call may begin the task again", Breakage::kNoteAtOnce},
      BreakageRow{"the end of the recorded owner counts as the end of all", Breakage::kEndOfRecordedOwnerIsAll});
  INFO(row.name);
  bool noticed = false;
  for (std::uint64_t seed = 1; seed <= kSeedsWithBreakage && !noticed; ++seed) {
    InterleavingWorld world(seed, row.faults, row.breakage);
    for (int i = 0; i < kSteps; ++i) world.Step();
    noticed = !world.violations().empty();
    if (row.after_faults.empty()) continue;
    world.Heal();
    noticed = std::any_of(world.violations().begin(), world.violations().end(),
                          [&](const std::string& violation) { return violation.starts_with(row.after_faults); });
  }
  CHECK(noticed);
}

}  // namespace
}  // namespace berylgauge::workflow
