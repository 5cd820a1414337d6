#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <limits>

#include "base/monotonic_time.h"

namespace berylgauge {

/// What an entry counts and measures of one endpoint process, shared by all routing tables that contain it.
///
/// All members are atomics: many threads read and write them without a lock. A reader may see two of them from
/// different moments, which only makes an estimate less exact; the count of outstanding requests is exact.
class EndpointState {
 public:
  /// Counts one more outstanding request of this entry if there are fewer than `limit`.
  bool TryAcquire(int limit);

  /// Ends one outstanding request.
  void Release();

  /// Outstanding requests of this entry.
  int outstanding() const { return m_outstanding.load(std::memory_order_acquire); }

  /// Stores the agent's report; `reported` counts the requests of all entries.
  void StoreReport(int reported, MonotonicTime now);

  /// Time of the last report.
  MonotonicTime last_heard() const { return LoadTime(m_last_heard_ns); }

  /// Outstanding requests of other entries: those in the agent's last report, weighted from 1 when it arrived down to 0
  /// at the age `horizon`.
  double EstimatedOthers(MonotonicTime now, absl::Duration horizon) const;

  // Health, written by `OutlierDetector`.
  bool IsEjected(MonotonicTime now) const { return now < ejected_until(); }
  /// End of the last ejection; the infinite past if there was none.
  MonotonicTime ejected_until() const { return LoadTime(m_ejected_until_ns); }
  int ejections() const { return m_ejections.load(std::memory_order_relaxed); }
  int consecutive_failures() const { return m_consecutive_failures.load(std::memory_order_relaxed); }
  absl::Duration mean_latency() const;
  int latency_samples() const { return m_latency_samples.load(std::memory_order_relaxed); }

  /// Counts a failure and returns the number of consecutive ones.
  int AddFailure() { return m_consecutive_failures.fetch_add(1, std::memory_order_relaxed) + 1; }
  void ClearFailures() { m_consecutive_failures.store(0, std::memory_order_relaxed); }
  /// Includes `latency` in an exponentially weighted mean.
  void AddLatency(absl::Duration latency);
  void ClearLatencySamples() { m_latency_samples.store(0, std::memory_order_relaxed); }
  /// Ejects until `until` and forgets the measurements, so that the endpoint is judged anew on return.
  void Eject(MonotonicTime until, int ejections);
  void SetEjections(int ejections) { m_ejections.store(ejections, std::memory_order_relaxed); }

 private:
  static constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::min();

  static MonotonicTime LoadTime(const std::atomic<std::int64_t>& ns);

  std::atomic<int> m_outstanding{0};
  std::atomic<int> m_reported_others{0};
  std::atomic<std::int64_t> m_last_heard_ns{kNever};
  std::atomic<std::int64_t> m_ejected_until_ns{kNever};
  std::atomic<std::int64_t> m_mean_latency_ns{0};
  std::atomic<int> m_latency_samples{0};
  std::atomic<int> m_consecutive_failures{0};
  std::atomic<int> m_ejections{0};
};

}  // namespace berylgauge
