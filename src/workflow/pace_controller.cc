#include "workflow/pace_controller.h"

#include <algorithm>
#include <utility>

namespace berylgauge::workflow {

std::vector<PaceChange> PaceController::Decide(const std::vector<MeasuredRun>& runs, MonotonicTime now) {
  Adjust(runs, now);
  std::vector<PaceChange> changes;
  absl::flat_hash_map<std::string, std::pair<int, int>> applied;
  for (const MeasuredRun& run : runs) {
    if (!run.fills_idle_cpu) continue;
    const auto found = m_applied.find(run.task);
    const bool is_new = found == m_applied.end() || found->second.first != run.run;
    const int present = is_new ? 100 : found->second.second;
    if (present != m_percent) changes.push_back({.task = run.task, .run = run.run, .percent = m_percent});
    applied[run.task] = {run.run, m_percent};
  }
  m_applied = std::move(applied);
  return changes;
}

void PaceController::Adjust(const std::vector<MeasuredRun>& runs, MonotonicTime now) {
  if (now - m_adjusted_at < m_options.interval) return;
  m_adjusted_at = now;
  double worst = 0;
  bool serves = false;
  for (const MeasuredRun& run : runs) {
    if (run.tail_target_ms <= 0) continue;
    serves = true;
    worst = std::max(worst, static_cast<double>(run.measured) / run.tail_target_ms);
  }
  if (!serves) {
    m_percent = 100;
  } else if (worst > 1) {
    m_percent = static_cast<int>(m_percent * m_options.missed_factor);
  } else if (worst > m_options.slow_above) {
    m_percent = static_cast<int>(m_percent * m_options.near_factor);
  } else if (worst < m_options.speed_up_below) {
    m_percent = std::min(
        100, std::max(m_percent, m_options.lowest_percent - m_options.speed_up_step) + m_options.speed_up_step);
  }
  if (m_percent < m_options.lowest_percent) m_percent = 0;
}

}  // namespace berylgauge::workflow
