#pragma once

#include <atomic>
#include <cstdint>

#include "base/monotonic_time.h"

namespace berylgauge {

/// Token bucket that bounds retries to a percentage of the requests plus a small minimum per second. Thread-safe.
///
/// Without it, retries multiply the load of a service that is already failing.
class RetryBudget {
 public:
  struct Options {
    int percent = 10;  ///< retries per 100 requests
    int min_retries_per_second = 3;
    int max_retries = 100;  ///< that can be saved up
  };

  /// Starts with one second's minimum.
  RetryBudget(Options options, MonotonicTime now);

  /// Counts a caller's request; not to be called for its retries.
  void AddRequest();

  /// Takes the token for one retry; false if there is none.
  bool TryTakeRetry(MonotonicTime now);

  /// Retries that could be made now, without the refill since the last call.
  double balance() const;

 private:
  void Refill(MonotonicTime now);
  void Deposit(std::int64_t micro_tokens);

  Options m_options;
  std::atomic<std::int64_t> m_micro_tokens;  ///< millionths of a retry
  std::atomic<std::int64_t> m_refilled_ns;   ///< time up to which the minimum was added
};

}  // namespace berylgauge
