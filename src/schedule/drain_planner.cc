#include "schedule/drain_planner.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace berylgauge {
namespace {

/// Decisions of a plan have no time of their own; nothing in the planner's placer expires.
constexpr MonotonicTime kPlanTime;

bool IsTarget(const WorkerView& view, const DrainTarget& target) {
  return (!target.zone.empty() && view.zone == target.zone) || (!target.worker.empty() && view.worker == target.worker);
}

bool IsOpen(const WorkerView& view) { return !view.drained && !view.suspected && !view.quarantined; }

/// Most important first, then the largest, because small attempts fit into what is left.
bool ComesFirst(const RunningAttempt* a, const RunningAttempt* b) {
  const auto rank = [](const RunningAttempt* attempt) {
    return std::tuple(-attempt->importance, -attempt->booked.accelerators, -attempt->booked.memory_mb,
                      -attempt->booked.cpu_millis, attempt->key);
  };
  return rank(a) < rank(b);
}

PlacementRequest RequestFor(const RunningAttempt& attempt) {
  return {.key = attempt.key,
          .team = attempt.team,
          .kind = attempt.kind,
          .service = attempt.service,
          .job_class = attempt.job_class,
          .resources = attempt.booked,
          .importance = attempt.importance};
}

/// One run of the planner.
class Planning {
 public:
  Planning(const DrainPlannerOptions& options, const std::vector<WorkerView>& workers,
           const std::vector<RunningAttempt>& attempts, const DrainTarget& target, absl::BitGenRef random)
      : m_options(options), m_random(random), m_placer(options.placer) {
    for (const WorkerView& view : workers) {
      m_zones[view.worker] = view.zone;
      if (IsTarget(view, target)) {
        m_leaving.insert(view.worker);
      } else if (IsOpen(view)) {
        m_survivors.emplace(view.worker, view);
        m_placer.UpsertWorker(view);
      }
    }
    for (const RunningAttempt& attempt : attempts) {
      if (!attempt.service.empty()) ++m_replicas[attempt.service][m_zones[attempt.worker]];
      if (m_leaving.contains(attempt.worker)) {
        (attempt.kind == TaskKind::kService ? m_services : m_batch).push_back(&attempt);
      } else if (attempt.kind == TaskKind::kBatch && m_survivors.contains(attempt.worker)) {
        m_evictable[attempt.worker].push_back(&attempt);
      }
    }
    std::sort(m_services.begin(), m_services.end(), ComesFirst);
    std::sort(m_batch.begin(), m_batch.end(), ComesFirst);
    // The least important is evicted first.
    for (auto& [worker, list] : m_evictable) {
      std::sort(list.begin(), list.end(), [](const auto* a, const auto* b) { return ComesFirst(b, a); });
    }
  }

  DrainPlan Run() {
    const auto spread_before = m_replicas;
    for (const RunningAttempt* service : m_services) MoveService(*service);
    for (const RunningAttempt* batch : m_batch) MoveBatch(*batch);
    // Stopped last, in the hope that room is found while the rest is carried out.
    for (const RunningAttempt* service : m_unmet) {
      AddStep({.kind = DrainStepKind::kStopUnmet, .key = service->key, .from = service->worker});
    }
    for (const RunningAttempt* service : m_moved_services) CheckSpread(*service, spread_before);
    SetWaves();
    return std::move(m_plan);
  }

 private:
  using Replicas = absl::flat_hash_map<ServiceId, std::map<AvailabilityZoneId, int>>;

  std::size_t AddStep(DrainStep step) {
    m_plan.steps.push_back(std::move(step));
    return m_plan.steps.size() - 1;
  }

  bool FitsASurvivor(const Resources& need) const {
    return std::any_of(m_survivors.begin(), m_survivors.end(),
                       [&](const auto& item) { return need.FitsIn(item.second.capacity); });
  }

