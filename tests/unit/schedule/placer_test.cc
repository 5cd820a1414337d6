#include "schedule/placer.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

constexpr Resources kCapacity{.cpu_millis = 16'000, .memory_mb = 60'000, .accelerators = 0, .slots = 8};
constexpr Resources kSmall{.cpu_millis = 1'000, .memory_mb = 2'000, .accelerators = 0, .slots = 1};

MonotonicTime At(std::int64_t ms) { return MonotonicTime(absl::Milliseconds(100'000 + ms)); }

/// Workers are spread over three availability zones and racks of three workers.
WorkerView View(int number) {
  return {.worker = WorkerId("w" + std::to_string(number)),
          .rack = RackId("r" + std::to_string(number % 3) + "-" + std::to_string(number / 9)),
          .zone = AvailabilityZoneId("z" + std::to_string(number % 3)),
          .agent_incarnation = static_cast<Incarnation>(100 + number),
          .capacity = kCapacity,
          .as_of = At(0)};
}

PlacementRequest Request(int number, const Resources& resources = kSmall) {
  return {.key = {TaskId("t" + std::to_string(number)), 1}, .team = TeamId("team"), .resources = resources};
}

PlacementRequest Replica(int number) {
  PlacementRequest request = Request(number);
  request.kind = TaskKind::kService;
  request.service = ServiceId("dispatch");
  return request;
}

struct ReasonCase {
  const char* name;
  std::vector<WorkerView> workers;
  std::optional<Resources> quota;
  PlacementRequest request;
  PlacementReason reason;
};

// Guards against a task that waits for ever for something that cannot come, and one given up although it could run.
TEST_CASE("placer gives a reason for each decision", "[placer]") {
  const auto with = [](int number, const std::function<void(WorkerView&)>& change) {
    WorkerView view = View(number);
    change(view);
    return view;
  };
  const WorkerView narrow =
      with(1, [](WorkerView& v) { v.capacity = {.cpu_millis = 16'000, .memory_mb = 8'000, .slots = 8}; });
  const WorkerView slow =
      with(2, [](WorkerView& v) { v.capacity = {.cpu_millis = 2'000, .memory_mb = 60'000, .slots = 8}; });
  const WorkerView full = with(1, [](WorkerView& v) { v.booked = {16'000, 60'000, 0, 8}; });
  const WorkerView evictable = with(1, [](WorkerView& v) {
    v.booked = {16'000, 60'000, 0, 8};
    v.evictable = {8'000, 30'000, 0, 4};
  });
  const WorkerView nearly_full = with(1, [](WorkerView& v) { v.booked = {14'900, 10'000, 0, 1}; });
  PlacementRequest urgent = Request(1);
  urgent.urgent = true;
  PlacementRequest important = Request(1);
  important.importance = 10;
  PlacementRequest pressed = Request(1);
  pressed.deadline_slack = absl::Minutes(1);
  const Resources both{.cpu_millis = 10'000, .memory_mb = 30'000, .slots = 1};
  const auto test = GENERATE_COPY(values<ReasonCase>({
      {"room", {View(1)}, {}, Request(1), PlacementReason::kPlaced},
      {"whole worker", {View(1)}, {}, Request(1, kCapacity), PlacementReason::kPlaced},
      {"no workers", {}, {}, Request(1), PlacementReason::kNoWorkers},
      {"drained", {with(1, [](WorkerView& v) { v.drained = true; })}, {}, Request(1), PlacementReason::kNoOpenWorkers},
      {"suspected",
       {with(1, [](WorkerView& v) { v.suspected = true; })},
       {},
       Request(1),
       PlacementReason::kNoOpenWorkers},
      {"quarantined",
       {with(1, [](WorkerView& v) { v.quarantined = true; })},
       {},
       Request(1),
       PlacementReason::kNoOpenWorkers},
      {"full", {full}, {}, Request(1), PlacementReason::kNoRoom},
      {"kept for important work", {nearly_full}, {}, Request(1), PlacementReason::kNoRoom},
      {"urgent work may use it", {nearly_full}, {}, urgent, PlacementReason::kPlaced},
      {"important work may use it", {nearly_full}, {}, important, PlacementReason::kPlaced},
      {"work near its deadline may use it", {nearly_full}, {}, pressed, PlacementReason::kPlaced},
      {"a service may use it", {nearly_full}, {}, Replica(1), PlacementReason::kPlaced},
      {"urgent, but nothing to evict", {full}, {}, urgent, PlacementReason::kNoRoom},
      {"urgent with eviction", {evictable}, {}, urgent, PlacementReason::kPlacedByEviction},
      {"not urgent, so no eviction", {evictable}, {}, Request(1), PlacementReason::kNoRoom},
      {"larger than each worker in some dimension",
       {narrow, slow},
       {},
       Request(1, both),
       PlacementReason::kLargerThanWorkers},
      {"larger than open workers, but not than a drained one",
       {narrow, with(3, [](WorkerView& v) { v.drained = true; })},
       {},
       Request(1, both),
       PlacementReason::kNoRoom},
      {"accelerator that no worker has",
       {View(1)},
       {},
       Request(1, {.accelerators = 1}),
       PlacementReason::kLargerThanWorkers},
      {"within quota", {View(1)}, Resources{1'000, 2'000, 0, 1}, Request(1), PlacementReason::kPlaced},
      {"no limit", {View(1)}, Resources{-1, -1, -1, -1}, Request(1), PlacementReason::kPlaced},
      {"quota of zero", {View(1)}, Resources{0, -1, -1, -1}, Request(1), PlacementReason::kQuotaZero},
      {"larger than quota", {View(1)}, Resources{-1, 1'999, -1, -1}, Request(1), PlacementReason::kLargerThanQuota},
      {"negative amount", {View(1)}, {}, Request(1, {.cpu_millis = -1}), PlacementReason::kInvalidRequest},
  }));
  INFO(test.name);
  Placer placer;
  for (const WorkerView& view : test.workers) placer.UpsertWorker(view);
  if (test.quota.has_value()) placer.SetTeamQuota(TeamId("team"), *test.quota);
  std::mt19937_64 random(1);
  const PlacementDecision decision = placer.Place(test.request, At(0), random);
  CHECK(kPlacementReasonNames.NameOf(decision.reason) == kPlacementReasonNames.NameOf(test.reason));
  CHECK(decision.worker.empty() != decision.placed());
  CHECK(placer.NeverRuns(test.request).has_value() == IsNever(test.reason));
  if (test.reason == PlacementReason::kPlacedByEviction) CHECK(decision.evict == kSmall);
}

// Guards against a quota that counts only some of a team's attempts, or counts them for ever.
TEST_CASE("placer keeps teams within their quota", "[placer]") {
  Placer placer;
  placer.UpsertWorker(View(1));
  placer.SetTeamQuota(TeamId("team"), {.cpu_millis = 3'000, .memory_mb = -1, .accelerators = -1, .slots = -1});
  std::mt19937_64 random(1);
  placer.RecordRunning(Request(1).key, TeamId("team"), kSmall);
  CHECK(placer.Place(Request(2), At(0), random).placed());
  CHECK(placer.Place(Request(3), At(0), random).placed());
  CHECK(placer.TeamShare(TeamId("team")) == Approx(1.0));
  CHECK(placer.Place(Request(4), At(0), random).reason == PlacementReason::kTeamQuota);
  placer.RecordEnded(Request(1).key);
  CHECK(placer.Place(Request(4), At(0), random).placed());
  placer.RecordStarted(Request(4).key, At(1));
  CHECK(placer.Place(Request(5), At(0), random).reason == PlacementReason::kTeamQuota);
}

// Guards against a placement that is forgotten before the worker's own report contains it, or counted twice after.
TEST_CASE("placer counts placements until the view contains them", "[placer]") {
  Placer placer;
  placer.UpsertWorker(View(1));
  std::mt19937_64 random(1);
  REQUIRE(placer.Place(Request(1), At(0), random).placed());
  CHECK(placer.FreeOf(WorkerId("w1")) == kCapacity - kSmall);
  WorkerView view = View(1);
  view.as_of = At(50);
  placer.UpsertWorker(view);
  CHECK(placer.FreeOf(WorkerId("w1")) == kCapacity - kSmall);
  placer.RecordStarted(Request(1).key, At(60));
  placer.UpsertWorker(view);
  CHECK(placer.FreeOf(WorkerId("w1")) == kCapacity - kSmall);
  view.as_of = At(100);
  view.booked = kSmall;
  placer.UpsertWorker(view);
  CHECK(placer.FreeOf(WorkerId("w1")) == kCapacity - kSmall);
  placer.RecordEnded(Request(1).key);
  CHECK(placer.FreeOf(WorkerId("w1")) == kCapacity - kSmall);
  CHECK(placer.TeamUse(TeamId("team")) == Resources{});
}

// Guards against asking the same worker again at once after it has refused.
TEST_CASE("placer avoids a worker for a task that it refused", "[placer]") {
  Placer placer;
  placer.UpsertWorker(View(1));
  std::mt19937_64 random(1);
  REQUIRE(placer.Place(Request(1), At(0), random).placed());
  placer.RecordRefused(Request(1).key, WorkerId("w1"), At(0));
  PlacementRequest second = Request(1);
  second.key.attempt = 2;
  CHECK(placer.Place(second, At(4'999), random).reason == PlacementReason::kAvoided);
  CHECK(placer.Place(Request(2), At(4'999), random).placed());
  CHECK(placer.Place(second, At(5'000), random).placed());
}

// Guards against replicas of a service that are lost together with an availability zone or a rack.
TEST_CASE("placer spreads the replicas of a service", "[placer]") {
  Placer placer;
  std::map<WorkerId, WorkerView> views;
  for (int i = 0; i < 36; ++i) {
    // Uneven load would draw all replicas to one availability zone if spread counted less.
    WorkerView view = View(i);
    if (i % 3 != 0) view.booked = {8'000, 20'000, 0, 2};
    views[view.worker] = view;
    placer.UpsertWorker(view);
  }
  std::mt19937_64 random(1);
  std::map<AvailabilityZoneId, int> zones;
  std::map<RackId, int> racks;
  for (int i = 0; i < 12; ++i) {
    const PlacementDecision decision = placer.Place(Replica(i), At(0), random);
    REQUIRE(decision.placed());
    ++zones[views[decision.worker].zone];
    ++racks[views[decision.worker].rack];
  }
  CHECK(zones.size() == 3);
  for (const auto& [zone, count] : zones) CHECK(count == 4);
  CHECK(racks.size() == 12);
}

// Guards against replicas that running views contain being ignored.
TEST_CASE("placer spreads over replicas that already run", "[placer]") {
  Placer placer;
  for (int i = 0; i < 9; ++i) {
    WorkerView view = View(i);
    if (i % 3 != 1) view.services = {{ServiceId("dispatch"), 2}};
    placer.UpsertWorker(view);
  }
  std::mt19937_64 random(1);
  const PlacementDecision decision = placer.Place(Replica(1), At(0), random);
  REQUIRE(decision.placed());
  CHECK(std::set<std::string>{"w1", "w4", "w7"}.contains(decision.worker.value()));
}

// Guards against small tasks that fill the workers with accelerators while others are idle.
TEST_CASE("placer keeps workers with accelerators for tasks that need them", "[placer]") {
  Placer placer;
  for (int i = 0; i < 12; ++i) {
    WorkerView view = View(i);
    if (i % 4 == 0) view.capacity.accelerators = 4;
    placer.UpsertWorker(view);
  }
  std::mt19937_64 random(1);
  for (int i = 0; i < 12; ++i) {
    const PlacementDecision decision = placer.Place(Request(i), At(0), random);
    REQUIRE(decision.placed());
    CHECK(std::stoi(decision.worker.value().substr(1)) % 4 != 0);
  }
  PlacementRequest needs = Request(100);
  needs.resources.accelerators = 2;
  const PlacementDecision decision = placer.Place(needs, At(0), random);
  REQUIRE(decision.placed());
  CHECK(std::stoi(decision.worker.value().substr(1)) % 4 == 0);
}

/// Number of different workers that eight owners choose at the same time from equal views.
std::size_t DifferentChoices(const PlacerOptions& options) {
  std::set<WorkerId> chosen;
  for (unsigned owner = 0; owner < 8; ++owner) {
    Placer placer(options);
    for (int i = 0; i < 100; ++i) {
      WorkerView view = View(i);
      view.capacity.slots = 1'000;  // so that the processors decide
      view.booked.cpu_millis = std::int64_t{100} * i;
      placer.UpsertWorker(view);
    }
    std::mt19937_64 random(owner);
    chosen.insert(placer.Place(Request(1), At(0), random).worker);
  }
  return chosen.size();
}

// Guards against owners that all choose the least loaded worker at the same time.
TEST_CASE("independent placers choose different workers", "[placer]") {
  CHECK(DifferentChoices({}) >= 6);
  // The check catches a placer that compares all workers and takes the best.
  CHECK(DifferentChoices({.samples = 100, .score_tolerance = 0}) == 1);
}

// Guards against random choice that leaves the load uneven.
TEST_CASE("placer spreads the load", "[placer]") {
  Placer placer;
  for (int i = 0; i < 100; ++i) placer.UpsertWorker(View(i));
  std::mt19937_64 random(1);
  std::map<WorkerId, int> counts;
  for (int i = 0; i < 400; ++i) ++counts[placer.Place(Request(i), At(0), random).worker];
  CHECK(counts.size() == 100);
  for (const auto& [worker, count] : counts) CHECK(count <= 7);
}

// ---- properties

/// A placer as the property drives it, so that a broken one can take its place.
class PlacerUnderTest {
 public:
  virtual ~PlacerUnderTest() = default;
  virtual void Upsert(const WorkerView& view) { m_placer.UpsertWorker(view); }
  virtual PlacementDecision Place(const PlacementRequest& request, MonotonicTime now, absl::BitGenRef random) {
    return m_placer.Place(request, now, random);
  }
  virtual void Refused(const AttemptKey& key, const WorkerId& worker, MonotonicTime now) {
    m_placer.RecordRefused(key, worker, now);
  }
  Placer& placer() { return m_placer; }

 private:
  Placer m_placer;
};

/// Misses views of workers that it knows.
class StalePlacer final : public PlacerUnderTest {
 public:
  void Upsert(const WorkerView& view) override {
    if (!placer().FreeOf(view.worker).has_value()) PlacerUnderTest::Upsert(view);
  }
};

/// Does not count what it has placed.
class ForgetfulPlacer final : public PlacerUnderTest {
 public:
  PlacementDecision Place(const PlacementRequest& request, MonotonicTime now, absl::BitGenRef random) override {
    const PlacementDecision decision = PlacerUnderTest::Place(request, now, random);
    placer().RecordEnded(request.key);
    return decision;
  }
};

/// Asks a worker again that has just refused.
class InsistentPlacer final : public PlacerUnderTest {
 public:
  void Refused(const AttemptKey& key, const WorkerId& /*worker*/, MonotonicTime /*now*/) override {
    placer().RecordEnded(key);
  }
};

/// Compares a placer with a plain scan over all workers.
class PlacerModel {
 public:
  explicit PlacerModel(PlacerUnderTest& tested) : m_tested(tested) {
    m_tested.placer().SetTeamQuota(TeamId("a"),
                                   {.cpu_millis = 40'000, .memory_mb = -1, .accelerators = -1, .slots = -1});
  }

  /// Runs random operations and returns the first violation.
  std::string Run(const std::vector<std::uint32_t>& draws) {
    for (const std::uint32_t draw : draws) {
      m_now = m_now + absl::Milliseconds(draw % 1'000);
      const std::string violation = Step(draw);
      if (!violation.empty()) return violation;
      for (const auto& [id, view] : m_views) {
        if (m_tested.placer().FreeOf(id) != FreeOf(id)) return "the index has wrong free amounts";
      }
    }
    return "";
  }

 private:
  struct PlacedTask {
    WorkerId worker;
    PlacementRequest request;
  };

  std::string Step(std::uint32_t draw) {
    const int number = static_cast<int>(draw / 16 % 12);
    const WorkerId id("w" + std::to_string(number));
    switch (draw % 16) {
      case 0:
      case 1:
      case 2: {
        WorkerView view = View(number);
        view.zone = AvailabilityZoneId("z" + std::to_string(draw / 7 % 3));
        view.capacity.accelerators = draw / 5 % 3;
        view.capacity.memory_mb = draw / 3 % 2 == 0 ? 60'000 : 20'000;
        view.booked = {draw / 9 % 16'000, draw / 11 % 20'000, 0, draw / 13 % 4};
        view.evictable = {view.booked.cpu_millis / 2, view.booked.memory_mb / 2, 0, view.booked.slots / 2};
        view.drained = draw / 17 % 6 == 0;
        view.suspected = draw / 19 % 8 == 0;
        view.services = {{ServiceId("s" + std::to_string(draw % 3)), 1}};
        view.as_of = m_now;
        m_views[id] = view;
        m_tested.Upsert(view);
        return "";
      }
      case 3:
        if (draw / 16 % 5 != 0) return "";
        m_views.erase(id);
        std::erase_if(m_placed, [&](const auto& item) { return item.second.worker == id; });
        std::erase_if(m_avoided, [&](const auto& item) { return item.first.second == id; });
        m_tested.placer().RemoveWorker(id);
        // The placements on it have ended for their owner too.
        for (const auto& [key, request] : m_requests) {
          if (!m_placed.contains(key)) m_tested.placer().RecordEnded(key);
        }
        return "";
      case 4:
      case 5:
        if (m_placed.empty()) return "";
        return End(draw);
      default:
        return Place(draw);
    }
  }

  std::string End(std::uint32_t draw) {
    const auto placed = std::next(m_placed.begin(), static_cast<std::ptrdiff_t>(draw / 16 % m_placed.size()));
    const auto [key, task] = *placed;
    m_placed.erase(placed);
    if (draw % 2 == 0) {
      m_tested.placer().RecordEnded(key);
      return "";
    }
    m_tested.Refused(key, task.worker, m_now);
    m_avoided[{key.task, task.worker}] = m_now + PlacerOptions{}.avoid_duration;
    return "";
  }

  std::string Place(std::uint32_t draw) {
    PlacementRequest request;
    request.key = {TaskId("t" + std::to_string(draw / 16 % 40)), ++m_attempt};
    request.team = TeamId(draw % 3 == 0 ? "a" : "b");
    request.kind = draw / 5 % 3 == 0 ? TaskKind::kService : TaskKind::kBatch;
    if (request.kind == TaskKind::kService) request.service = ServiceId("s" + std::to_string(draw % 3));
    request.job_class = "c" + std::to_string(draw % 2);
    request.resources = {draw / 3 % 6'000, draw / 5 % 25'000, draw / 7 % 8 == 0 ? 1 : 0, 1};
    request.urgent = draw / 11 % 4 == 0;
    const PlacementDecision decision = m_tested.Place(request, m_now, m_random);
    m_requests[request.key] = request;

    const bool whole = request.kind == TaskKind::kService || request.urgent;
    bool any = false;
    bool any_by_eviction = false;
    bool any_avoided = false;
    for (const auto& [id, view] : m_views) {
      if (view.drained || view.suspected) continue;
      const bool fits = request.resources.FitsIn(whole ? FreeOf(id) : OrdinaryFree(id));
      const bool fits_by_eviction = request.urgent && request.resources.FitsIn(FreeOf(id) + view.evictable);
      if (IsAvoided(request.key.task, id)) {
        any_avoided = any_avoided || fits || fits_by_eviction;
        continue;
      }
      any = any || fits;
      any_by_eviction = any_by_eviction || fits_by_eviction;
    }
    const bool over_quota = request.team == TeamId("a") && TeamCpu() + request.resources.cpu_millis > 40'000;
    switch (decision.reason) {
      case PlacementReason::kPlaced:
      case PlacementReason::kPlacedByEviction: {
        const WorkerView& view = m_views.at(decision.worker);
        const Resources room = decision.reason == PlacementReason::kPlaced
                                   ? (whole ? FreeOf(decision.worker) : OrdinaryFree(decision.worker))
                                   : FreeOf(decision.worker) + view.evictable;
        if (!request.resources.FitsIn(room)) return "placed without room";
        if (view.drained || view.suspected) return "placed on a closed worker";
        if (IsAvoided(request.key.task, decision.worker)) return "placed on an avoided worker";
        if (over_quota) return "placed above the quota";
        if (decision.reason == PlacementReason::kPlacedByEviction && any) return "evicts although there is room";
        if (decision.agent_incarnation != view.agent_incarnation) return "wrong incarnation";
        m_placed[request.key] = {.worker = decision.worker, .request = request};
        return "";
      }
      case PlacementReason::kNoRoom:
      case PlacementReason::kNoOpenWorkers:
      case PlacementReason::kNoWorkers:
        return any || any_by_eviction ? "not placed although there is room" : "";
      case PlacementReason::kAvoided:
        if (any || any_by_eviction) return "not placed although there is room";
        return any_avoided ? "" : "avoided without cause";
      case PlacementReason::kTeamQuota:
        return over_quota ? "" : "quota without cause";
      case PlacementReason::kLargerThanWorkers:
        for (const auto& [id, view] : m_views) {
          if (request.resources.FitsIn(view.capacity)) return "never, although a worker is large enough";
        }
        return "";
      default:
        return "unexpected reason";
    }
  }

  Resources Pending(const WorkerId& id) const {
    Resources pending;
    for (const auto& [key, task] : m_placed) {
      if (task.worker == id) pending += task.request.resources;
    }
    return pending;
  }

  Resources FreeOf(const WorkerId& id) const {
    const WorkerView& view = m_views.at(id);
    return view.capacity - view.booked - Pending(id);
  }

  Resources OrdinaryFree(const WorkerId& id) const {
    const WorkerView& view = m_views.at(id);
    if (view.booked + Pending(id) == Resources{}) return view.capacity;
    Resources limit = view.capacity;
    limit.cpu_millis = limit.cpu_millis * 95 / 100;
    limit.memory_mb = limit.memory_mb * 95 / 100;
    return limit - view.booked - Pending(id);
  }

  std::int64_t TeamCpu() const {
    std::int64_t cpu = 0;
    for (const auto& [key, task] : m_placed) {
      if (task.request.team == TeamId("a")) cpu += task.request.resources.cpu_millis;
    }
    return cpu;
  }

  bool IsAvoided(const TaskId& task, const WorkerId& worker) const {
    const auto found = m_avoided.find({task, worker});
    return found != m_avoided.end() && m_now < found->second;
  }

  PlacerUnderTest& m_tested;
  MonotonicTime m_now = At(0);
  std::mt19937_64 m_random{7};
  AttemptNumber m_attempt = 0;
  std::map<WorkerId, WorkerView> m_views;
  std::map<AttemptKey, PlacedTask> m_placed;
  std::map<AttemptKey, PlacementRequest> m_requests;
  std::map<std::pair<TaskId, WorkerId>, MonotonicTime> m_avoided;
};

// Guards against an index that differs from what a scan over all workers would find.
TEST_CASE("placer agrees with a scan over all workers", "[placer][property]") {
  CHECK(rc::check("no violation", [] {
    const auto draws =
        *rc::gen::container<std::vector<std::uint32_t>>(200, rc::gen::inRange<std::uint32_t>(0, 1u << 31));
    PlacerUnderTest tested;
    const std::string violation = PlacerModel(tested).Run(draws);
    if (!violation.empty()) RC_FAIL(violation);
  }));
}

struct BrokenPlacerCase {
  const char* name;
  std::unique_ptr<PlacerUnderTest> (*make)();
  std::set<std::string> violations;
};

template <typename T>
std::unique_ptr<PlacerUnderTest> Make() {
  return std::make_unique<T>();
}

// Guards against a property that passes whatever the placer does.
TEST_CASE("the placer property catches broken placers", "[placer][property]") {
  const auto test = GENERATE(values<BrokenPlacerCase>({
      {"stale", Make<StalePlacer>, {"the index has wrong free amounts"}},
      {"forgetful", Make<ForgetfulPlacer>, {"the index has wrong free amounts"}},
      {"insistent", Make<InsistentPlacer>, {"placed on an avoided worker"}},
  }));
  INFO(test.name);
  std::mt19937_64 random(20261204);
  bool caught = false;
  for (int run = 0; run < 500 && !caught; ++run) {
    std::vector<std::uint32_t> draws(200);
    for (std::uint32_t& draw : draws) draw = static_cast<std::uint32_t>(random() % (1u << 31));
    const std::unique_ptr<PlacerUnderTest> tested = test.make();
    caught = test.violations.contains(PlacerModel(*tested).Run(draws));
  }
  CHECK(caught);
}

}  // namespace
}  // namespace berylgauge
