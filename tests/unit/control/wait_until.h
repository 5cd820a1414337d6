#pragma once

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include "transport/event_loop.h"

namespace berylgauge::control {

/// Looks at `condition` on the loop's thread until it holds; false if it does not within `limit`.
template <typename Condition>
bool WaitUntil(EventLoop& loop, absl::Duration limit, Condition condition) {
  const absl::Time end = absl::Now() + limit;
  for (;;) {
    bool holds = false;
    loop.RunSync([&] { holds = condition(); });
    if (holds) return true;
    if (absl::Now() > end) return false;
    absl::SleepFor(absl::Milliseconds(5));
  }
}

}  // namespace berylgauge::control
