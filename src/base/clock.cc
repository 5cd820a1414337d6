#include "base/clock.h"

#include <absl/time/clock.h>
#include <time.h>

namespace berylgauge {

MonotonicTime SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(absl::DurationFromTimespec(now));
}

absl::Time SystemClock::WallNow() const { return absl::Now(); }

}  // namespace berylgauge
