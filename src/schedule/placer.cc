#include "schedule/placer.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace berylgauge {
namespace {

/// Score of a worker with free accelerators for a task that needs none. Such a worker is used only if the others are
/// fuller by half of their capacity.
constexpr double kAcceleratorPenalty = 0.5;

/// Score for each service replica beside a batch task and each batch task beside a service replica.
constexpr double kInterferencePenalty = 0.02;

/// Score for each attempt of the same class; they tend to need the same thing at the same time.
constexpr double kSameClassPenalty = 0.01;

/// Score for each replica of the same service in the rack and on the worker; outweighs any difference in load.
constexpr double kSameRackPenalty = 2.0;
constexpr double kSameWorkerPenalty = 10.0;

constexpr int kWholePercent = 100;

Resources Percent(const Resources& amount, int percent) {
  // Accelerators and slots are whole units and are not kept back.
  return {.cpu_millis = amount.cpu_millis / kWholePercent * percent,
          .memory_mb = amount.memory_mb / kWholePercent * percent,
          .accelerators = amount.accelerators,
          .slots = amount.slots};
}

double Part(std::int64_t used, std::int64_t capacity) {
  return capacity <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(capacity);
}

double LoadOf(const Resources& used, const Resources& capacity) {
  return std::max({Part(used.cpu_millis, capacity.cpu_millis), Part(used.memory_mb, capacity.memory_mb),
                   Part(used.accelerators, capacity.accelerators), Part(used.slots, capacity.slots)});
}

Resources NotNegative(const Resources& amount) {
  return {.cpu_millis = std::max<std::int64_t>(amount.cpu_millis, 0),
          .memory_mb = std::max<std::int64_t>(amount.memory_mb, 0),
          .accelerators = std::max<std::int64_t>(amount.accelerators, 0),
          .slots = std::max<std::int64_t>(amount.slots, 0)};
}

/// Amounts without a limit count as unbounded.
bool FitsQuota(const Resources& use, const Resources& quota) {
  const auto fits = [](std::int64_t amount, std::int64_t limit) { return limit < 0 || amount <= limit; };
  return fits(use.cpu_millis, quota.cpu_millis) && fits(use.memory_mb, quota.memory_mb) &&
         fits(use.accelerators, quota.accelerators) && fits(use.slots, quota.slots);
}

bool NeedsZeroQuota(const Resources& need, const Resources& quota) {
  return (need.cpu_millis > 0 && quota.cpu_millis == 0) || (need.memory_mb > 0 && quota.memory_mb == 0) ||
         (need.accelerators > 0 && quota.accelerators == 0) || (need.slots > 0 && quota.slots == 0);
}

template <typename Index>
int CountOf(const std::vector<std::pair<Index, int>>& counts, Index index) {
  for (const auto& [key, count] : counts) {
    if (key == index) return count;
  }
  return 0;
}

template <typename Index>
void ChangeCount(std::vector<std::pair<Index, int>>& counts, Index index, int change) {
  for (auto& item : counts) {
    if (item.first != index) continue;
    item.second += change;
    if (item.second <= 0) {
      item = counts.back();
      counts.pop_back();
    }
    return;
  }
  if (change > 0) counts.emplace_back(index, change);
}

}  // namespace

Placer::Placer(PlacerOptions options) : m_options(options) {}

template <typename Id>
std::uint32_t Placer::Intern(absl::flat_hash_map<Id, std::uint32_t>& table, const Id& id) {
  return table.try_emplace(id, static_cast<std::uint32_t>(table.size())).first->second;
}

Placer::ZoneIndex Placer::InternZone(const AvailabilityZoneId& id) {
  const ZoneIndex zone = Intern(m_zone_index, id);
  if (zone == m_zones.size()) m_zones.push_back({.id = id});
  return zone;
}

// ---- workers

