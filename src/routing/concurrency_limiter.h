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
/// baseline is the lowest mean of a window and creeps up by `baseline_growth` in each window, so that the limit
/// recovers after a lasting change of the latency. Thread-safe; acquiring takes no lock.
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
    double baseline_growth = 0.01;
  };

  ConcurrencyLimiter(Options options, MonotonicTime now);

  /// Counts one more request in progress if the limit permits it.
  bool TryAcquire();

  /// Ends a request that was acquired.
  void Release(LoadSignal signal, absl::Duration latency, MonotonicTime now);

  int limit() const { return m_limit.load(std::memory_order_relaxed); }
  int in_progress() const { return m_in_progress.load(std::memory_order_acquire); }

 private:
  void CloseWindow(MonotonicTime now);

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
};

}  // namespace berylgauge
