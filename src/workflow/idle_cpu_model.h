#pragma once

#include <absl/time/time.h>

#include "base/monotonic_time.h"

namespace berylgauge::workflow {

/// Learns which share of their reserved CPU the serving tasks of one worker use.
///
/// Workers report the CPU of filler tasks but not that of serving tasks. What saturating filler tasks leave of a worker
/// is used by its serving tasks; filler tasks that do not saturate it give an upper bound. Values are weighted by the
/// time for which they hold, and lose weight with age.
class IdleCpuModel {
 public:
  /// The filler tasks used all CPU that was left, so the serving tasks used exactly this share.
  void AddShare(double share, MonotonicTime now);

  /// The serving tasks used at most this share. Without effect unless it is below the present estimate.
  void AddUpperBound(double share, double initial_share, MonotonicTime now);

  /// Lets old values lose weight, also while there are no new ones.
  void Decay(MonotonicTime now);

  /// Expected share with part of its spread, 0 to 1; `initial_share` before the first values.
  double ServingShare(double initial_share) const;

 private:
  void Add(double share, double weight);
  double Mean(double initial_share) const;
  /// Time since the last value, bounded by the time that one figure stands for.
  double TakeSeconds(MonotonicTime now);

  double m_weight = 0;  ///< seconds
  double m_sum = 0;
  double m_squares = 0;
  MonotonicTime m_added_at = InfinitePast();
  MonotonicTime m_decayed_at = InfinitePast();
};

}  // namespace berylgauge::workflow