void Placer::UpsertWorker(const WorkerView& view) {
  const auto found = m_index.find(view.worker);
  WorkerIndex index = 0;
  if (found != m_index.end()) {
    index = found->second;
    Worker& worker = m_workers[index];
    if (worker.view.zone != view.zone) RemoveFromZone(index);
    if (worker.view.capacity != view.capacity) {
      CountCapacity(worker.view.capacity, -1);
      CountCapacity(view.capacity, 1);
    }
  } else {
    if (m_unused_workers.empty()) {
      index = static_cast<WorkerIndex>(m_workers.size());
      m_workers.emplace_back();
      m_pending.emplace_back();
    } else {
      index = m_unused_workers.back();
      m_unused_workers.pop_back();
      m_workers[index] = {};
    }
    m_index.emplace(view.worker, index);
    CountCapacity(view.capacity, 1);
  }
  Worker& worker = m_workers[index];
  ClearRunning(index);
  if (!worker.known) {
    worker.view = view;
    worker.zone = InternZone(view.zone);
    AddToZone(index);
  } else {
    worker.view = view;
  }
  worker.rack = Intern(m_rack_index, view.rack);
  SetRunning(index, view);
  DropSettled(index, view.as_of);
  SetOpen(index, !view.drained && !view.suspected && !view.quarantined);
  UpdateTrees(index);
}

void Placer::RemoveWorker(const WorkerId& id) {
  const auto found = m_index.find(id);
  if (found == m_index.end()) return;
  const WorkerIndex index = found->second;
  for (const AttemptKey& key : std::vector<AttemptKey>(m_pending[index])) {
    DropPending(key, m_placed.at(key));
  }
  ClearRunning(index);
  CountCapacity(m_workers[index].view.capacity, -1);
  RemoveFromZone(index);
  m_index.erase(found);
  m_unused_workers.push_back(index);
  // The index may be given to another worker, which has refused nothing.
  for (auto& [task, avoided] : m_avoided) {
    avoided.erase(
        std::remove_if(avoided.begin(), avoided.end(), [index](const auto& item) { return item.first == index; }),
        avoided.end());
  }
}

void Placer::AddToZone(WorkerIndex index) {
  Worker& worker = m_workers[index];
  Zone& zone = m_zones[worker.zone];
  if (zone.unused.empty()) {
    worker.position = zone.workers.size();
    zone.workers.push_back(index);
  } else {
    worker.position = zone.unused.back();
    zone.unused.pop_back();
    zone.workers[worker.position] = index;
  }
  worker.known = true;
  worker.open = false;
}

void Placer::RemoveFromZone(WorkerIndex index) {
  Worker& worker = m_workers[index];
  ClearRunning(index);
  SetOpen(index, false);
  UpdateTrees(index);
  m_zones[worker.zone].unused.push_back(worker.position);
  worker.known = false;
}

void Placer::CountCapacity(const Resources& capacity, int change) {
  const CapacityKey key{capacity.cpu_millis, capacity.memory_mb, capacity.accelerators, capacity.slots};
  const auto where = m_capacities.try_emplace(key, 0).first;
  where->second += change;
  if (where->second <= 0) m_capacities.erase(where);
}

void Placer::SetRunning(WorkerIndex index, const WorkerView& view) {
  for (const auto& [service, count] : view.services) {
    const ServiceIndex service_index = Intern(m_service_index, service);
    CountService(index, service_index, count);
  }
  for (const auto& [job_class, count] : view.classes) CountClass(index, Intern(m_class_index, job_class), count);
  for (const AttemptKey& key : m_pending[index]) {
    const Placed& placed = m_placed.at(key);
    if (placed.service.has_value()) CountService(index, *placed.service, 1);
    if (placed.job_class.has_value()) CountClass(index, *placed.job_class, 1);
  }
}

void Placer::ClearRunning(WorkerIndex index) {
  Worker& worker = m_workers[index];
  while (!worker.services.empty()) {
    const auto [service, count] = worker.services.back();
    CountService(index, service, -count);
  }
  worker.classes.clear();
  worker.replicas = 0;
  worker.batch_attempts = 0;
}

