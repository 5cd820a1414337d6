#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

namespace berylgauge {

/// Delays between attempts to connect: doubled after each failure up to a maximum, with random jitter.
class ReconnectBackoff {
 public:
  ReconnectBackoff(absl::Duration initial, absl::Duration max) : m_initial(initial), m_max(max), m_next(initial) {}

  /// The delay after one more failure: uniform between half of the nominal delay and all of it. The jitter keeps the
  /// many clients of a restarted peer from connecting at the same moment.
  absl::Duration NextDelay(absl::BitGenRef random);

  /// Starts over from the initial delay.
  void Reset() { m_next = m_initial; }

 private:
  absl::Duration m_initial;
  absl::Duration m_max;
  absl::Duration m_next;
};

}  // namespace berylgauge
