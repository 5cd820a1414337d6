#include "schedule/drain_planner.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

constexpr Resources kCapacity{.cpu_millis = 10'000, .memory_mb = 10'000, .accelerators = 0, .slots = 8};

/// Workers and what runs on them; the bookings of the views follow from the attempts.
struct Site {
  std::vector<WorkerView> workers;
  std::vector<RunningAttempt> attempts;

  void AddWorker(const std::string& name, const std::string& zone, const Resources& capacity = kCapacity) {
    workers.push_back({.worker = WorkerId(name),
                       .rack = RackId("rack-" + name),
                       .zone = AvailabilityZoneId(zone),
                       .agent_incarnation = 1,
                       .capacity = capacity});
  }

  void Add(TaskKind kind, const std::string& name, const std::string& worker, const Resources& booked,
           int importance = 0) {
    RunningAttempt attempt{.key = {TaskId(name), 1},
                           .worker = WorkerId(worker),
                           .kind = kind,
                           .booked = booked,
                           .importance = importance,
                           .since_checkpoint = absl::Minutes(10)};
    if (kind == TaskKind::kService) attempt.service = ServiceId("dispatch");
    attempts.push_back(attempt);
    for (WorkerView& view : workers) {
      if (view.worker != attempt.worker) continue;
      view.booked += booked;
      if (kind == TaskKind::kService) {
        view.services.emplace_back(attempt.service, 1);
      } else {
        view.evictable += booked;
      }
    }
  }
};

Resources Part(std::int64_t tenths) {
  return {.cpu_millis = 1'000 * tenths, .memory_mb = 1'000 * tenths, .accelerators = 0, .slots = 1};
}

struct Expectation {
  std::vector<std::string> moves;
  std::vector<std::string> evictions;
  std::vector<std::string> waiting;
  std::map<std::string, DrainUnmetReason> unmet;
};

struct PlanCase {
  const char* name;
  std::function<void(Site&)> fill;
  Expectation expected;
};

std::vector<std::string> Names(const std::vector<AttemptKey>& keys) {
  std::vector<std::string> names;
  for (const AttemptKey& key : keys) names.push_back(key.task.value());
  std::sort(names.begin(), names.end());
  return names;
}