void Placer::CountService(WorkerIndex index, ServiceIndex service, int change) {
  if (change == 0) return;
  Worker& worker = m_workers[index];
  ChangeCount(worker.services, service, change);
  worker.replicas += change;
  if (service >= m_services.size()) m_services.resize(service + 1);
  Service& counts = m_services[service];
  if (worker.zone >= counts.zones.size()) counts.zones.resize(worker.zone + 1);
  counts.zones[worker.zone] += change;
  const auto rack = counts.racks.try_emplace(worker.rack, 0).first;
  rack->second += change;
  if (rack->second <= 0) counts.racks.erase(rack);
}

void Placer::CountClass(WorkerIndex index, ClassIndex job_class, int change) {
  ChangeCount(m_workers[index].classes, job_class, change);
  m_workers[index].batch_attempts += change;
}

void Placer::DropSettled(WorkerIndex index, MonotonicTime as_of) {
  for (const AttemptKey& key : std::vector<AttemptKey>(m_pending[index])) {
    Placed& placed = m_placed.at(key);
    if (placed.started_at < as_of) DropPending(key, placed);
  }
}

void Placer::DropPending(const AttemptKey& key, Placed& placed) {
  if (!placed.worker.has_value()) return;
  const WorkerIndex index = *placed.worker;
  placed.worker.reset();
  std::erase(m_pending[index], key);
  m_workers[index].pending -= placed.resources;
  if (placed.service.has_value()) CountService(index, *placed.service, -1);
  if (placed.job_class.has_value()) CountClass(index, *placed.job_class, -1);
  UpdateTrees(index);
}

void Placer::SetOpen(WorkerIndex index, bool open) {
  Worker& worker = m_workers[index];
  if (worker.open == open) return;
  worker.open = open;
  m_zones[worker.zone].open += open ? 1 : -1;
}

void Placer::UpdateTrees(WorkerIndex index) {
  const Worker& worker = m_workers[index];
  if (!worker.known) return;
  Zone& zone = m_zones[worker.zone];
  if (!worker.open) {
    for (FitTree& tree : zone.trees) tree.Clear(worker.position);
    return;
  }
  const Resources used = worker.view.booked + worker.pending;
  const Resources whole = worker.view.capacity - used;
  // An idle worker is offered whole, or a task of its size could never start there.
  const Resources ordinary =
      used == Resources{} ? whole : Percent(worker.view.capacity, m_options.ordinary_fill_percent) - used;
  zone.trees[static_cast<std::size_t>(Room::kOrdinary)].Set(worker.position, ordinary);
  zone.trees[static_cast<std::size_t>(Room::kWhole)].Set(worker.position, whole);
  zone.trees[static_cast<std::size_t>(Room::kWithEviction)].Set(worker.position, whole + worker.view.evictable);
}

// ---- teams

void Placer::SetTeamQuota(const TeamId& team, const Resources& quota) { m_quotas[team] = quota; }

void Placer::RemoveTeamQuota(const TeamId& team) { m_quotas.erase(team); }

Resources Placer::TeamUse(const TeamId& team) const {
  const auto found = m_team_use.find(team);
  return found == m_team_use.end() ? Resources{} : found->second;
}

double Placer::TeamShare(const TeamId& team) const {
  Resources whole;
  for (const auto& [capacity, count] : m_capacities) {
    const auto& [cpu, memory, accelerators, slots] = capacity;
    whole += {.cpu_millis = cpu * count,
              .memory_mb = memory * count,
              .accelerators = accelerators * count,
              .slots = slots * count};
  }
  if (const auto quota = m_quotas.find(team); quota != m_quotas.end()) {
    if (quota->second.cpu_millis >= 0) whole.cpu_millis = quota->second.cpu_millis;
    if (quota->second.memory_mb >= 0) whole.memory_mb = quota->second.memory_mb;
    if (quota->second.accelerators >= 0) whole.accelerators = quota->second.accelerators;
    if (quota->second.slots >= 0) whole.slots = quota->second.slots;
  }
  return LoadOf(TeamUse(team), whole);
}