  void AddUnmet(const RunningAttempt& service) {
    DrainUnmetReason reason = DrainUnmetReason::kNoRoom;
    if (m_survivors.empty()) {
      reason = DrainUnmetReason::kNoSurvivors;
    } else if (!FitsASurvivor(service.booked)) {
      reason = DrainUnmetReason::kLargerThanSurvivor;
    }
    m_plan.unmet.push_back({.key = service.key, .reason = reason});
    m_unmet.push_back(&service);
  }

  void MoveService(const RunningAttempt& service) {
    PlacementDecision decision = m_placer.Place(RequestFor(service), kPlanTime, m_random);
    if (!decision.placed()) {
      if (!EvictFor(service)) {
        AddUnmet(service);
        return;
      }
      // Only the worker that was made free has room, so the placer finds that one.
      decision = m_placer.Place(RequestFor(service), kPlanTime, m_random);
      if (!decision.placed()) {
        AddUnmet(service);
        return;
      }
    }
    std::vector<std::size_t> after;
    WaitForEvictions(decision.worker, after);
    const std::size_t start = AddStep({.kind = DrainStepKind::kStartReplica,
                                       .key = service.key,
                                       .from = service.worker,
                                       .to = decision.worker,
                                       .after = std::move(after)});
    AddStep({.kind = DrainStepKind::kStopReplica, .key = service.key, .from = service.worker, .after = {start}});
    m_plan.moves.push_back(service.key);
    m_moved_services.push_back(&service);
    auto& replicas = m_replicas[service.service];
    --replicas[m_zones[service.worker]];
    ++replicas[m_zones[decision.worker]];
  }

  /// Makes room for a service on the worker where the least importance is lost.
  bool EvictFor(const RunningAttempt& service) {
    std::optional<std::pair<int, std::size_t>> best_cost;
    WorkerId best;
    for (const auto& [worker, list] : m_evictable) {
      if (!service.booked.FitsIn(m_survivors.at(worker).capacity)) continue;
      Resources free = *m_placer.FreeOf(worker);
      std::size_t count = 0;
      while (count < list.size() && !service.booked.FitsIn(free)) free += list[count++]->booked;
      if (count == 0 || !service.booked.FitsIn(free)) continue;
      const std::pair cost(list[count - 1]->importance, count);
      // The name decides between equals, so that equal inputs give equal plans.
      if (best_cost.has_value() && std::tie(cost, worker) >= std::tie(*best_cost, best)) continue;
      best_cost = cost;
      best = worker;
    }
    if (!best_cost.has_value()) return false;
    std::vector<const RunningAttempt*>& list = m_evictable[best];
    for (std::size_t i = 0; i < best_cost->second; ++i) {
      const RunningAttempt& batch = *list[i];
      m_evict_steps[best].push_back(AddStep({.kind = DrainStepKind::kEvict, .key = batch.key, .from = best}));
      m_plan.evictions.push_back(batch.key);
      m_plan.waiting.push_back(batch.key);
      m_plan.lost_work += batch.since_checkpoint;
      m_survivors.at(best).booked -= batch.booked;
    }
    list.erase(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(best_cost->second));
    m_placer.UpsertWorker(m_survivors.at(best));
    return true;
  }

  void MoveBatch(const RunningAttempt& batch) {
    m_plan.lost_work += batch.since_checkpoint;
    const PlacementDecision decision = m_placer.Place(RequestFor(batch), kPlanTime, m_random);
    if (decision.placed()) {
      std::vector<std::size_t> after;
      WaitForEvictions(decision.worker, after);
      AddStep({.kind = DrainStepKind::kMove,
               .key = batch.key,
               .from = batch.worker,
               .to = decision.worker,
               .after = std::move(after)});
      m_plan.moves.push_back(batch.key);
      return;
    }
    AddStep({.kind = DrainStepKind::kHold, .key = batch.key, .from = batch.worker});
    m_plan.waiting.push_back(batch.key);
    if (!FitsASurvivor(batch.booked)) {
      const bool none = m_survivors.empty();
      m_plan.unmet.push_back(
          {.key = batch.key, .reason = none ? DrainUnmetReason::kNoSurvivors : DrainUnmetReason::kLargerThanSurvivor});
    }
  }

