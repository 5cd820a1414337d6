#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "routing/admission_queue.h"
#include "routing/concurrency_limiter.h"
#include "routing/request_policy.h"
#include "state/service_config.h"

namespace berylgauge {

struct ServiceAdmissionOptions {
  AdmissionQueue::Options queue;
  ConcurrencyLimiter::Options limiter;
};

/// What an entry admits for one service: the requests outstanding, the limit of those in progress, and the requests
/// that wait for room. Thread-safe; only the queue takes a lock.
///
/// `Request` is what waits, for example a shared pointer to the caller's request.
template <typename Request>
class ServiceAdmission {
 public:
  struct Refused {
    Request request;
    QueueRefusalReason reason = QueueRefusalReason::kFull;
    absl::Duration retry_after;
  };

  struct Taken {
    std::optional<Request> next;
    std::vector<Refused> refused;
  };

  ServiceAdmission(const ServiceAdmissionOptions& options, MonotonicTime now)
      : m_limiter(options.limiter, now), m_queue(options.queue) {}

  void Configure(const ServiceConfig& config) {
    m_max_outstanding.store(config.max_outstanding, std::memory_order_relaxed);
    m_timeout_ms.store(config.request_timeout_ms, std::memory_order_relaxed);
  }

  /// Applies to a service that is not in the configuration, or no longer.
  void ResetConfig() {
    m_max_outstanding.store(ServiceConfig{}.max_outstanding, std::memory_order_relaxed);
    m_timeout_ms.store(0, std::memory_order_relaxed);
  }

  /// Longest time that a caller may ask for; infinite for a service that is not in the configuration.
  absl::Duration timeout() const {
    const std::int64_t ms = m_timeout_ms.load(std::memory_order_relaxed);
    return ms == 0 ? absl::InfiniteDuration() : absl::Milliseconds(ms);
  }

  /// Counts one more request that is not answered; false if the service has as many as its configuration allows.
  bool TryAdd() {
    if (m_outstanding.fetch_add(1, std::memory_order_acq_rel) < m_max_outstanding.load(std::memory_order_relaxed)) {
      return true;
    }
    m_outstanding.fetch_sub(1, std::memory_order_acq_rel);
    return false;
  }

  void Remove() { m_outstanding.fetch_sub(1, std::memory_order_acq_rel); }

  /// Requests that are not answered, waiting ones included.
  std::int64_t outstanding() const { return m_outstanding.load(std::memory_order_acquire); }

  ConcurrencyLimiter& limiter() { return m_limiter; }

  /// True if requests wait; a new one must not overtake them. May be out of date by the time it is used.
  bool HasWaiting() const { return m_waiting_count.load(std::memory_order_acquire) > 0; }

  /// Lets the request wait for room. Returns the requests that have to leave, possibly this one.
  std::vector<Refused> Offer(Request request, const std::string& caller, Importance importance, MonotonicTime deadline,
                             MonotonicTime now) {
    const absl::MutexLock lock(&m_mutex);
    const std::uint64_t ticket = ++m_last_ticket;
    m_waiting.emplace(ticket, std::move(request));
    const AdmissionQueue::OfferResult result =
        m_queue.Offer({.ticket = ticket, .caller = caller, .importance = importance, .deadline = deadline}, now);
    return Remove(result.refused);
  }

  /// Removes the request whose turn it is. Call it with room for one.
  Taken Take(MonotonicTime now) {
    const absl::MutexLock lock(&m_mutex);
    const AdmissionQueue::TakeResult result = m_queue.Take(now);
    Taken taken{.next = std::nullopt, .refused = Remove(result.refused)};
    if (result.next) {
      taken.next = Extract(result.next->ticket);
      m_waiting_count.store(m_waiting.size(), std::memory_order_release);
    }
    return taken;
  }

  /// Removes what can no longer be answered in time.
  std::vector<Refused> Expire(MonotonicTime now) {
    if (!HasWaiting()) return {};
    const absl::MutexLock lock(&m_mutex);
    return Remove(m_queue.Expire(now));
  }

  void ObserveServiceTime(absl::Duration service_time) {
    // Without waiting requests the estimate is not used.
    if (!HasWaiting()) return;
    const absl::MutexLock lock(&m_mutex);
    m_queue.ObserveServiceTime(service_time);
  }

 private:
  Request Extract(std::uint64_t ticket) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    auto node = m_waiting.extract(ticket);
    return std::move(node.mapped());
  }

  std::vector<Refused> Remove(const std::vector<QueueRefusal>& refusals) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    std::vector<Refused> refused;
    for (const QueueRefusal& refusal : refusals) {
      refused.push_back(
          {.request = Extract(refusal.ticket), .reason = refusal.reason, .retry_after = refusal.retry_after});
    }
    m_waiting_count.store(m_waiting.size(), std::memory_order_release);
    return refused;
  }

  std::atomic<std::int64_t> m_outstanding{0};
  std::atomic<std::int64_t> m_max_outstanding{ServiceConfig{}.max_outstanding};
  std::atomic<std::int64_t> m_timeout_ms{0};
  ConcurrencyLimiter m_limiter;
  std::atomic<std::size_t> m_waiting_count{0};
  absl::Mutex m_mutex;
  AdmissionQueue m_queue ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_map<std::uint64_t, Request> m_waiting ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_last_ticket ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace berylgauge
