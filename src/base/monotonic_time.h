#pragma once

#include <absl/time/time.h>

namespace berylgauge {

/// A point on this host's monotonic clock; never comparable with that of another process.
class MonotonicTime {
 public:
  constexpr MonotonicTime() = default;
  constexpr explicit MonotonicTime(absl::Duration since_boot) : m_since_boot(since_boot) {}

  /// Time since the host booted, including time spent suspended.
  constexpr absl::Duration SinceBoot() const { return m_since_boot; }

  friend MonotonicTime operator+(MonotonicTime t, absl::Duration d) { return MonotonicTime(t.m_since_boot + d); }
  friend MonotonicTime operator-(MonotonicTime t, absl::Duration d) { return MonotonicTime(t.m_since_boot - d); }
  friend absl::Duration operator-(MonotonicTime a, MonotonicTime b) { return a.m_since_boot - b.m_since_boot; }
  friend bool operator==(MonotonicTime a, MonotonicTime b) { return a.m_since_boot == b.m_since_boot; }
  friend bool operator!=(MonotonicTime a, MonotonicTime b) { return !(a == b); }
  friend bool operator<(MonotonicTime a, MonotonicTime b) { return a.m_since_boot < b.m_since_boot; }
  friend bool operator>(MonotonicTime a, MonotonicTime b) { return b < a; }
  friend bool operator<=(MonotonicTime a, MonotonicTime b) { return !(b < a); }
  friend bool operator>=(MonotonicTime a, MonotonicTime b) { return !(a < b); }

 private:
  absl::Duration m_since_boot = absl::ZeroDuration();
};

/// Earlier than every reading of the clock.
inline MonotonicTime InfinitePast() { return MonotonicTime(-absl::InfiniteDuration()); }

/// Later than every reading of the clock.
inline MonotonicTime InfiniteFuture() { return MonotonicTime(absl::InfiniteDuration()); }

}  // namespace berylgauge
