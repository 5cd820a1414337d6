#include "routing/endpoint_picker.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rapidcheck.h"
#include "rapidcheck/detail/Property.h"
#include "routing_fixtures.h"

namespace berylgauge {
namespace {

const ServiceId kService("dispatch");

struct SpillCase {
  const char* name;
  std::vector<WorkerSpec> workers;
  std::vector<std::string> order;  ///< zones of the picked endpoints, without releasing any
  PickRefusal refusal;             ///< of the next pick
};

// Guards against requests that cross availability zones without need, and against queueing while there is room.
TEST_CASE("picker fills the own zone, then the region, then other regions", "[picker]") {
  const auto test = GENERATE(values<SpillCase>({
      {"one tier after the other",
       {{.worker = "w1", .slots = 2},
        {.worker = "w2", .availability_zone = "z2", .slots = 1},
        {.worker = "w3", .availability_zone = "z9", .region = "staffs", .slots = 1}},
       {"z1", "z1", "z2", "z9"},
       PickRefusal::kNoRoom},
      {"slots used by other entries count",
       {{.worker = "w1", .slots = 2, .outstanding = 1}, {.worker = "w2", .availability_zone = "z2", .slots = 1}},
       {"z1", "z2"},
       PickRefusal::kNoRoom},
      {"own zone full of other entries' requests",
       {{.worker = "w1", .slots = 2, .outstanding = 2}, {.worker = "w2", .availability_zone = "z2", .slots = 1}},
       {"z2"},
       PickRefusal::kNoRoom},
      {"only another region",
       {{.worker = "w3", .availability_zone = "z9", .region = "staffs", .slots = 1}},
       {"z9"},
       PickRefusal::kNoRoom},
      {"nothing accepts requests", {{.worker = "w1", .endpoint_leaving = true}}, {}, PickRefusal::kUnknownService},
      {"no workers", {}, {}, PickRefusal::kUnknownService},
  }));
  INFO(test.name);
  const auto table = TableOf(test.workers);
  const EndpointPicker picker({});
  std::mt19937_64 random(1);
  std::vector<EndpointReservation> held;
  std::vector<std::string> zones;
  for (std::size_t i = 0; i < test.order.size(); ++i) {
    auto pick = picker.Pick(*table, kService, {}, At(0), random);
    REQUIRE(pick.has_value());
    zones.push_back(pick->endpoint().availability_zone.value());
    held.push_back(std::move(*pick));
  }
  CHECK(zones == test.order);
  const auto refused = picker.Pick(*table, kService, {}, At(0), random);
  REQUIRE_FALSE(refused.has_value());
  CHECK(kPickRefusalNames.NameOf(refused.error()) == kPickRefusalNames.NameOf(test.refusal));
}

// Guards against a tier that is left while one of its endpoints has room that the random candidates missed.
TEST_CASE("every slot of the own zone is used before another zone", "[picker]") {
  std::vector<WorkerSpec> workers;
  for (int i = 1; i <= 20; ++i) workers.push_back({.worker = "w" + std::to_string(i), .slots = 3});
  workers.push_back({.worker = "w21", .availability_zone = "z2", .slots = 50});
  const auto table = TableOf(workers);
  const EndpointPicker picker({});
  std::mt19937_64 random(1);
  std::vector<EndpointReservation> held;
  for (int i = 0; i < 60; ++i) {
    auto pick = picker.Pick(*table, kService, {}, At(0), random);
    REQUIRE(pick.has_value());
    REQUIRE(pick->endpoint().availability_zone == AvailabilityZoneId("z1"));
    held.push_back(std::move(*pick));
  }
  CHECK(picker.Pick(*table, kService, {}, At(0), random)->endpoint().availability_zone == AvailabilityZoneId("z2"));
}

struct ConditionCase {
  const char* name;
  int w1_heard_ms;
  int w2_heard_ms;
  bool w1_ejected;
  bool w2_ejected;
  std::vector<std::string> excluded;
  std::optional<std::string> picked;
};

// Guards against retries at the endpoint that failed, and against suspect or ejected endpoints that are used while
// others are left.
TEST_CASE("picker prefers sound endpoints", "[picker]") {
  // w1 is in the own zone, w2 in another one; the time of the pick is 10 s.
  const auto test = GENERATE(values<ConditionCase>({
      {"both sound", 10'000, 10'000, false, false, {}, "w1"},
      {"near one suspect", 8000, 10'000, false, false, {}, "w2"},
      {"both suspect", 8000, 8000, false, false, {}, "w1"},
      {"near one silent", 6999, 10'000, false, false, {}, "w2"},
      {"both silent", 6999, 6999, false, false, {}, std::nullopt},
      {"near one ejected", 10'000, 10'000, true, false, {}, "w2"},
      {"near one ejected, other suspect", 10'000, 8000, true, false, {}, "w2"},
      {"both ejected", 10'000, 10'000, true, true, {}, "w1"},
      {"ejected and silent", 10'000, 6999, true, false, {}, "w1"},
      {"near one tried before", 10'000, 10'000, false, false, {"w1"}, "w2"},
      {"both tried before", 10'000, 10'000, false, false, {"w1", "w2"}, std::nullopt},
  }));
  INFO(test.name);
  const auto table = TableOf({{.worker = "w1"}, {.worker = "w2", .availability_zone = "z2"}});
  table->StoreReports(HeartbeatOf({.worker = "w1"}), At(test.w1_heard_ms));
  table->StoreReports(HeartbeatOf({.worker = "w2"}), At(test.w2_heard_ms));
  if (test.w1_ejected) EndpointOf(*table, "w1")->state->Eject(At(20'000), 1);
  if (test.w2_ejected) EndpointOf(*table, "w2")->state->Eject(At(20'000), 1);
  std::vector<RoutedEndpointPtr> excluded;
  for (const std::string& worker : test.excluded) excluded.push_back(EndpointOf(*table, worker));
  std::mt19937_64 random(1);
  const auto pick = EndpointPicker({}).Pick(*table, kService, excluded, At(10'000), random);
  REQUIRE(pick.has_value() == test.picked.has_value());
  if (pick) {
    CHECK(pick->endpoint().worker == WorkerId(*test.picked));
  } else {
    CHECK(pick.error() == PickRefusal::kNoEndpoint);
  }
}

// Guards against an ejected endpoint that gets requests because the sound ones are full.
TEST_CASE("full endpoints do not bring back ejected ones", "[picker]") {
  const auto table = TableOf({{.worker = "w1", .slots = 1}, {.worker = "w2", .slots = 1}});
  EndpointOf(*table, "w2")->state->Eject(At(5000), 1);
  std::mt19937_64 random(1);
  const auto first = EndpointPicker({}).Pick(*table, kService, {}, At(0), random);
  REQUIRE(first.has_value());
  const auto second = EndpointPicker({}).Pick(*table, kService, {}, At(0), random);
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error() == PickRefusal::kNoRoom);
}

struct SlowStartCase {
  int since_return_ms;
  double usable;
};

// Guards against an endpoint that fails again because all waiting requests go to it on its return.
TEST_CASE("usable slots grow after an ejection", "[picker]") {
  const auto test = GENERATE(values<SlowStartCase>({
      {0, 2.0},
      {999, 2.0},
      {5000, 10.0},
      {9000, 18.0},
      {10'000, 20.0},
      {60'000, 20.0},
  }));
  INFO(test.since_return_ms);
  const auto table = TableOf({{.worker = "w1", .slots = 20}});
  const RoutedEndpointPtr endpoint = EndpointOf(*table, "w1");
  CHECK(EndpointPicker({}).UsableSlots(*endpoint, At(0)) == Approx(20.0));
  endpoint->state->Eject(At(1000), 1);
  CHECK(EndpointPicker({}).UsableSlots(*endpoint, At(1000 + test.since_return_ms)) == Approx(test.usable));
}

// Guards against a choice that ignores the load: with random choice the fullest of 10 endpoints would differ from the
// emptiest by far more than 2 requests of 100.
TEST_CASE("load is spread evenly over the endpoints of a tier", "[picker]") {
  std::vector<WorkerSpec> workers;
  for (int i = 1; i <= 10; ++i) workers.push_back({.worker = "w" + std::to_string(i), .slots = 100});
  const auto table = TableOf(workers);
  std::mt19937_64 random(7);
  std::vector<EndpointReservation> held;
  for (int i = 0; i < 100; ++i) {
    held.push_back(std::move(*EndpointPicker({}).Pick(*table, kService, {}, At(0), random)));
  }
  int lowest = 100;
  int highest = 0;
  for (int i = 1; i <= 10; ++i) {
    const int outstanding = EndpointOf(*table, "w" + std::to_string(i))->state->outstanding();
    lowest = std::min(lowest, outstanding);
    highest = std::max(highest, outstanding);
  }
  CHECK(highest - lowest <= 4);
}

/// One step of a history at three endpoints.
struct PickerStep {
  int action;  ///< 0 to 3 pick, 4 release, 5 report of the agent, 6 new table, 7 time passes, 8 ejection
  int argument;
};

void showValue(const PickerStep& step, std::ostream& out) { out << step.action << ":" << step.argument; }

/// Picks as `EndpointPicker` does.
struct SoundPicks {
  using Held = EndpointReservation;

  static std::optional<Held> Pick(const RoutingTable& table, MonotonicTime now, std::mt19937_64& random) {
    auto pick = EndpointPicker({}).Pick(table, kService, {}, now, random);
    if (!pick) return std::nullopt;
    return std::move(*pick);
  }
  static std::shared_ptr<EndpointState> StateOf(const Held& held) { return held.endpoint().state; }
};

/// Broken: ignores the slots.
struct UnlimitedPicks : SoundPicks {
  static std::optional<Held> Pick(const RoutingTable& table, MonotonicTime, std::mt19937_64&) {
    const RoutedEndpointPtr endpoint = EndpointOf(table, "w1");
    if (!endpoint || !endpoint->state->TryAcquire(1000)) return std::nullopt;
    return EndpointReservation(endpoint);
  }
};

/// Broken: every third release is forgotten.
struct LeakingPicks {
  struct Held {
    std::optional<EndpointReservation> reservation;
    RoutedEndpointPtr endpoint;
  };

  static std::optional<Held> Pick(const RoutingTable& table, MonotonicTime now, std::mt19937_64& random) {
    auto pick = EndpointPicker({}).Pick(table, kService, {}, now, random);
    if (!pick) return std::nullopt;
    const RoutedEndpointPtr endpoint = pick->shared_endpoint();
    if (random() % 3 == 0) static_cast<void>(endpoint->state->TryAcquire(1000));
    return Held{.reservation = std::move(*pick), .endpoint = endpoint};
  }
  static std::shared_ptr<EndpointState> StateOf(const Held& held) { return held.endpoint->state; }
};

template <typename Picks>
std::optional<std::string> FindPickerFault(const std::vector<PickerStep>& steps) {
  constexpr int kSlots = 3;
  WorkerRegistry registry({.own_region = "ie-west"});
  const std::vector<std::string> workers{"w1", "w2", "w3"};
  std::uint64_t sequence = 1;
  for (const std::string& worker : workers) registry.Apply(HeartbeatOf({.worker = worker, .slots = kSlots}), At(0));
  auto table = RoutingTable::Build(registry, RoutingTable(TableOptions()), At(0));
  std::vector<std::shared_ptr<EndpointState>> states;
  for (const std::string& worker : workers) states.push_back(EndpointOf(*table, worker)->state);
  std::vector<typename Picks::Held> held;
  std::mt19937_64 random(11);
  std::int64_t ms = 0;
  for (const PickerStep& step : steps) {
    const std::string& worker = workers[static_cast<std::size_t>(step.argument) % workers.size()];
    const WorkerSpec spec{.worker = worker, .slots = kSlots, .outstanding = step.argument % 4, .sequence = ++sequence};
    if (step.action <= 3) {
      if (auto pick = Picks::Pick(*table, At(ms), random)) {
        if (Picks::StateOf(*pick)->outstanding() > kSlots) return "more requests than slots";
        held.push_back(std::move(*pick));
      }
    } else if (step.action == 4 && !held.empty()) {
      const std::size_t index = static_cast<std::size_t>(step.argument) % held.size();
      std::swap(held[index], held.back());
      held.pop_back();
    } else if (step.action == 5) {
      registry.Apply(HeartbeatOf(spec), At(ms));
      table->StoreReports(HeartbeatOf(spec), At(ms));
    } else if (step.action == 6) {
      table = RoutingTable::Build(registry, *table, At(ms));
    } else if (step.action == 7) {
      ms += std::int64_t{step.argument} * 10;
    } else if (step.action == 8) {
      states[static_cast<std::size_t>(step.argument) % states.size()]->Eject(At(ms + step.argument), 1);
    }
  }
  held.clear();
  for (const auto& state : states) {
    if (state->outstanding() != 0) return "outstanding requests are left";
  }
  return std::nullopt;
}

template <typename Picks>
void CheckPicks() {
  const auto steps = *rc::gen::container<std::vector<PickerStep>>(
      rc::gen::construct<PickerStep>(rc::gen::inRange(0, 9), rc::gen::inRange(0, 100)));
  const std::optional<std::string> fault = FindPickerFault<Picks>(steps);
  if (fault) RC_FAIL(*fault);
}

// Guards against slots that are exceeded and counts that do not return to zero, in any order of picks, ends, reports
// and new tables.
TEST_CASE("outstanding requests stay within the slots and return to zero", "[picker]") {
  CHECK(rc::check(CheckPicks<SoundPicks>));
}

TEST_CASE("the check of outstanding requests catches broken picks", "[picker]") {
  CHECK_FALSE(rc::detail::checkTestable(CheckPicks<UnlimitedPicks>).is<rc::detail::SuccessResult>());
  CHECK_FALSE(rc::detail::checkTestable(CheckPicks<LeakingPicks>).is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace berylgauge
