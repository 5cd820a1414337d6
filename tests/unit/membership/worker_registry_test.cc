#include "membership/worker_registry.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rapidcheck.h"
#include "rapidcheck/detail/Property.h"

namespace berylgauge {
namespace {

MonotonicTime At(int ms) { return MonotonicTime(absl::Milliseconds(ms)); }

WorkerRegistry::Options Options() { return {.own_region = "ie-west"}; }

Heartbeat Beat(const std::string& worker, Incarnation incarnation, std::uint64_t sequence,
               const std::string& boot_id = "b1", const std::string& address = "") {
  return {.worker = WorkerId(worker),
          .rack = RackId("r1"),
          .availability_zone = AvailabilityZoneId("z1"),
          .region = "ie-west",
          .incarnation = incarnation,
          .sequence = sequence,
          .boot_id = boot_id,
          .address = address.empty() ? "127.0.0." + worker.substr(1) + ":7300" : address};
}

struct Step {
  int ms;
  Heartbeat beat;
  HeartbeatDecision decision;
  bool is_new_boot = false;
};

struct SequenceCase {
  const char* name;
  std::vector<Step> steps;
};

// Guards against late, repeated or reordered heartbeats that bring back what is no longer so.
TEST_CASE("worker registry decides on each heartbeat", "[worker-registry]") {
  using enum HeartbeatDecision;
  const auto test = GENERATE(values<SequenceCase>({
      {"in order", {{0, Beat("w1", 7, 1), kNewWorker}, {500, Beat("w1", 7, 2), kRefreshed}}},
      {"repeated", {{0, Beat("w1", 7, 1), kNewWorker}, {1, Beat("w1", 7, 1), kStale}}},
      {"overtaken", {{0, Beat("w1", 7, 5), kNewWorker}, {1, Beat("w1", 7, 4), kStale}}},
      {"restarted agent", {{0, Beat("w1", 7, 50), kNewWorker}, {1, Beat("w1", 8, 1), kNewIncarnation}}},
      {"late heartbeat of the former process",
       {{0, Beat("w1", 7, 50), kNewWorker},
        {1, Beat("w1", 8, 1), kNewIncarnation},
        {2, Beat("w1", 7, 51), kFormer},
        {500, Beat("w1", 8, 2), kRefreshed}}},
      {"worker restarted under the same agent",
       {{0, Beat("w1", 7, 1, "b1"), kNewWorker}, {500, Beat("w1", 7, 2, "b2"), kNewBoot, true}}},
      {"late heartbeat of the former boot",
       {{0, Beat("w1", 7, 1, "b1"), kNewWorker},
        {500, Beat("w1", 7, 3, "b2"), kNewBoot, true},
        {501, Beat("w1", 7, 2, "b1"), kStale}}},
      {"host replaced: new agent and new boot",
       {{0, Beat("w1", 7, 1, "b1"), kNewWorker}, {500, Beat("w1", 8, 1, "b2"), kNewIncarnation, true}}},
      {"boot id not read yet, then another one",
       {{0, Beat("w1", 7, 1, "b1"), kNewWorker},
        {500, Beat("w1", 8, 1, ""), kNewIncarnation},
        {1000, Beat("w1", 8, 2, "b2"), kNewBoot, true}}},
      {"boot id not read yet, then the same one",
       {{0, Beat("w1", 7, 1, "b1"), kNewWorker},
        {500, Beat("w1", 8, 1, ""), kNewIncarnation},
        {1000, Beat("w1", 8, 2, "b1"), kRefreshed}}},
      {"dead process displaced the living one, which returns after the silence",
       {{0, Beat("w1", 8, 10), kNewWorker},
        {1, Beat("w1", 7, 99), kNewIncarnation},
        {500, Beat("w1", 8, 11), kFormer},
        {3001, Beat("w1", 8, 16), kFormer},
        {3002, Beat("w1", 8, 17), kNewIncarnation},
        {3003, Beat("w1", 7, 99), kFormer}}},
      {"silent worker comes back", {{0, Beat("w1", 7, 1), kNewWorker}, {60'000, Beat("w1", 7, 2), kRefreshed}}},
      {"late heartbeat long after the last one",
       {{0, Beat("w1", 7, 5), kNewWorker}, {60'000, Beat("w1", 7, 4), kStale}}},
      {"another worker at the address",
       {{0, Beat("w1", 7, 9, "b1", "127.0.0.1:7300"), kNewWorker},
        {1, Beat("w2", 8, 1, "b2", "127.0.0.1:7300"), kNewWorker},
        {2, Beat("w1", 7, 10, "b1", "127.0.0.1:7300"), kFormer}}},
  }));
  INFO(test.name);
  WorkerRegistry registry(Options());
  for (std::size_t i = 0; i < test.steps.size(); ++i) {
    const Step& step = test.steps[i];
    INFO("step " << i);
    registry.Expire(At(step.ms));
    const HeartbeatOutcome outcome = registry.Apply(step.beat, At(step.ms));
    CHECK(kHeartbeatDecisionNames.NameOf(outcome.decision) == kHeartbeatDecisionNames.NameOf(step.decision));
    CHECK(outcome.is_new_boot == step.is_new_boot);
  }
}

// Guards against endpoints and tasks of a dead process that are attributed to its successor.
TEST_CASE("an empty new process replaces everything of the former one", "[worker-registry]") {
  WorkerRegistry registry(Options());
  Heartbeat former = Beat("w1", 7, 9);
  former.endpoints = {{.service = ServiceId("dispatch"), .address = "127.0.0.1:8080", .incarnation = 3, .slots = 8}};
  former.running = {{.task = TaskId("j1/0"), .attempt = 1}};
  registry.Apply(former, At(0));
  const std::uint64_t generation = registry.generation();
  SECTION("of the same worker") {
    registry.Apply(Beat("w1", 8, 1), At(1));
    REQUIRE(registry.Find(WorkerId("w1")) != nullptr);
    CHECK(registry.Find(WorkerId("w1"))->last.endpoints.empty());
    CHECK(registry.Find(WorkerId("w1"))->last.running.empty());
    CHECK(registry.Find(WorkerId("w1"))->first_heard == At(1));
  }
  SECTION("of another worker at the same address") {
    const HeartbeatOutcome outcome = registry.Apply(Beat("w2", 8, 1, "b2", former.address), At(1));
    CHECK(outcome.displaced == WorkerId("w1"));
    CHECK(registry.Find(WorkerId("w1")) == nullptr);
    CHECK(registry.Find(WorkerId("w2")) != nullptr);
  }
  CHECK(registry.generation() > generation);
}

struct LivenessCase {
  const char* region;
  int silence_ms;
  WorkerLiveness liveness;
};

// Guards against routing to silent agents, and against suspecting agents of other regions between two heartbeats.
TEST_CASE("silence makes an agent suspect, then silent", "[worker-registry]") {
  const auto test = GENERATE(values<LivenessCase>({
      {"ie-west", 0, WorkerLiveness::kLive},
      {"ie-west", 1500, WorkerLiveness::kLive},
      {"ie-west", 1501, WorkerLiveness::kSuspect},
      {"ie-west", 3000, WorkerLiveness::kSuspect},
      {"ie-west", 3001, WorkerLiveness::kSilent},
      {"staffs", 2500, WorkerLiveness::kLive},
      {"staffs", 2501, WorkerLiveness::kSuspect},
      {"staffs", 3001, WorkerLiveness::kSilent},
  }));
  INFO(test.region << " " << test.silence_ms);
  WorkerRegistry registry(Options());
  Heartbeat beat = Beat("w1", 7, 1);
  beat.region = test.region;
  registry.Apply(beat, At(100));
  CHECK(registry.LivenessOf(WorkerId("w1"), At(100 + test.silence_ms)) == test.liveness);
  CHECK(registry.LivenessOf(WorkerId("unknown"), At(100)) == WorkerLiveness::kSilent);
}

// Guards against an owner that is never told of a lost worker, or is told again and again.
TEST_CASE("each silence is reported once and records are forgotten in the end", "[worker-registry]") {
  WorkerRegistry registry(Options());
  registry.Apply(Beat("w1", 7, 1), At(0));
  CHECK(registry.Expire(At(3000)).empty());
  const std::uint64_t generation = registry.generation();
  CHECK(registry.Expire(At(3001)) == std::vector{WorkerId("w1")});
  CHECK(registry.generation() > generation);
  CHECK(registry.Expire(At(4000)).empty());
  CHECK(registry.SilenceOf(WorkerId("w1"), At(10'000)) == absl::Seconds(10));
  registry.Apply(Beat("w1", 7, 2), At(11'000));
  CHECK(registry.Expire(At(14'001)) == std::vector{WorkerId("w1")});
  CHECK(registry.Expire(At(11'000 + 90 * 60'000 + 1)).empty());
  CHECK(registry.Find(WorkerId("w1")) == nullptr);
  CHECK_FALSE(registry.SilenceOf(WorkerId("w1"), At(11'000 + 90 * 60'000 + 1)).has_value());
}

// Guards against a rebuild of the routing table for each heartbeat: 2,000 per second at the design target.
TEST_CASE("heartbeats that change only counts keep the generation", "[worker-registry]") {
  WorkerRegistry registry(Options());
  Heartbeat beat = Beat("w1", 7, 1);
  beat.endpoints = {{.service = ServiceId("dispatch"), .address = "127.0.0.1:8080", .incarnation = 3, .slots = 8}};
  registry.Apply(beat, At(0));
  const std::uint64_t generation = registry.generation();
  beat.sequence = 2;
  beat.endpoints[0].outstanding = 5;
  registry.Apply(beat, At(500));
  CHECK(registry.generation() == generation);
  beat.sequence = 3;
  beat.endpoints[0].leaving = true;
  registry.Apply(beat, At(1000));
  CHECK(registry.generation() > generation);
}

// Guards against unbounded memory under an agent that restarts all the time.
TEST_CASE("the memory of replaced processes is bounded", "[worker-registry]") {
  WorkerRegistry registry({.own_region = "ie-west", .max_former = 3});
  for (int i = 1; i <= 10; ++i) registry.Apply(Beat("w1", static_cast<Incarnation>(i), 1), At(i));
  CHECK(registry.Apply(Beat("w1", 9, 2), At(11)).decision == HeartbeatDecision::kFormer);
  CHECK(registry.Apply(Beat("w1", 7, 2), At(12)).decision == HeartbeatDecision::kFormer);
  CHECK(registry.Apply(Beat("w1", 1, 2), At(13)).decision == HeartbeatDecision::kNewIncarnation);
}

/// A delivery of a heartbeat of the former (1) or the living (2) process.
struct Delivery {
  int process;
  int sequence;
  int pause_ms;
};

std::vector<Delivery> AnyDeliveries() {
  return *rc::gen::container<std::vector<Delivery>>(
      rc::gen::construct<Delivery>(rc::gen::inRange(1, 3), rc::gen::inRange(1, 12), rc::gen::inRange(0, 1500)));
}

void showValue(const Delivery& delivery, std::ostream& out) {
  out << "{process " << delivery.process << ", sequence " << delivery.sequence << ", pause " << delivery.pause_ms
      << "}";
}

/// Delivers heartbeats in any order and number, then lets the living process be heard each 500 ms. Returns what the
/// registry did wrong.
template <typename Registry>
std::optional<std::string> FindReorderingFault(const std::vector<Delivery>& deliveries) {
  Registry registry(Options());
  std::uint64_t highest[3] = {0, 0, 0};
  int ms = 0;
  for (const Delivery& delivery : deliveries) {
    ms += delivery.pause_ms;
    registry.Expire(At(ms));
    const auto sequence = static_cast<std::uint64_t>(delivery.sequence);
    const Heartbeat beat = Beat("w1", static_cast<Incarnation>(delivery.process), sequence);
    if (!registry.Apply(beat, At(ms)).IsAccepted()) continue;
    if (sequence <= highest[delivery.process]) return "an older heartbeat replaced a newer one";
    highest[delivery.process] = sequence;
  }
  // The silence time and one interval later the living process must be the one that counts, for good.
  std::uint64_t sequence = 100;
  const int settled_ms = ms + 3500;
  while (ms < settled_ms + 5000) {
    ms += 500;
    registry.Apply(Beat("w1", 2, ++sequence), At(ms));
    // The last words of the dead process may arrive at any time.
    registry.Apply(Beat("w1", 1, 12), At(ms));
    const WorkerRecord* record = registry.Find(WorkerId("w1"));
    const bool is_current = record != nullptr && record->last.incarnation == 2 && record->last.sequence == sequence;
    if (ms > settled_ms && !is_current) return "the living process is not the one that counts";
  }
  return std::nullopt;
}

/// Broken: believes whatever came last.
class LastHeardRegistry : public WorkerRegistry {
 public:
  using WorkerRegistry::WorkerRegistry;

  HeartbeatOutcome Apply(const Heartbeat& heartbeat, MonotonicTime now) {
    m_record = {.last = heartbeat, .first_heard = now, .last_heard = now};
    return {.decision = HeartbeatDecision::kRefreshed};
  }

  const WorkerRecord* Find(const WorkerId&) const { return &m_record; }

 private:
  WorkerRecord m_record;
};

/// Broken: a process that was replaced never counts again, even if it is the living one.
class UnforgivingRegistry : public WorkerRegistry {
 public:
  using WorkerRegistry::WorkerRegistry;

  HeartbeatOutcome Apply(const Heartbeat& heartbeat, MonotonicTime now) {
    const WorkerRecord* record = Find(heartbeat.worker);
    if (record != nullptr && record->last.incarnation != heartbeat.incarnation) {
      if (m_former == heartbeat.incarnation) return {.decision = HeartbeatDecision::kFormer};
      m_former = record->last.incarnation;
    }
    return WorkerRegistry::Apply(heartbeat, now);
  }

 private:
  Incarnation m_former = 0;
};

template <typename Registry>
void CheckReordering() {
  const auto deliveries = AnyDeliveries();
  const std::optional<std::string> fault = FindReorderingFault<Registry>(deliveries);
  if (fault) RC_FAIL(*fault);
}

// Guards against a dead process that stays in the registry, or is brought back by its late heartbeats.
TEST_CASE("heartbeats in any order and number leave the living process", "[worker-registry]") {
  CHECK(rc::check(CheckReordering<WorkerRegistry>));
}

TEST_CASE("the check of reordered heartbeats catches broken registries", "[worker-registry]") {
  CHECK_FALSE(rc::detail::checkTestable(CheckReordering<LastHeardRegistry>).is<rc::detail::SuccessResult>());
  CHECK_FALSE(rc::detail::checkTestable(CheckReordering<UnforgivingRegistry>).is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace berylgauge