std::optional<PlacementReason> Placer::QuotaRefusal(const PlacementRequest& request) const {
  const auto quota = m_quotas.find(request.team);
  if (quota == m_quotas.end()) return std::nullopt;
  if (!FitsQuota(TeamUse(request.team) + request.resources, quota->second)) return PlacementReason::kTeamQuota;
  return std::nullopt;
}

// ---- decisions

std::optional<PlacementReason> Placer::NeverRuns(const PlacementRequest& request) const {
  if (!Resources{}.FitsIn(request.resources)) return PlacementReason::kInvalidRequest;
  if (const auto quota = m_quotas.find(request.team); quota != m_quotas.end()) {
    if (NeedsZeroQuota(request.resources, quota->second)) return PlacementReason::kQuotaZero;
    if (!FitsQuota(request.resources, quota->second)) return PlacementReason::kLargerThanQuota;
  }
  // Without any worker nothing can be said about the sizes to come.
  if (m_capacities.empty()) return std::nullopt;
  for (const auto& [capacity, count] : m_capacities) {
    const auto& [cpu, memory, accelerators, slots] = capacity;
    if (request.resources.FitsIn(
            {.cpu_millis = cpu, .memory_mb = memory, .accelerators = accelerators, .slots = slots})) {
      return std::nullopt;
    }
  }
  return PlacementReason::kLargerThanWorkers;
}

Placer::Room Placer::RoomFor(const PlacementRequest& request) const {
  const bool keeps_room = request.kind == TaskKind::kBatch && !request.urgent &&
                          request.importance < m_options.high_importance &&
                          request.deadline_slack >= m_options.small_slack;
  return keeps_room ? Room::kOrdinary : Room::kWhole;
}

