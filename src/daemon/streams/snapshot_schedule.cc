#include "daemon/streams/snapshot_schedule.h"

namespace berylgauge {

bool SnapshotSchedule::TakeDue(Offset position, MonotonicTime now) {
  if (m_last == InfinitePast()) m_last = now;
  const std::int64_t uncovered = position - m_covered;
  const bool due = uncovered >= m_options.every_records || (uncovered > 0 && now - m_last >= m_options.interval);
  if (!due) return false;
  m_last = now;
  m_covered = position;
  return true;
}

}  // namespace berylgauge