// Guards against batch work that is saved at the cost of services, and losses that the plan does not name.
TEST_CASE("drain planner moves services first, then batch, and names the rest", "[drain_planner]") {
  constexpr auto kService = TaskKind::kService;
  constexpr auto kBatch = TaskKind::kBatch;
  // Zone "a" with worker a1 is drained; b1 and c1 are left.
  const auto test = GENERATE_COPY(values<PlanCase>({
      {"nothing runs", [](Site&) {}, {}},
      {"all fits",
       [&](Site& site) {
         site.Add(kService, "s", "a1", Part(3));
         site.Add(kBatch, "x", "a1", Part(3));
       },
       {.moves = {"s", "x"}}},
      {"the important batch attempt moves, the other waits",
       [&](Site& site) {
         site.Add(kBatch, "low", "a1", Part(5), 1);
         site.Add(kBatch, "high", "a1", Part(5), 5);
         site.Add(kService, "b", "b1", Part(8));
         site.Add(kService, "c", "c1", Part(4));
       },
       {.moves = {"high"}, .waiting = {"low"}}},
      {"a service evicts the least important batch attempt",
       [&](Site& site) {
         site.Add(kService, "s", "a1", Part(5));
         site.Add(kBatch, "b", "b1", Part(9), 3);
         site.Add(kBatch, "c", "c1", Part(9), 2);
       },
       {.moves = {"s"}, .evictions = {"c"}, .waiting = {"c"}}},
      {"a service that finds no place",
       [&](Site& site) {
         site.Add(kService, "s", "a1", Part(5));
         site.Add(kService, "b", "b1", Part(8));
         site.Add(kService, "c", "c1", Part(8));
       },
       {.unmet = {{"s", DrainUnmetReason::kNoRoom}}}},
      {"larger than what is left",
       [&](Site& site) {
         site.workers[0].capacity = {20'000, 20'000, 0, 8};
         site.Add(kService, "s", "a1", Part(11));
         site.Add(kBatch, "x", "a1", Part(9));
         site.workers[0].capacity.accelerators = 1;
         site.Add(kBatch, "y", "a1", {.cpu_millis = 1, .memory_mb = 1, .accelerators = 1, .slots = 1});
       },
       {.moves = {"x"},
        .waiting = {"y"},
        .unmet = {{"s", DrainUnmetReason::kLargerThanSurvivor}, {"y", DrainUnmetReason::kLargerThanSurvivor}}}},
      {"nothing is left",
       [&](Site& site) {
         site.workers[1].suspected = true;
         site.workers[2].drained = true;
         site.Add(kService, "s", "a1", Part(1));
         site.Add(kBatch, "x", "a1", Part(1));
       },
       {.waiting = {"x"}, .unmet = {{"s", DrainUnmetReason::kNoSurvivors}, {"x", DrainUnmetReason::kNoSurvivors}}}},
      {"fewer availability zones hold the service",
       [&](Site& site) {
         site.Add(kService, "s1", "a1", Part(1));
         site.Add(kService, "s2", "b1", Part(1));
         site.Add(kService, "s3", "c1", Part(1));
       },
       {.moves = {"s1"}, .unmet = {{"s1", DrainUnmetReason::kSpreadReduced}}}},
  }));
  INFO(test.name);
  Site site;
  site.AddWorker("a1", "a");
  site.AddWorker("b1", "b");
  site.AddWorker("c1", "c");
  test.fill(site);
  std::mt19937_64 random(1);
  const DrainPlan plan = DrainPlanner().Plan(site.workers, site.attempts, {.zone = AvailabilityZoneId("a")}, random);
  CHECK(Names(plan.moves) == test.expected.moves);
  CHECK(Names(plan.evictions) == test.expected.evictions);
  CHECK(Names(plan.waiting) == test.expected.waiting);
  std::map<std::string, DrainUnmetReason> unmet;
  for (const DrainUnmet& item : plan.unmet) unmet[item.key.task.value()] = item.reason;
  CHECK(unmet == test.expected.unmet);
}

// Guards against a drain of one worker that empties its whole availability zone.
TEST_CASE("drain planner empties a single worker into its own zone", "[drain_planner]") {
  Site site;
  site.AddWorker("a1", "a");
  site.AddWorker("a2", "a");
  site.Add(TaskKind::kService, "s", "a1", Part(1));
  site.Add(TaskKind::kBatch, "x", "a2", Part(1));
  std::mt19937_64 random(1);
  const DrainPlan plan = DrainPlanner().Plan(site.workers, site.attempts, {.worker = WorkerId("a1")}, random);
  CHECK(Names(plan.moves) == std::vector<std::string>{"s"});
  REQUIRE(plan.steps.size() == 2);
  CHECK(plan.steps[0].kind == DrainStepKind::kStartReplica);
  CHECK(plan.steps[0].to == WorkerId("a2"));
  CHECK(plan.steps[1].kind == DrainStepKind::kStopReplica);
}

// Guards against replicas that stop before their replacement is ready, and everything moving at once.
TEST_CASE("drain planner paces the steps", "[drain_planner]") {
  Site site;
  site.AddWorker("a1", "a", {100'000, 100'000, 0, 100});
  site.AddWorker("b1", "b", {100'000, 100'000, 0, 100});
  for (int i = 0; i < 8; ++i) site.Add(TaskKind::kService, "s" + std::to_string(i), "a1", Part(1));
  for (int i = 0; i < 8; ++i) site.Add(TaskKind::kBatch, "x" + std::to_string(i), "a1", Part(1));
  std::mt19937_64 random(1);
  const DrainPlanner planner({.wave_size = 4, .wave_interval = absl::Seconds(3)});
  const DrainPlan plan = planner.Plan(site.workers, site.attempts, {.zone = AvailabilityZoneId("a")}, random);
  CHECK(plan.steps.size() == 24);
  CHECK(plan.waves == 6);
  CHECK(plan.duration == absl::Seconds(18));
  CHECK(plan.lost_work == absl::Minutes(80));
}

// ---- property

