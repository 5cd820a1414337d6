#include "membership/entry_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/stable_hash.h"
#include "rapidcheck.h"
#include "rapidcheck/detail/Property.h"

namespace berylgauge {
namespace {

constexpr int kShares = 64;

MonotonicTime At(int ms) { return MonotonicTime(absl::Milliseconds(ms)); }

EntryAnnouncement Announce(const std::string& entry, Incarnation incarnation = 1, bool leaving = false) {
  return {.entry = EntryId(entry),
          .incarnation = incarnation,
          .internal_address = "127.0.0.1:7200",
          .caller_address = "127.0.0.1:8000",
          .availability_zone = AvailabilityZoneId("z1"),
          .leaving = leaving};
}

struct Step {
  int ms;
  EntryAnnouncement announcement;
  EntryDecision decision;
};

struct SequenceCase {
  const char* name;
  std::vector<Step> steps;
};

// Guards against a dead entry's record that takes the place of the running one.
TEST_CASE("entry registry decides on each announcement", "[entry-registry]") {
  using enum EntryDecision;
  const auto test = GENERATE(values<SequenceCase>({
      {"in order", {{0, Announce("e1"), kNewEntry}, {1000, Announce("e1"), kRefreshed}}},
      {"restart", {{0, Announce("e1", 1), kNewEntry}, {1, Announce("e1", 2), kNewIncarnation}}},
      {"late record of the former process",
       {{0, Announce("e1", 1), kNewEntry},
        {1, Announce("e1", 2), kNewIncarnation},
        {2, Announce("e1", 1), kFormer},
        {1000, Announce("e1", 2), kRefreshed}}},
      {"the successor fell silent",
       {{0, Announce("e1", 1), kNewEntry},
        {1, Announce("e1", 2), kNewIncarnation},
        {4002, Announce("e1", 1), kNewIncarnation}}},
  }));
  INFO(test.name);
  EntryRegistry registry({});
  for (std::size_t i = 0; i < test.steps.size(); ++i) {
    INFO("step " << i);
    const Step& step = test.steps[i];
    CHECK(registry.Apply(step.announcement, At(step.ms)) == step.decision);
  }
}

// Guards against a claim of shares before the lease of their owner has run out.
TEST_CASE("entries are live for the share lease", "[entry-registry]") {
  EntryRegistry registry({});
  registry.Apply(Announce("e1", 7), At(0));
  registry.Apply(Announce("e2", 8), At(2000));
  CHECK(registry.IsLive(EntryId("e1"), 7, At(4000)));
  CHECK_FALSE(registry.IsLive(EntryId("e1"), 6, At(4000)));
  CHECK_FALSE(registry.IsLive(EntryId("e1"), 7, At(4001)));
  CHECK(registry.Expire(At(4000)).empty());
  CHECK(registry.Expire(At(4001)) == std::vector{EntryId("e1")});
  CHECK(registry.Expire(At(4002)).empty());
  CHECK(registry.Live(At(4002)).size() == 1);
  CHECK(registry.LiveInternalAddresses(At(4002)).size() == 1);
  CHECK(registry.SilenceOf(EntryId("e1"), At(8001)) == absl::Milliseconds(8001));
  CHECK(registry.Expire(At(60'001)) == std::vector{EntryId("e2")});
  CHECK(registry.Find(EntryId("e1")) == nullptr);
}

// Guards against shares that are handed to an entry that is about to leave.
TEST_CASE("leaving and silent entries are preferred for no share", "[entry-registry]") {
  EntryRegistry registry({});
  CHECK_FALSE(registry.PreferredEntry(0, At(0)).has_value());
  registry.Apply(Announce("e1", 1, true), At(0));
  CHECK_FALSE(registry.PreferredEntry(0, At(0)).has_value());
  CHECK(registry.Live(At(0)).size() == 1);
  registry.Apply(Announce("e2"), At(0));
  for (int share = 0; share < kShares; ++share) CHECK(registry.PreferredEntry(share, At(0)) == EntryId("e2"));
  CHECK_FALSE(registry.PreferredEntry(0, At(4001)).has_value());
}

using Assignment = std::map<int, EntryId>;

/// The registry's choice for each share.
Assignment AssignByRegistry(const std::vector<std::string>& entries) {
  EntryRegistry registry({});
  for (const std::string& entry : entries) registry.Apply(Announce(entry), At(0));
  Assignment assignment;
  for (int share = 0; share < kShares; ++share) assignment[share] = *registry.PreferredEntry(share, At(0));
  return assignment;
}

/// Broken: the loss of one entry moves shares between the others.
Assignment AssignByModulo(const std::vector<std::string>& entries) {
  std::vector<std::string> sorted = entries;
  std::sort(sorted.begin(), sorted.end());
  Assignment assignment;
  for (int share = 0; share < kShares; ++share) {
    assignment[share] = EntryId(sorted[StableHash64(std::to_string(share)) % sorted.size()]);
  }
  return assignment;
}

/// Broken: depends on the order in which the entries were heard.
Assignment AssignByOrder(const std::vector<std::string>& entries) {
  Assignment assignment;
  for (int share = 0; share < kShares; ++share) assignment[share] = EntryId(entries.front());
  return assignment;
}

template <Assignment (*Assign)(const std::vector<std::string>&)>
void CheckAssignment() {
  const auto numbers = *rc::gen::suchThat(rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 1000)),
                                          [](const auto& n) { return n.size() >= 2 && n.size() <= 8; });
  std::vector<std::string> entries;
  for (const int number : numbers) entries.push_back("entry-" + std::to_string(number));
  const Assignment before = Assign(entries);
  std::vector<std::string> reversed(entries.rbegin(), entries.rend());
  RC_ASSERT(Assign(reversed) == before);
  const std::string lost = entries.back();
  entries.pop_back();
  const Assignment after = Assign(entries);
  for (const auto& [share, owner] : before) {
    if (owner != EntryId(lost)) RC_ASSERT(after.at(share) == owner);
  }
}

// Guards against entries that disagree on who claims a share, and against needless changes of ownership.
TEST_CASE("share preference is stable", "[entry-registry]") {
  CHECK(rc::check(CheckAssignment<AssignByRegistry>));
  // Guards against a hash that prefers few entries: with 8 entries each is expected to have 8 of 64 shares.
  std::map<EntryId, int> counts;
  for (const auto& [share, entry] : AssignByRegistry({"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"})) ++counts[entry];
  CHECK(counts.size() == 8);
}

TEST_CASE("the check of share preference catches broken assignments", "[entry-registry]") {
  CHECK_FALSE(rc::detail::checkTestable(CheckAssignment<AssignByModulo>).is<rc::detail::SuccessResult>());
  CHECK_FALSE(rc::detail::checkTestable(CheckAssignment<AssignByOrder>).is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace berylgauge