  static std::size_t CountZones(const std::map<AvailabilityZoneId, int>& zones) {
    return static_cast<std::size_t>(
        std::count_if(zones.begin(), zones.end(), [](const auto& item) { return item.second > 0; }));
  }

  void CheckSpread(const RunningAttempt& service, const Replicas& before) {
    if (service.service.empty()) return;
    if (CountZones(m_replicas.at(service.service)) >= CountZones(before.at(service.service))) return;
    m_plan.unmet.push_back({.key = service.key, .reason = DrainUnmetReason::kSpreadReduced});
  }

  /// Adds the evictions on a worker to what a step that needs room there waits for.
  void WaitForEvictions(const WorkerId& worker, std::vector<std::size_t>& after) const {
    const auto found = m_evict_steps.find(worker);
    if (found != m_evict_steps.end()) after = found->second;
  }

  /// Gives each step the first wave that is not full and later than all that the step waits for, then sorts by wave.
  void SetWaves() {
    std::vector<DrainStep>& steps = m_plan.steps;
    std::vector<std::size_t> sizes;
    std::size_t first_open = 0;
    for (DrainStep& step : steps) {
      std::size_t wave = first_open;
      for (const std::size_t before : step.after) wave = std::max(wave, steps[before].wave + 1);
      // Services without another place run as long as anything else is to be done.
      if (step.kind == DrainStepKind::kStopUnmet && !m_unmet_begun) {
        m_unmet_begun = true;
        first_open = sizes.size();
        wave = first_open;
      }
      while (wave < sizes.size() && sizes[wave] >= m_options.wave_size) ++wave;
      if (wave >= sizes.size()) sizes.resize(wave + 1);
      ++sizes[wave];
      step.wave = wave;
      while (first_open < sizes.size() && sizes[first_open] >= m_options.wave_size) ++first_open;
    }
    SortByWave();
    m_plan.waves = sizes.size();
    m_plan.duration = m_options.wave_interval * static_cast<double>(m_plan.waves);
  }

  void SortByWave() {
    std::vector<DrainStep>& steps = m_plan.steps;
    std::vector<std::size_t> order(steps.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return steps[a].wave < steps[b].wave; });
    std::vector<std::size_t> place(steps.size());
    for (std::size_t i = 0; i < order.size(); ++i) place[order[i]] = i;
    std::vector<DrainStep> sorted;
    sorted.reserve(steps.size());
    for (const std::size_t i : order) {
      sorted.push_back(std::move(steps[i]));
      for (std::size_t& before : sorted.back().after) before = place[before];
    }
    steps = std::move(sorted);
  }

  const DrainPlannerOptions& m_options;
  absl::BitGenRef m_random;
  Placer m_placer;
  DrainPlan m_plan;
  absl::flat_hash_map<WorkerId, AvailabilityZoneId> m_zones;
  absl::flat_hash_map<WorkerId, WorkerView> m_survivors;
  absl::flat_hash_set<WorkerId> m_leaving;
  Replicas m_replicas;
  std::vector<const RunningAttempt*> m_services;
  std::vector<const RunningAttempt*> m_batch;
  std::vector<const RunningAttempt*> m_unmet;
  std::vector<const RunningAttempt*> m_moved_services;
  absl::flat_hash_map<WorkerId, std::vector<const RunningAttempt*>> m_evictable;
  absl::flat_hash_map<WorkerId, std::vector<std::size_t>> m_evict_steps;
  bool m_unmet_begun = false;
};

}  // namespace

DrainPlanner::DrainPlanner(DrainPlannerOptions options) : m_options(options) {
  m_options.wave_size = std::max<std::size_t>(m_options.wave_size, 1);
}

DrainPlan DrainPlanner::Plan(const std::vector<WorkerView>& workers, const std::vector<RunningAttempt>& attempts,
                             const DrainTarget& target, absl::BitGenRef random) const {
  return Planning(m_options, workers, attempts, target, random).Run();
}

}  // namespace berylgauge
