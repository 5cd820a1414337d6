#include "schedule/pending_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

MonotonicTime At(std::int64_t seconds) { return MonotonicTime(absl::Seconds(100'000 + seconds)); }

struct Item {
  const char* name;
  bool urgent = false;
  int importance = 0;
  std::int64_t latest_start_s = -1;  ///< -1: no deadline
  const char* team = "even";
};

PendingTask TaskOf(const Item& item) {
  PendingTask task;
  task.request.key = {TaskId(item.name), 1};
  task.request.team = TeamId(item.team);
  task.request.urgent = item.urgent;
  task.request.importance = item.importance;
  if (item.latest_start_s >= 0) task.latest_start = At(item.latest_start_s);
  return task;
}

double ShareOf(const TeamId& team) {
  if (team.value() == "poor") return 0.1;
  return team.value() == "rich" ? 0.9 : 0.5;
}

std::vector<std::string> PopAll(PendingQueue& queue, MonotonicTime now) {
  std::vector<std::string> order;
  while (const auto task = queue.Pop(now, ShareOf)) order.push_back(task->request.key.task.value());
  return order;
}

struct OrderCase {
  const char* name;
  std::vector<Item> items;
  std::vector<std::string> order;
};

// Guards against a rule that outranks one that comes before it.
TEST_CASE("pending queue orders by urgency, importance, slack, share and age", "[pending_queue]") {
  const auto test = GENERATE(values<OrderCase>({
      {"age", {{"a"}, {"b"}, {"c"}}, {"a", "b", "c"}},
      {"urgency before importance", {{"a", false, 9}, {"b", true, 0}}, {"b", "a"}},
      {"importance before slack", {{"a", false, 0, 1}, {"b", false, 1}}, {"b", "a"}},
      {"slack band before share", {{"a", false, 0, -1, "poor"}, {"b", false, 0, 60, "rich"}}, {"b", "a"}},
      {"share within a band", {{"a", false, 0, 60, "rich"}, {"b", false, 0, 120, "poor"}}, {"b", "a"}},
      {"latest start within a team", {{"a", false, 0, 120}, {"b", false, 0, 60}}, {"b", "a"}},
      {"deadline before none", {{"a"}, {"b", false, 0, 100'000}}, {"b", "a"}},
  }));
  INFO(test.name);
  PendingQueue queue;
  for (const Item& item : test.items) queue.Push(TaskOf(item));
  CHECK(queue.size() == test.items.size());
  CHECK(PopAll(queue, At(0)) == test.order);
  CHECK(queue.empty());
}

// Guards against a task that cannot be placed and holds up all others, or is never tried again.
TEST_CASE("pending queue keeps deferred tasks back until they are due", "[pending_queue]") {
  PendingQueue queue;
  queue.Defer(TaskOf({"a", true}), At(10));
  queue.Push(TaskOf({"b"}));
  CHECK(queue.Explain({TaskId("a"), 1}) == WaitReason::kDeferred);
  CHECK(queue.Explain({TaskId("b"), 1}) == WaitReason::kQueued);
  CHECK_FALSE(queue.Explain({TaskId("c"), 1}).has_value());
  CHECK(queue.NextDue() == At(10));
  CHECK(PopAll(queue, At(9)) == std::vector<std::string>{"b"});
  CHECK(PopAll(queue, At(10)) == std::vector<std::string>{"a"});
  CHECK(queue.NextDue() == InfiniteFuture());
}

// Guards against a cancelled task that is placed all the same.
TEST_CASE("pending queue removes cancelled tasks", "[pending_queue]") {
  PendingQueue queue;
  queue.Push(TaskOf({"a"}));
  queue.Push(TaskOf({"a"}));
  CHECK(queue.size() == 1);
  queue.Defer(TaskOf({"b"}), At(10));
  CHECK(queue.Remove({TaskId("a"), 1}));
  CHECK(queue.Remove({TaskId("b"), 1}));
  CHECK_FALSE(queue.Remove({TaskId("b"), 1}));
  CHECK(queue.empty());
  CHECK_FALSE(queue.Pop(At(100), ShareOf).has_value());
}

// Guards against a placer that does not learn how much time is left.
TEST_CASE("pending queue sets the slack", "[pending_queue]") {
  PendingQueue queue;
  queue.Push(TaskOf({"a", false, 0, 60}));
  CHECK(queue.Pop(At(20), ShareOf)->request.deadline_slack == absl::Seconds(40));
  queue.Push(TaskOf({"b"}));
  CHECK(queue.Pop(At(20), ShareOf)->request.deadline_slack == absl::InfiniteDuration());
}

/// How the reference ranks; a broken one leaves out a rule.
enum class RankFault { kNone, kNoImportance, kNoShare };

using Rank = std::tuple<bool, int, SlackBand, double, absl::Duration, std::size_t>;

Rank RankOf(const PendingTask& task, std::size_t sequence, MonotonicTime now, RankFault fault) {
  return {!task.request.urgent,
          fault == RankFault::kNoImportance ? 0 : -task.request.importance,
          SlackBandOf(task.latest_start, now),
          fault == RankFault::kNoShare ? 0.0 : ShareOf(task.request.team),
          task.latest_start.SinceBoot(),
          sequence};
}

/// Runs random operations; returns false if the queue differs from the reference.
bool AgreesWithReference(const std::vector<std::uint32_t>& draws, RankFault fault) {
  constexpr std::array<const char*, 3> kTeams{"poor", "even", "rich"};
  PendingQueue queue;
  std::map<AttemptKey, std::pair<PendingTask, std::size_t>> reference;
  std::map<AttemptKey, MonotonicTime> deferred;
  std::size_t sequence = 0;
  std::int64_t now_s = 0;
  for (const std::uint32_t draw : draws) {
    now_s += draw % 200;
    const std::string name = "t" + std::to_string(draw / 8 % 20);
    PendingTask task = TaskOf({"", draw / 3 % 4 == 0, static_cast<int>(draw / 5 % 3),
                               draw / 7 % 3 == 0 ? -1 : now_s + draw / 11 % 20'000, kTeams[draw / 13 % 3]});
    task.request.key.task = TaskId(name);
    const AttemptKey key = task.request.key;
    switch (draw % 8) {
      case 0:
        if (queue.Remove(key) != (reference.erase(key) > 0)) return false;
        deferred.erase(key);
        break;
      case 1:
        queue.Defer(task, At(now_s + 300));
        reference[key] = {task, sequence++};
        deferred[key] = At(now_s + 300);
        break;
      case 2:
      case 3: {
        const MonotonicTime now = At(now_s);
        const auto popped = queue.Pop(now, ShareOf);
        const AttemptKey* best = nullptr;
        for (const auto& [waiting, item] : reference) {
          if (deferred.contains(waiting) && deferred[waiting] > now) continue;
          if (best == nullptr || RankOf(item.first, item.second, now, fault) <
                                     RankOf(reference[*best].first, reference[*best].second, now, fault)) {
            best = &waiting;
          }
        }
        if (popped.has_value() != (best != nullptr)) return false;
        if (best == nullptr) break;
        if (popped->request.key != *best) return false;
        deferred.erase(popped->request.key);
        reference.erase(popped->request.key);
        break;
      }
      default:
        queue.Push(task);
        reference[key] = {task, sequence++};
        deferred.erase(key);
        break;
    }
    if (queue.size() != reference.size()) return false;
  }
  return true;
}

// Guards against a task that loses its place to later ones because it was tried too early, and against deferred tasks
// that do not get the room that has become free.
TEST_CASE("a deferred task keeps its place and can be released early", "[pending_queue]") {
  PendingQueue queue;
  for (const char* name : {"a", "b", "c"}) queue.Push(TaskOf({name}));
  std::optional<PendingTask> first = queue.Pop(At(0), ShareOf);
  REQUIRE(first.has_value());
  queue.Defer(std::move(*first), At(10));
  queue.Release(At(9));
  CHECK(queue.Pop(At(0), ShareOf)->request.key.task == TaskId("b"));
  queue.Release(At(10));
  CHECK(PopAll(queue, At(0)) == std::vector<std::string>{"a", "c"});
}

// Guards against an index that returns another task than a full sort would.
TEST_CASE("pending queue agrees with a sort of all tasks", "[pending_queue][property]") {
  CHECK(rc::check("same task", [] {
    const auto draws =
        *rc::gen::container<std::vector<std::uint32_t>>(100, rc::gen::inRange<std::uint32_t>(0, 1u << 31));
    RC_ASSERT(AgreesWithReference(draws, RankFault::kNone));
  }));
}

// Guards against a property that passes whatever the order is.
TEST_CASE("the queue property catches other orders", "[pending_queue][property]") {
  const auto fault = GENERATE(RankFault::kNoImportance, RankFault::kNoShare);
  std::mt19937_64 random(20261204);
  bool caught = false;
  for (int run = 0; run < 200 && !caught; ++run) {
    std::vector<std::uint32_t> draws(100);
    for (std::uint32_t& draw : draws) draw = static_cast<std::uint32_t>(random() % (1u << 31));
    caught = !AgreesWithReference(draws, fault);
  }
  CHECK(caught);
}

}  // namespace
}  // namespace berylgauge
