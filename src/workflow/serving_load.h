#pragma once

#include <absl/time/time.h>

#include "base/monotonic_time.h"

namespace berylgauge::workflow {

/// Spare service rate of a serving task, 1/s, from its tail latency in ms.
///
/// In a queue with random arrivals the response time is 1 / (service rate - arrival rate) (M/M/1), and the tail is a
/// multiple of it. So load and interference add up in its reciprocal, while the same interference costs a loaded task
/// many times the milliseconds that it costs an idle one.
inline double SpareRate(double tail_ms) {
  constexpr double kMillisPerSecond = 1000;
  return tail_ms > 0 ? kMillisPerSecond / tail_ms : kMillisPerSecond;
}

/// Follows the spare rate that the tasks of one serving step would have without filling tasks beside them.
///
/// The tasks of a step share its load, so the least disturbed of them shows it.
class ServingLoad {
 public:
  /// One half-second figure of a task of the step.
  void Add(double spare_rate, MonotonicTime now);

  /// Spare rate without interference, 1/s; 0 before the first figure.
  double Undisturbed(MonotonicTime now) const;

  /// The lowest one that is expected soon, when the load rises on as it does now; 0 before the first figure.
  double LowestSoon(MonotonicTime now) const;

 private:
  double m_rate = 0;
  MonotonicTime m_updated_at;
  double m_trend = 0;   ///< change of `m_rate`, 1/s in a second
  double m_trough = 0;  ///< lowest `m_rate` of late
  double m_trend_rate = 0;
  MonotonicTime m_trend_at;
};

}  // namespace berylgauge::workflow
