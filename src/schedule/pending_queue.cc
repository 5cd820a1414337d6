#include "schedule/pending_queue.h"

#include <utility>

namespace berylgauge {
namespace {

constexpr absl::Duration kMinutesBand = absl::Minutes(10);
constexpr absl::Duration kHoursBand = absl::Hours(4);

}  // namespace

SlackBand SlackBandOf(MonotonicTime latest_start, MonotonicTime now) {
  if (latest_start == InfiniteFuture()) return SlackBand::kNone;
  const absl::Duration slack = latest_start - now;
  if (slack <= absl::ZeroDuration()) return SlackBand::kOverdue;
  if (slack < kMinutesBand) return SlackBand::kMinutes;
  if (slack < kHoursBand) return SlackBand::kHours;
  return SlackBand::kLong;
}

PendingQueue::Level PendingQueue::LevelOf(const PendingTask& task) {
  return {.urgent = task.request.urgent, .importance = task.request.importance};
}

void PendingQueue::Push(PendingTask task) { Insert(std::move(task), std::nullopt); }

void PendingQueue::Defer(PendingTask task, MonotonicTime until) { Insert(std::move(task), until); }

void PendingQueue::Insert(PendingTask task, std::optional<MonotonicTime> deferred_until) {
  const AttemptKey key = task.request.key;
  Remove(key);
  if (!task.arrival.has_value()) task.arrival = m_next_sequence++;
  const Sequence sequence = *task.arrival;
  const auto where =
      m_tasks.emplace(key, Waiting{.task = std::move(task), .sequence = sequence, .deferred_until = deferred_until});
  if (deferred_until.has_value()) {
    m_deferred.emplace(deferred_until->SinceBoot(), key);
  } else {
    Enqueue(key, where.first->second);
  }
}

void PendingQueue::Enqueue(const AttemptKey& key, const Waiting& waiting) {
  const PendingTask& task = waiting.task;
  m_levels[LevelOf(task)][task.request.team].emplace(Place(task.latest_start.SinceBoot(), waiting.sequence), key);
}

bool PendingQueue::Remove(const AttemptKey& key) {
  const auto found = m_tasks.find(key);
  if (found == m_tasks.end()) return false;
  const Waiting& waiting = found->second;
  if (waiting.deferred_until.has_value()) {
    m_deferred.erase({waiting.deferred_until->SinceBoot(), key});
  } else {
    const auto level = m_levels.find(LevelOf(waiting.task));
    const auto team = level->second.find(waiting.task.request.team);
    team->second.erase(Place(waiting.task.latest_start.SinceBoot(), waiting.sequence));
    if (team->second.empty()) level->second.erase(team);
    if (level->second.empty()) m_levels.erase(level);
  }
  m_tasks.erase(found);
  return true;
}

void PendingQueue::Release(MonotonicTime until) {
  while (!m_deferred.empty() && m_deferred.begin()->first <= until.SinceBoot()) {
    const AttemptKey key = m_deferred.begin()->second;
    m_deferred.erase(m_deferred.begin());
    Waiting& waiting = m_tasks.at(key);
    waiting.deferred_until.reset();
    Enqueue(key, waiting);
  }
}

std::optional<PendingTask> PendingQueue::Pop(MonotonicTime now, ShareOf share_of) {
  Release(now);
  if (m_levels.empty()) return std::nullopt;
  std::optional<std::tuple<SlackBand, double, Place>> best_rank;
  AttemptKey best;
  for (const auto& [team, queue] : m_levels.begin()->second) {
    const auto& [place, key] = *queue.begin();
    const SlackBand band = SlackBandOf(MonotonicTime(std::get<0>(place)), now);
    if (best_rank.has_value() && band > std::get<0>(*best_rank)) continue;
    const std::tuple rank(band, share_of(team), place);
    if (best_rank.has_value() && !(rank < *best_rank)) continue;
    best_rank = rank;
    best = key;
  }
  PendingTask task = m_tasks.at(best).task;
  Remove(best);
  task.request.deadline_slack = task.latest_start - now;
  return task;
}

std::optional<WaitReason> PendingQueue::Explain(const AttemptKey& key) const {
  const auto found = m_tasks.find(key);
  if (found == m_tasks.end()) return std::nullopt;
  return found->second.deferred_until.has_value() ? WaitReason::kDeferred : WaitReason::kQueued;
}

MonotonicTime PendingQueue::NextDue() const {
  return m_deferred.empty() ? InfiniteFuture() : MonotonicTime(m_deferred.begin()->first);
}

}  // namespace berylgauge
