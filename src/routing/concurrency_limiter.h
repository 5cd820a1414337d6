#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <mutex>

#include "base/monotonic_time.h"

namespace berylgauge {

/// What the end of a request says about the load.
enum class LoadSignal {
  kLatency,   ///< it completed; its latency counts
  kOverload,  ///< it timed out or was refused for lack of capacity
  kNone,      ///< it failed for another reason
};

/// Limits the requests in progress by measured latency: additive increase, multiplicative decrease (AIMD).
///
/// Samples are judged in windows. If the mean latency of a window exceeds the baseline by `tolerance`, or a request was
/// lost to overload, the limit falls by `decrease_factor`; otherwise it grows by its square root if it was used. The
/// baseline is the lowest mean of a window. Every `probe_interval` it is measured anew under a fraction of the limit:
/// otherwise a lasting rise of the latency would hold the limit down for ever, and a baseline that crept up by itself
/// would follow the latency that the limit itself causes. Thread-safe; acquiring takes no lock.
class ConcurrencyLimiter {
 public:
  struct Options {
    int initial_limit = 32;
    int min_limit = 4;
    int max_limit = 10'000;
    int min_window_samples = 10;
    absl::Duration min_window = absl::Milliseconds(100);
    double tolerance = 2.0;
    double decrease_factor = 0.9;
    absl::Duration probe_interval = absl::Seconds(10);
    double probe_fraction = 0.25;  ///< of the limit, while the baseline is measured
  };

  ConcurrencyLimiter(Options options, MonotonicTime now);

  /// Counts one more request in progress if the limit permits it.
  bool TryAcquire();

  /// Ends a request that was acquired.
  void Release(LoadSignal signal, absl::Duration latency, MonotonicTime now);

  int limit() const { return m_limit.load(std::memory_order_relaxed); }
  int in_progress() const { return m_in_progress.load(std::memory_order_acquire); }

 private:
  enum class Phase {
    kNormal,
    kSettling,   ///< the limit is lowered; requests from before are still in progress
    kMeasuring,  ///< the window gives the new baseline
  };

  void CloseWindow(MonotonicTime now);
  void AdaptLimit();
  void BeginProbe();
  void ContinueProbe(MonotonicTime now);
  void EndProbe(MonotonicTime now);
  void SetLimit(int limit);
  absl::Duration MeanLatency() const;

  Options m_options;
  std::atomic<int> m_limit;
  std::atomic<int> m_in_progress{0};

  std::mutex m_mutex;  ///< guards the window
  MonotonicTime m_window_start;
  absl::Duration m_latency_sum = absl::ZeroDuration();
  int m_samples = 0;
  int m_overloads = 0;
  int m_peak_in_progress = 0;
  absl::Duration m_baseline = absl::InfiniteDuration();
  Phase m_phase = Phase::kNormal;
  MonotonicTime m_next_probe;
  int m_limit_before_probe = 0;
};

}  // namespace berylgauge
