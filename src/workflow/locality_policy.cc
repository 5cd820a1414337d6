#include "workflow/locality_policy.h"

#include <algorithm>

namespace berylgauge::workflow {
namespace {

/// Least speed that is used as a divisor, so that run times stay finite; a run at a lower speed is at a standstill.
constexpr double kLeastSpeed = 0.05;

LocalityDecision Far(LocalityReason reason) { return {.choice = LocalityChoice::kFar, .reason = reason}; }

}  // namespace

LocalityDecision LocalityPolicy::Decide(const LocalityQuery& query, MonotonicTime now) const {
  if (!query.near_speed && !query.far_speed) {
    return {.choice = LocalityChoice::kNone, .reason = LocalityReason::kNoRoom};
  }
  if (!query.near_speed) return DecideWait(query, now);
  const double near_factor = 1 / std::max(*query.near_speed, kLeastSpeed);
  const bool is_far_faster = query.far_speed && m_options.far_x / std::max(*query.far_speed, kLeastSpeed) < near_factor;
  if (!is_far_faster) return {.choice = LocalityChoice::kNear, .reason = LocalityReason::kNearFree};
  LocalityDecision decision = DecideWait(query, now);
  if (decision.reason == LocalityReason::kNoCapacity) decision.reason = LocalityReason::kNearSlower;
  return decision;
}

LocalityDecision LocalityPolicy::DecideWait(const LocalityQuery& query, MonotonicTime now) const {
  if (query.wait_until && now >= *query.wait_until) return Far(LocalityReason::kCapacityOverdue);
  const MonotonicTime limit = std::min(query.wait_limit, now - query.waited + LongestWait(query.run_time));
  if (now >= limit) return Far(LocalityReason::kBoundReached);
  // Capacity that is expected now, although no near worker takes the task, is not usable for it.
  if (query.capacity_at == InfiniteFuture() || query.capacity_at <= now) return Far(LocalityReason::kNoCapacity);
  if (query.capacity_at > limit) return Far(LocalityReason::kBeyondBound);
  const absl::Duration wait = query.capacity_at - now;
  const absl::Duration far_time = query.run_time * (m_options.far_x / std::max(*query.far_speed, kLeastSpeed));
  // A wait without success takes its margin, too, and is followed by a run on a far worker.
  const absl::Duration cost = wait * (1 + (1 - query.success_rate) * m_options.wait_margin);
  const absl::Duration gain = query.success_rate * (far_time - query.run_time);
  if (cost >= gain) return Far(LocalityReason::kNotWorthwhile);
  const MonotonicTime until = query.wait_until.value_or(query.capacity_at + m_options.wait_margin * wait);
  return {
      .choice = LocalityChoice::kWait, .reason = LocalityReason::kCapacityDue, .wait_until = std::min(until, limit)};
}

}  // namespace berylgauge::workflow