PlacementDecision Placer::Place(const PlacementRequest& request, MonotonicTime now, absl::BitGenRef random) {
  PurgeAvoided(now);
  if (const auto never = NeverRuns(request)) return {.reason = *never};
  if (const auto refusal = QuotaRefusal(request)) return {.reason = *refusal};
  Search search{.request = &request, .room = RoomFor(request), .now = now};
  if (const auto avoided = m_avoided.find(request.key.task); avoided != m_avoided.end()) {
    search.avoided = &avoided->second;
  }
  if (request.kind == TaskKind::kService && !request.service.empty()) {
    search.service = Intern(m_service_index, request.service);
    if (*search.service >= m_services.size()) m_services.resize(*search.service + 1);
  }
  if (request.kind == TaskKind::kBatch && !request.job_class.empty()) {
    search.job_class = Intern(m_class_index, request.job_class);
  }
  const auto find = [&](Candidates& found) {
    if (search.service.has_value()) return FindService(search, random, found);
    FindBatch(search, random, found);
  };
  Candidates found;
  find(found);
  if (found.empty() && request.urgent) {
    search.room = Room::kWithEviction;
    find(found);
  }
  if (found.empty()) return {.reason = ReasonForNone(search)};
  std::sort(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  std::size_t good = 1;
  while (good < found.size() && found[good].score <= found[0].score + m_options.score_tolerance) ++good;
  const WorkerIndex chosen = found[absl::Uniform<std::size_t>(random, 0, good)].worker;

  const Worker& worker = m_workers[chosen];
  PlacementDecision decision{.reason = PlacementReason::kPlaced,
                             .worker = worker.view.worker,
                             .agent_incarnation = worker.view.agent_incarnation};
  if (search.room == Room::kWithEviction) {
    decision.reason = PlacementReason::kPlacedByEviction;
    decision.evict = NotNegative(worker.view.booked + worker.pending + request.resources - worker.view.capacity);
  }
  for (const Candidate& candidate : found) {
    decision.candidates.push_back({.worker = m_workers[candidate.worker].view.worker,
                                   .score = candidate.score,
                                   .zone_replicas = candidate.zone_replicas,
                                   .rack_replicas = candidate.rack_replicas});
  }
  BookPlaced(search, chosen);
  return decision;
}

bool Placer::Accept(Search& search, WorkerIndex index) const {
  if (search.avoided == nullptr) return true;
  for (const auto& [worker, until] : *search.avoided) {
    if (worker != index || search.now >= until) continue;
    search.saw_avoided = true;
    return false;
  }
  return true;
}

std::optional<Placer::WorkerIndex> Placer::FindInZone(Search& search, const Zone& zone, absl::BitGenRef random,
                                                      const Candidates& found) const {
  const FitTree& tree = zone.trees[static_cast<std::size_t>(search.room)];
  if (!tree.MayFit(search.request->resources)) return std::nullopt;
  const auto start = absl::Uniform<std::size_t>(random, 0, zone.workers.size());
  const auto position = tree.FindFrom(start, search.request->resources, [&](std::size_t at) {
    const WorkerIndex index = zone.workers[at];
    const bool is_new =
        std::none_of(found.begin(), found.end(), [index](const Candidate& item) { return item.worker == index; });
    return is_new && Accept(search, index);
  });
  if (!position.has_value()) return std::nullopt;
  return zone.workers[*position];
}

void Placer::FindBatch(Search& search, absl::BitGenRef random, Candidates& found) const {
  std::size_t open = 0;
  for (const Zone& zone : m_zones) open += zone.open;
  if (open == 0) return;
  for (int sample = 0; sample < m_options.samples; ++sample) {
    // Zones are drawn by their number of open workers; if there is no room in one, the next is tried.
    std::size_t draw = absl::Uniform<std::size_t>(random, 0, open);
    std::size_t first = 0;
    while (draw >= m_zones[first].open) draw -= m_zones[first++].open;
    std::optional<WorkerIndex> worker;
    for (std::size_t i = 0; i < m_zones.size() && !worker.has_value(); ++i) {
      worker = FindInZone(search, m_zones[(first + i) % m_zones.size()], random, found);
    }
    if (!worker.has_value()) return;
    found.push_back(Score(search, *worker));
  }
}

void Placer::FindService(Search& search, absl::BitGenRef random, Candidates& found) const {
  const std::vector<int>& replicas = m_services[*search.service].zones;
  absl::InlinedVector<std::tuple<int, std::uint32_t, ZoneIndex>, 8> order;
  for (ZoneIndex zone = 0; zone < m_zones.size(); ++zone) {
    if (m_zones[zone].open == 0) continue;
    const int count = zone < replicas.size() ? replicas[zone] : 0;
    // The random number breaks ties between zones.
    order.emplace_back(count, absl::Uniform<std::uint32_t>(random), zone);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [count, tie, zone] : order) {
    bool shares_rack = true;
    for (int sample = 0; sample < m_options.samples + m_options.rack_samples; ++sample) {
      if (sample >= m_options.samples && !shares_rack) break;
      const auto worker = FindInZone(search, m_zones[zone], random, found);
      if (!worker.has_value()) break;
      found.push_back(Score(search, *worker));
      shares_rack = shares_rack && found.back().rack_replicas > 0;
    }
    if (!found.empty()) return;
  }
}

Placer::Candidate Placer::Score(const Search& search, WorkerIndex index) const {
  const Worker& worker = m_workers[index];
  const PlacementRequest& request = *search.request;
  Candidate candidate{.worker = index};
  candidate.score = LoadOf(worker.view.booked + worker.pending + request.resources, worker.view.capacity);
  if (request.resources.accelerators == 0 && worker.view.capacity.accelerators > worker.view.booked.accelerators) {
    candidate.score += kAcceleratorPenalty;
  }
  if (request.kind == TaskKind::kBatch) {
    candidate.score += kInterferencePenalty * worker.replicas;
    if (search.job_class.has_value()) {
      candidate.score += kSameClassPenalty * CountOf(worker.classes, *search.job_class);
    }
    return candidate;
  }
  candidate.score += kInterferencePenalty * worker.batch_attempts;
  if (!search.service.has_value()) return candidate;
  const Service& service = m_services[*search.service];
  candidate.zone_replicas = worker.zone < service.zones.size() ? service.zones[worker.zone] : 0;
  const auto rack = service.racks.find(worker.rack);
  candidate.rack_replicas = rack == service.racks.end() ? 0 : rack->second;
  candidate.score += kSameRackPenalty * candidate.rack_replicas;
  candidate.score += kSameWorkerPenalty * CountOf(worker.services, *search.service);
  return candidate;
}

void Placer::BookPlaced(const Search& search, WorkerIndex index) {
  const PlacementRequest& request = *search.request;
  RecordEnded(request.key);
  m_placed.emplace(request.key, Placed{.worker = index,
                                       .resources = request.resources,
                                       .team = request.team,
                                       .kind = request.kind,
                                       .service = search.service,
                                       .job_class = search.job_class});
  m_pending[index].push_back(request.key);
  m_team_use[request.team] += request.resources;
  m_workers[index].pending += request.resources;
  if (search.service.has_value()) CountService(index, *search.service, 1);
  if (search.job_class.has_value()) CountClass(index, *search.job_class, 1);
  UpdateTrees(index);
}

PlacementReason Placer::ReasonForNone(const Search& search) const {
  if (m_index.empty()) return PlacementReason::kNoWorkers;
  const bool any_open = std::any_of(m_zones.begin(), m_zones.end(), [](const Zone& zone) { return zone.open > 0; });
  if (!any_open) return PlacementReason::kNoOpenWorkers;
  return search.saw_avoided ? PlacementReason::kAvoided : PlacementReason::kNoRoom;
}

// ---- what became of placements

void Placer::RecordRefused(const AttemptKey& key, const WorkerId& worker, MonotonicTime now) {
  RecordEnded(key);
  const auto index = m_index.find(worker);
  if (index == m_index.end()) return;
  const MonotonicTime until = now + m_options.avoid_duration;
  m_avoided[key.task].emplace_back(index->second, until);
  m_avoided_order.emplace_back(until, key.task);
}

void Placer::PurgeAvoided(MonotonicTime now) {
  while (!m_avoided_order.empty() && m_avoided_order.front().first <= now) {
    const auto found = m_avoided.find(m_avoided_order.front().second);
    if (found != m_avoided.end()) {
      auto& avoided = found->second;
      avoided.erase(
          std::remove_if(avoided.begin(), avoided.end(), [now](const auto& item) { return item.second <= now; }),
          avoided.end());
      if (avoided.empty()) m_avoided.erase(found);
    }
    m_avoided_order.pop_front();
  }
}

void Placer::RecordStarted(const AttemptKey& key, MonotonicTime now) {
  const auto found = m_placed.find(key);
  if (found != m_placed.end() && found->second.worker.has_value()) found->second.started_at = now;
}

void Placer::RecordRunning(const AttemptKey& key, const TeamId& team, const Resources& resources) {
  if (m_placed.contains(key)) return;
  m_placed.emplace(key, Placed{.resources = resources, .team = team});
  m_team_use[team] += resources;
}

void Placer::RecordEnded(const AttemptKey& key) {
  const auto found = m_placed.find(key);
  if (found == m_placed.end()) return;
  DropPending(key, found->second);
  const auto use = m_team_use.find(found->second.team);
  use->second -= found->second.resources;
  if (use->second == Resources{}) m_team_use.erase(use);
  m_placed.erase(found);
}

std::optional<Resources> Placer::FreeOf(const WorkerId& worker) const {
  const auto found = m_index.find(worker);
  if (found == m_index.end()) return std::nullopt;
  const Worker& entry = m_workers[found->second];
  return entry.view.capacity - entry.view.booked - entry.pending;
}

}  // namespace berylgauge
