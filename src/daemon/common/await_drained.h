#pragma once

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include "base/clock.h"

namespace berylgauge {

/// Waits at least `settle` and then until `drained()` is true; returns false if that takes longer than `limit`.
template <typename Predicate>
bool AwaitDrained(const Clock& clock, absl::Duration limit, absl::Duration settle, Predicate drained) {
  constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
  const MonotonicTime begun = clock.Now();
  for (;;) {
    const absl::Duration waited = clock.Now() - begun;
    if (waited >= settle && drained()) return true;
    if (waited >= limit) return false;
    absl::SleepFor(kPollInterval);
  }
}

}  // namespace berylgauge
