#pragma once

#include <absl/time/time.h>

#include "base/monotonic_time.h"

namespace berylgauge {

/// Source of the present time for the programs; decisions receive the time as an argument instead.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual MonotonicTime Now() const = 0;
  /// Wall-clock time, for display and the audit trail only.
  virtual absl::Time WallNow() const = 0;
};

/// Reads CLOCK_BOOTTIME, so that time spent suspended counts towards every lease.
class SystemClock final : public Clock {
 public:
  MonotonicTime Now() const override;
  absl::Time WallNow() const override;
};

}  // namespace berylgauge
