#include "routing/admission_queue.h"

#include <algorithm>

namespace berylgauge {
namespace {

/// Weight of a new measurement in the means: 1/8, so that about the last 20 count.
constexpr int kMeanDivisor = 8;

void Include(absl::Duration& mean, absl::Duration sample) {
  mean = mean == absl::ZeroDuration() ? sample : mean + (sample - mean) / kMeanDivisor;
}

}  // namespace

std::deque<WaitingRequest>& AdmissionQueue::QueueOf(CallerQueue& caller, Importance importance) {
  return caller.by_importance[static_cast<std::size_t>(importance)];
}

std::size_t AdmissionQueue::WaitingOf(const std::string& caller) const {
  const auto it = m_callers.find(caller);
  return it == m_callers.end() ? 0 : it->second.size;
}

std::size_t AdmissionQueue::ReservedPlaces(std::size_t callers) const {
  const std::size_t reserved = m_options.capacity * static_cast<std::size_t>(m_options.reserved_percent) / 100;
  return reserved / std::max<std::size_t>(1, callers);
}

void AdmissionQueue::ObserveServiceTime(absl::Duration service_time) { Include(m_mean_service_time, service_time); }

absl::Duration AdmissionQueue::Interval(MonotonicTime now) const {
  if (m_size == 0) return m_mean_interval;
  // A server that stopped taking requests shows in the present interval before it shows in the mean.
  return std::max(m_mean_interval, now - m_busy_since);
}

absl::Duration AdmissionQueue::RetryAfter(MonotonicTime now) const {
  const absl::Duration drain = Interval(now) * static_cast<std::int64_t>(m_size);
  return std::clamp(absl::Ceil(drain, absl::Seconds(1)), absl::Seconds(1), m_options.max_retry_after);
}

absl::Duration AdmissionQueue::ExpectedWait(const std::string& caller, Importance importance, MonotonicTime now) const {
  std::size_t own_ahead = 0;
  const auto own = m_callers.find(caller);
  if (own != m_callers.end()) {
    for (std::size_t i = static_cast<std::size_t>(importance); i < own->second.by_importance.size(); ++i) {
      own_ahead += own->second.by_importance[i].size();
    }
  }
  // Before this request's turn every other caller has one turn for each of the caller's own requests ahead, and one.
  std::size_t ahead = own_ahead;
  for (const auto& [name, queue] : m_callers) {
    if (name != caller) ahead += std::min(queue.size, own_ahead + 1);
  }
  return Interval(now) * static_cast<std::int64_t>(ahead + 1);
}

bool AdmissionQueue::MayDisplace(const WaitingRequest& request, const Victim& victim) const {
  const std::size_t own = WaitingOf(request.caller);
  const std::size_t callers = m_callers.size() + (own == 0 ? 1 : 0);
  if (own < ReservedPlaces(callers)) return true;
  if (victim.importance != request.importance) return victim.importance < request.importance;
  return victim.waiting > own + 1;
}

std::optional<AdmissionQueue::Victim> AdmissionQueue::FindVictim(const WaitingRequest& request) const {
  const std::size_t own = WaitingOf(request.caller);
  const std::size_t reserved = ReservedPlaces(m_callers.size() + (own == 0 ? 1 : 0));
  std::optional<Victim> victim;
  for (const auto& [name, queue] : m_callers) {
    // A caller with fewer than its reserved places takes one from the others, not from itself.
    const bool is_protected = name == request.caller ? own < reserved : queue.size <= reserved;
    if (is_protected) continue;
    std::size_t lowest = 0;
    while (queue.by_importance[lowest].empty()) ++lowest;
    const Victim candidate{.caller = name, .importance = static_cast<Importance>(lowest), .waiting = queue.size};
    const bool is_better = !victim || candidate.importance < victim->importance ||
                           (candidate.importance == victim->importance && candidate.waiting > victim->waiting);
    if (is_better) victim = candidate;
  }
  if (!victim || !MayDisplace(request, *victim)) return std::nullopt;
  return victim;
}

QueueRefusal AdmissionQueue::Displace(const Victim& victim, MonotonicTime now) {
  CallerQueue& queue = m_callers[victim.caller];
  std::deque<WaitingRequest>& requests = QueueOf(queue, victim.importance);
  const QueueRefusal refusal{
      .ticket = requests.back().ticket, .reason = QueueRefusalReason::kDisplaced, .retry_after = RetryAfter(now)};
  requests.pop_back();
  --queue.size;
  --m_size;
  RemoveIfEmpty(victim.caller, now);
  return refusal;
}

void AdmissionQueue::RemoveIfEmpty(const std::string& caller, MonotonicTime now) {
  const auto it = m_callers.find(caller);
  if (it == m_callers.end() || it->second.size > 0) return;
  m_callers.erase(it);
  std::erase(m_turns, caller);
  if (m_size == 0) m_busy_since = now;
}

AdmissionQueue::OfferResult AdmissionQueue::Offer(const WaitingRequest& request, MonotonicTime now) {
  OfferResult result{.is_queued = false, .refused = Expire(now)};
  const auto refuse = [&](QueueRefusalReason reason) {
    result.refused.push_back({.ticket = request.ticket, .reason = reason, .retry_after = RetryAfter(now)});
    return result;
  };
  const absl::Duration remaining = request.deadline - now;
  if (remaining < m_options.min_remaining) return refuse(QueueRefusalReason::kExpired);
  const absl::Duration wait = ExpectedWait(request.caller, request.importance, now);
  if (wait + m_mean_service_time > remaining) return refuse(QueueRefusalReason::kTooLate);
  if (m_size >= m_options.capacity) {
    const std::optional<Victim> victim = FindVictim(request);
    if (!victim) return refuse(QueueRefusalReason::kFull);
    result.refused.push_back(Displace(*victim, now));
  }
  if (m_size == 0) m_busy_since = now;
  CallerQueue& queue = m_callers[request.caller];
  if (queue.size == 0) m_turns.push_back(request.caller);
  QueueOf(queue, request.importance).push_back(request);
  ++queue.size;
  ++m_size;
  result.is_queued = true;
  return result;
}

AdmissionQueue::TakeResult AdmissionQueue::Take(MonotonicTime now) {
  TakeResult result{.next = std::nullopt, .refused = Expire(now)};
  if (m_size == 0) return result;
  Include(m_mean_interval, now - m_busy_since);
  m_busy_since = now;
  const std::string caller = m_turns.front();
  m_turns.pop_front();
  CallerQueue& queue = m_callers[caller];
  for (std::size_t i = queue.by_importance.size(); i-- > 0;) {
    std::deque<WaitingRequest>& requests = queue.by_importance[i];
    if (requests.empty()) continue;
    result.next = std::move(requests.front());
    requests.pop_front();
    break;
  }
  --queue.size;
  --m_size;
  if (queue.size > 0) {
    m_turns.push_back(caller);
  } else {
    RemoveIfEmpty(caller, now);
  }
  return result;
}

bool AdmissionQueue::Cancel(std::uint64_t ticket, MonotonicTime now) {
  for (auto& [name, queue] : m_callers) {
    for (std::deque<WaitingRequest>& requests : queue.by_importance) {
      const auto it = std::find_if(requests.begin(), requests.end(),
                                   [&](const WaitingRequest& request) { return request.ticket == ticket; });
      if (it == requests.end()) continue;
      requests.erase(it);
      --queue.size;
      --m_size;
      RemoveIfEmpty(std::string(name), now);
      return true;
    }
  }
  return false;
}

std::vector<QueueRefusal> AdmissionQueue::Expire(MonotonicTime now) {
  std::vector<QueueRefusal> refused;
  const absl::Duration retry_after = RetryAfter(now);
  std::vector<std::string> emptied;
  for (auto& [name, queue] : m_callers) {
    for (std::deque<WaitingRequest>& requests : queue.by_importance) {
      const std::size_t removed = std::erase_if(requests, [&](const WaitingRequest& request) {
        const bool is_expired = request.deadline - now < m_options.min_remaining;
        if (is_expired) {
          refused.push_back(
              {.ticket = request.ticket, .reason = QueueRefusalReason::kExpired, .retry_after = retry_after});
        }
        return is_expired;
      });
      queue.size -= removed;
      m_size -= removed;
    }
    if (queue.size == 0) emptied.push_back(name);
  }
  for (const std::string& caller : emptied) RemoveIfEmpty(caller, now);
  return refused;
}

}  // namespace berylgauge
