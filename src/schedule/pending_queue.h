#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "schedule/attempt_key.h"
#include "schedule/placement.h"

namespace berylgauge {

/// A task that waits for a worker.
struct PendingTask {
  PlacementRequest request;  ///< `deadline_slack` is set by the queue
  /// Deadline minus the expected run time; infinite without a deadline.
  MonotonicTime latest_start = InfiniteFuture();
  /// Order of arrival, set by the queue at the first insertion, so that a deferred task keeps its place.
  std::optional<std::uint64_t> arrival;
};

/// How much time is left until the latest start. Bands instead of exact times, so that teams share fairly within one.
enum class SlackBand {
  kOverdue,
  kMinutes,  ///< less than 10 minutes
  kHours,    ///< less than 4 hours
  kLong,
  kNone,  ///< no deadline
};

inline constexpr auto kSlackBandNames = MakeEnumNames<SlackBand>({
    {SlackBand::kOverdue, "overdue"},
    {SlackBand::kMinutes, "minutes"},
    {SlackBand::kHours, "hours"},
    {SlackBand::kLong, "long"},
    {SlackBand::kNone, "none"},
});

SlackBand SlackBandOf(MonotonicTime latest_start, MonotonicTime now);

/// Why a task waits although it could be next.
enum class WaitReason {
  kQueued,    ///< others come first
  kDeferred,  ///< tried without success; tried again later
};

inline constexpr auto kWaitReasonNames = MakeEnumNames<WaitReason>({
    {WaitReason::kQueued, "queued"},
    {WaitReason::kDeferred, "deferred"},
});

/// Orders the tasks that wait: urgent first, then by importance, slack band, share of the team, latest start and age.
///
/// `Pop` compares the first task of each team at the highest importance, so it takes O(teams + log tasks).
class PendingQueue {
 public:
  /// Part of its quota that a team uses, for example `Placer::TeamShare`.
  using ShareOf = absl::FunctionRef<double(const TeamId&)>;

  /// Adds a task; one with the same key is replaced.
  void Push(PendingTask task);

  /// Adds a task that is not considered before `until`.
  void Defer(PendingTask task, MonotonicTime until);

  /// Makes tasks eligible that were deferred until `until` or earlier, for example because room has become free.
  void Release(MonotonicTime until);

  /// Removes a task, for example when it was cancelled. Returns false if it does not wait.
  bool Remove(const AttemptKey& key);

  /// Removes and returns the task that is next, or nothing.
  std::optional<PendingTask> Pop(MonotonicTime now, ShareOf share_of);

  std::optional<WaitReason> Explain(const AttemptKey& key) const;
  /// When the first deferred task becomes due; infinite if there is none.
  MonotonicTime NextDue() const;
  std::size_t size() const { return m_tasks.size(); }
  bool empty() const { return m_tasks.empty(); }

 private:
  using Sequence = std::uint64_t;
  /// Latest start and order of arrival.
  using Place = std::tuple<absl::Duration, Sequence>;

  struct Level {
    bool urgent = false;
    int importance = 0;
    /// The first in order is the most important.
    friend bool operator<(const Level& a, const Level& b) {
      return std::tie(b.urgent, b.importance) < std::tie(a.urgent, a.importance);
    }
  };

  struct Waiting {
    PendingTask task;
    Sequence sequence = 0;
    std::optional<MonotonicTime> deferred_until;
  };

  static Level LevelOf(const PendingTask& task);
  void Insert(PendingTask task, std::optional<MonotonicTime> deferred_until);
  void Enqueue(const AttemptKey& key, const Waiting& waiting);

  std::map<Level, std::map<TeamId, std::map<Place, AttemptKey>>> m_levels;
  std::set<std::pair<absl::Duration, AttemptKey>> m_deferred;
  absl::flat_hash_map<AttemptKey, Waiting> m_tasks;
  Sequence m_next_sequence = 0;
};

}  // namespace berylgauge