Site RandomSite(std::mt19937_64& random) {
  Site site;
  const int workers = 3 + static_cast<int>(random() % 8);
  for (int i = 0; i < workers; ++i) {
    site.AddWorker("w" + std::to_string(i), "z" + std::to_string(i % 3));
    site.workers.back().drained = random() % 10 == 0;
    site.workers.back().capacity.accelerators = static_cast<std::int64_t>(random() % 2);
  }
  for (int i = 0; i < workers * 8; ++i) {
    const WorkerView view = site.workers[random() % site.workers.size()];
    const Resources booked{.cpu_millis = static_cast<std::int64_t>(random() % 5'000),
                           .memory_mb = static_cast<std::int64_t>(random() % 5'000),
                           .accelerators = random() % 8 == 0 ? 1 : 0,
                           .slots = 1};
    if (!(view.booked + booked).FitsIn(view.capacity)) continue;
    const TaskKind kind = random() % 3 == 0 ? TaskKind::kService : TaskKind::kBatch;
    site.Add(kind, "t" + std::to_string(i), view.worker.value(), booked, static_cast<int>(random() % 4));
  }
  return site;
}

const RunningAttempt& Find(const Site& site, const AttemptKey& key) {
  return *std::find_if(site.attempts.begin(), site.attempts.end(),
                       [&](const RunningAttempt& attempt) { return attempt.key == key; });
}

bool Leaves(const Site& site, const WorkerId& worker, const DrainTarget& target) {
  return std::any_of(site.workers.begin(), site.workers.end(), [&](const WorkerView& view) {
    return view.worker == worker && (view.zone == target.zone || view.worker == target.worker);
  });
}

/// Carries a plan out wave by wave, starts before stops, and returns the first violation.
std::string CheckPlan(const Site& site, const DrainPlan& plan, const DrainTarget& target, std::size_t wave_size) {
  std::map<WorkerId, Resources> used;
  std::map<WorkerId, Resources> capacity;
  std::set<WorkerId> closed;
  for (const WorkerView& view : site.workers) {
    used[view.worker] = view.booked;
    capacity[view.worker] = view.capacity;
    if (view.drained || Leaves(site, view.worker, target)) closed.insert(view.worker);
  }
  std::map<AttemptKey, int> ends;
  std::map<std::size_t, std::size_t> sizes;
  for (std::size_t i = 0; i < plan.steps.size(); ++i) {
    const DrainStep& step = plan.steps[i];
    if (++sizes[step.wave] > wave_size) return "a wave is too large";
    for (const std::size_t before : step.after) {
      if (before >= i || plan.steps[before].wave >= step.wave) return "a step does not wait";
    }
    if (step.from != Find(site, step.key).worker) return "wrong source";
    if (step.kind != DrainStepKind::kStartReplica) ++ends[step.key];
    if (step.kind == DrainStepKind::kStopReplica) {
      const bool replaced = std::any_of(step.after.begin(), step.after.end(), [&](std::size_t before) {
        return plan.steps[before].kind == DrainStepKind::kStartReplica && plan.steps[before].key == step.key;
      });
      if (!replaced) return "a replica stops before it is replaced";
    }
    if (step.kind == DrainStepKind::kEvict && Find(site, step.key).kind != TaskKind::kBatch) return "evicts a service";
  }
  for (std::size_t wave = 0; wave < plan.waves; ++wave) {
    for (const DrainStep& step : plan.steps) {
      if (step.wave != wave || step.to.empty()) continue;
      if (closed.contains(step.to)) return "moves to a closed worker";
      used[step.to] += Find(site, step.key).booked;
      if (!used[step.to].FitsIn(capacity[step.to])) return "above the capacity";
    }
    for (const DrainStep& step : plan.steps) {
      if (step.wave == wave && step.kind != DrainStepKind::kStartReplica) {
        used[step.from] -= Find(site, step.key).booked;
      }
    }
  }
  std::map<WorkerId, Resources> batch;
  for (const RunningAttempt& attempt : site.attempts) {
    const bool leaves = Leaves(site, attempt.worker, target);
    if (leaves && ends[attempt.key] != 1) return "an attempt is not stopped exactly once";
    if (!leaves && ends[attempt.key] > 1) return "an attempt is evicted twice";
    if (attempt.kind == TaskKind::kBatch && !leaves && ends[attempt.key] == 0) batch[attempt.worker] += attempt.booked;
  }
  for (const DrainStep& step : plan.steps) {
    if (step.kind == DrainStepKind::kMove) batch[step.to] += Find(site, step.key).booked;
  }
  // What was given up must not fit in the end, services not even without any batch attempt.
  for (const DrainStep& step : plan.steps) {
    if (step.kind != DrainStepKind::kHold && step.kind != DrainStepKind::kStopUnmet) continue;
    const Resources need = Find(site, step.key).booked;
    for (const auto& [worker, total] : capacity) {
      if (closed.contains(worker)) continue;
      Resources room = total - used[worker];
      if (step.kind == DrainStepKind::kStopUnmet) {
        if (need.FitsIn(room + batch[worker])) return "a service is given up although there is room";
        continue;
      }
      room.cpu_millis -= total.cpu_millis * 5 / 100;
      room.memory_mb -= total.memory_mb * 5 / 100;
      if (need.FitsIn(room)) return "a batch attempt waits although there is room";
    }
  }
  return "";
}

enum class PlanFault { kNone, kNoOrder, kDropsStep, kIgnoresBookings, kNoPacing, kStopsFirst };

/// Plans for a random site, possibly with a fault, and returns the first violation.
std::string PlanAndCheck(std::uint64_t seed, PlanFault fault) {
  std::mt19937_64 random(seed);
  const Site site = RandomSite(random);
  DrainTarget target;
  if (random() % 2 == 0) {
    target.zone = AvailabilityZoneId("z" + std::to_string(random() % 3));
  } else {
    target.worker = WorkerId("w" + std::to_string(random() % 3));
  }
  const std::size_t wave_size = 1 + random() % 5;
  Site seen = site;
  if (fault == PlanFault::kIgnoresBookings) {
    for (WorkerView& view : seen.workers) view.booked = {};
  }
  const DrainPlanner planner({.wave_size = fault == PlanFault::kNoPacing ? 1'000 : wave_size});
  DrainPlan plan = planner.Plan(seen.workers, seen.attempts, target, random);
  if (fault == PlanFault::kNoOrder) {
    for (DrainStep& step : plan.steps) {
      if (step.kind != DrainStepKind::kStopReplica) step.after.clear();
      step.wave = step.kind == DrainStepKind::kStopReplica ? 1 : 0;
    }
    return CheckPlan(site, plan, target, 1'000);
  }
  if (fault == PlanFault::kStopsFirst) {
    for (DrainStep& step : plan.steps) step.after.clear();
  }
  if (fault == PlanFault::kDropsStep && !plan.steps.empty()) plan.steps.pop_back();
  return CheckPlan(site, plan, target, wave_size);
}

// Guards against plans that overload a worker on the way, forget an attempt or give one up without need.
TEST_CASE("drain plans can be carried out", "[drain_planner][property]") {
  CHECK(rc::check("no violation", [](std::uint64_t seed) {
    const std::string violation = PlanAndCheck(seed, PlanFault::kNone);
    if (!violation.empty()) RC_FAIL(violation);
  }));
}

struct BrokenPlanCase {
  const char* name;
  PlanFault fault;
  const char* violation;
};

// Guards against a property that passes whatever the plan is.
TEST_CASE("the drain property catches broken plans", "[drain_planner][property]") {
  const auto test = GENERATE(values<BrokenPlanCase>({
      {"all at once", PlanFault::kNoOrder, "above the capacity"},
      {"a step is missing", PlanFault::kDropsStep, "an attempt is not stopped exactly once"},
      {"bookings are ignored", PlanFault::kIgnoresBookings, "above the capacity"},
      {"no pacing", PlanFault::kNoPacing, "a wave is too large"},
      {"stops before the start", PlanFault::kStopsFirst, "a replica stops before it is replaced"},
  }));
  INFO(test.name);
  bool caught = false;
  for (std::uint64_t seed = 0; seed < 500 && !caught; ++seed) caught = PlanAndCheck(seed, test.fault) == test.violation;
  CHECK(caught);
}

}  // namespace
}  // namespace berylgauge
