#pragma once

#include <absl/time/time.h>

#include <cstdint>

#include "base/ids.h"
#include "base/monotonic_time.h"

namespace berylgauge {

/// When the next snapshot of a stream is due.
struct SnapshotScheduleOptions {
  absl::Duration interval = absl::Minutes(15);  ///< at most a quarter of the retention of the log
  std::int64_t every_records = 20'000;
};

/// Decides when the owner of a stream writes a snapshot of it.
class SnapshotSchedule {
 public:
  explicit SnapshotSchedule(SnapshotScheduleOptions options) : m_options(options) {}

  /// Returns true if a snapshot that covers `position` is due, and counts it as written.
  ///
  /// A new owner does not know what the former one wrote, so it counts everything as not covered yet.
  bool TakeDue(Offset position, MonotonicTime now);

 private:
  const SnapshotScheduleOptions m_options;
  MonotonicTime m_last = InfinitePast();
  Offset m_covered = kNoOffset;
};

}  // namespace berylgauge
