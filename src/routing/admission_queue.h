#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/monotonic_time.h"
#include "routing/request_policy.h"

namespace berylgauge {

/// A caller's request that waits for room at an endpoint.
struct WaitingRequest {
  std::uint64_t ticket = 0;  ///< chosen by the user of the queue, unique among the waiting requests
  std::string caller;        ///< requests of one caller share its turns
  Importance importance = Importance::kNormal;
  MonotonicTime deadline;
};

enum class QueueRefusalReason {
  kFull,       ///< the queue is full of requests that are at least as important
  kDisplaced,  ///< it waited and made room for another request
  kTooLate,    ///< it could not be answered before its deadline
  kExpired,    ///< its deadline passed
};

inline constexpr auto kQueueRefusalReasonNames = MakeEnumNames<QueueRefusalReason>({
    {QueueRefusalReason::kFull, "full"},
    {QueueRefusalReason::kDisplaced, "displaced"},
    {QueueRefusalReason::kTooLate, "too-late"},
    {QueueRefusalReason::kExpired, "expired"},
});

/// A request that leaves the queue unanswered; it was not run.
struct QueueRefusal {
  std::uint64_t ticket = 0;
  QueueRefusalReason reason = QueueRefusalReason::kFull;
  absl::Duration retry_after;  ///< whole seconds, for the header Retry-After
};

/// The requests of one service that wait for room, bounded. Not thread-safe.
///
/// Callers take turns, whatever the importance of their requests, so that a flood of one caller delays another one by
/// at most one request for each turn. Within a caller the most important request goes first, then the oldest. When the
/// queue is full, the least important request makes room, and among equal ones that of the caller with the most
/// waiting; a caller's first few requests (`ReservedPlaces`) are never displaced by another caller.
class AdmissionQueue {
 public:
  struct Options {
    std::size_t capacity = 256;
    int reserved_percent = 25;                             ///< of the capacity, shared equally by the callers
    absl::Duration min_remaining = absl::Milliseconds(5);  ///< with less time left a request is expired
    absl::Duration max_retry_after = absl::Seconds(30);
  };

  struct OfferResult {
    bool is_queued = false;
    std::vector<QueueRefusal> refused;  ///< the offered request unless it was queued, and others that had to leave
  };

  struct TakeResult {
    std::optional<WaitingRequest> next;
    std::vector<QueueRefusal> refused;
  };

  explicit AdmissionQueue(Options options) : m_options(options) {}

  /// Queues the request or refuses it, possibly in favour of or at the cost of another one.
  OfferResult Offer(const WaitingRequest& request, MonotonicTime now);

  /// Removes the request whose turn it is. Call it when there is room for one.
  TakeResult Take(MonotonicTime now);

  /// Removes a request whose caller went away; false if it does not wait.
  bool Cancel(std::uint64_t ticket, MonotonicTime now);

  /// Removes what can no longer be answered in time.
  std::vector<QueueRefusal> Expire(MonotonicTime now);

  /// Includes the time that a request took at its endpoint in the estimate for later ones.
  void ObserveServiceTime(absl::Duration service_time);

  /// Expected wait of a request that were offered now; zero until the rate of service is known.
  absl::Duration ExpectedWait(const std::string& caller, Importance importance, MonotonicTime now) const;

  /// Places that no other caller can take from each of `callers` callers; 0 if there are too many callers.
  std::size_t ReservedPlaces(std::size_t callers) const;

  std::size_t size() const { return m_size; }
  std::size_t WaitingOf(const std::string& caller) const;

 private:
  struct CallerQueue {
    std::array<std::deque<WaitingRequest>, kImportanceNames.entries().size()> by_importance;  ///< oldest first
    std::size_t size = 0;
  };

  struct Victim {
    std::string caller;
    Importance importance = Importance::kLow;
    std::size_t waiting = 0;
  };

  static std::deque<WaitingRequest>& QueueOf(CallerQueue& caller, Importance importance);

  absl::Duration Interval(MonotonicTime now) const;
  absl::Duration RetryAfter(MonotonicTime now) const;
  std::optional<Victim> FindVictim(const WaitingRequest& request) const;
  bool MayDisplace(const WaitingRequest& request, const Victim& victim) const;
  QueueRefusal Displace(const Victim& victim, MonotonicTime now);
  void RemoveIfEmpty(const std::string& caller, MonotonicTime now);

  Options m_options;
  std::size_t m_size = 0;
  std::map<std::string, CallerQueue> m_callers;  ///< callers with waiting requests
  std::deque<std::string> m_turns;               ///< these callers, next one first

  absl::Duration m_mean_interval = absl::ZeroDuration();  ///< between two requests taken while others wait
  absl::Duration m_mean_service_time = absl::ZeroDuration();
  MonotonicTime m_busy_since;  ///< last request taken, or the first one queued after the queue was empty
};

}  // namespace berylgauge
