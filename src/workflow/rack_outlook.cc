#include "workflow/rack_outlook.h"

#include <algorithm>

namespace berylgauge::workflow {

CapacityNeed CapacityNeed::Of(const StepDefinition& definition) {
  CapacityNeed need = {.counted = definition.demand,
                       .idle_cpu = definition.demand.cpu_millis,
                       .fills_idle_cpu = definition.fills_idle_cpu};
  if (definition.fills_idle_cpu) need.counted.cpu_millis = 0;
  return need;
}

RackOutlook::Level& RackOutlook::Level::operator+=(const Level& other) {
  free += other.free;
  idle_cpu += other.idle_cpu;
  return *this;
}

RackOutlook::Level& RackOutlook::Level::operator-=(const Level& other) {
  free -= other.free;
  idle_cpu -= other.idle_cpu;
  return *this;
}

void RackOutlook::AddWorker(const PoolWorker& worker, const Resources& free, std::int64_t idle_cpu,
                            const std::vector<Release>& releases) {
  Row row = {.worker = &worker, .free = {.free = free, .idle_cpu = idle_cpu}, .changes = {}};
  for (const Release& release : releases) {
    if (release.at == InfiniteFuture()) continue;
    row.changes[release.at] += {.free = release.amounts.counted, .idle_cpu = release.amounts.idle_cpu};
  }
  m_rows.push_back(std::move(row));
}

std::optional<RackOutlook::Slot> RackOutlook::Find(const CapacityNeed& need,
                                                   absl::FunctionRef<bool(const PoolWorker&)> may_use,
                                                   MonotonicTime now) const {
  std::optional<Slot> best;
  for (std::size_t i = 0; i < m_rows.size(); ++i) {
    const MonotonicTime at = EarliestOn(m_rows[i], need, now);
    if (at == InfiniteFuture() || (best && at >= best->at) || !may_use(*m_rows[i].worker)) continue;
    best = Slot{.row = i, .at = at};
  }
  return best;
}

MonotonicTime RackOutlook::EarliestOn(const Row& row, const CapacityNeed& need, MonotonicTime now) {
  Level level = row.free;
  MonotonicTime earliest = level.Has(need) ? now : InfiniteFuture();
  for (const auto& [at, change] : row.changes) {
    level += change;
    // The room must last, or it is that of a task which is ahead.
    if (!level.Has(need)) {
      earliest = InfiniteFuture();
    } else if (earliest == InfiniteFuture()) {
      earliest = std::max(at, now);
    }
  }
  return earliest;
}

void RackOutlook::Reserve(const Slot& slot, const CapacityNeed& need, absl::Duration run_time) {
  Row& row = m_rows[slot.row];
  const Level amount = {.free = need.counted, .idle_cpu = need.idle_cpu};
  row.changes[slot.at] -= amount;
  if (run_time < absl::InfiniteDuration()) row.changes[slot.at + run_time] += amount;
}

void RackOutlook::NotePlaced(const PoolWorker& worker, const CapacityNeed& need, absl::Duration run_time,
                             MonotonicTime now) {
  for (Row& row : m_rows) {
    if (row.worker != &worker) continue;
    const Level amount = {.free = need.counted, .idle_cpu = need.idle_cpu};
    row.free -= amount;
    if (run_time < absl::InfiniteDuration()) row.changes[now + run_time] += amount;
  }
}

}  // namespace berylgauge::workflow
