#include "routing/retry_budget.h"

#include <algorithm>

namespace berylgauge {
namespace {

constexpr std::int64_t kMicroTokensPerRetry = 1'000'000;
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
/// Finest step of the refill. Shorter steps would round the minimum down to nothing.
constexpr std::int64_t kMinRefillStepNs = 1'000'000;

std::int64_t ToNanoseconds(MonotonicTime time) { return absl::ToInt64Nanoseconds(time.SinceBoot()); }

}  // namespace

RetryBudget::RetryBudget(Options options, MonotonicTime now)
    : m_options(options),
      m_micro_tokens(options.min_retries_per_second * kMicroTokensPerRetry),
      m_refilled_ns(ToNanoseconds(now)) {}

void RetryBudget::Deposit(std::int64_t micro_tokens) {
  const std::int64_t max = m_options.max_retries * kMicroTokensPerRetry;
  std::int64_t current = m_micro_tokens.load(std::memory_order_relaxed);
  std::int64_t next = 0;
  do {
    next = std::min(max, current + micro_tokens);
  } while (!m_micro_tokens.compare_exchange_weak(current, next, std::memory_order_relaxed));
}

void RetryBudget::AddRequest() { Deposit(m_options.percent * kMicroTokensPerRetry / 100); }

void RetryBudget::Refill(MonotonicTime now) {
  const std::int64_t now_ns = ToNanoseconds(now);
  std::int64_t refilled = m_refilled_ns.load(std::memory_order_relaxed);
  if (now_ns - refilled < kMinRefillStepNs) return;
  // Only the thread that moves the time forward adds the tokens for the interval.
  if (!m_refilled_ns.compare_exchange_strong(refilled, now_ns, std::memory_order_relaxed)) return;
  // More than the bucket holds is never added, so an interval of days cannot overflow the product.
  const std::int64_t max_elapsed = std::int64_t{3600} * kNanosecondsPerSecond;
  const std::int64_t elapsed_us = std::min(now_ns - refilled, max_elapsed) / 1000;
  Deposit(elapsed_us * m_options.min_retries_per_second);
}

bool RetryBudget::TryTakeRetry(MonotonicTime now) {
  Refill(now);
  std::int64_t current = m_micro_tokens.load(std::memory_order_relaxed);
  while (current >= kMicroTokensPerRetry) {
    if (m_micro_tokens.compare_exchange_weak(current, current - kMicroTokensPerRetry, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

double RetryBudget::balance() const {
  return static_cast<double>(m_micro_tokens.load(std::memory_order_relaxed)) / kMicroTokensPerRetry;
}

}  // namespace berylgauge
