#pragma once

#include <absl/time/time.h>

#include <optional>

#include "base/enum_names.h"
#include "base/monotonic_time.h"

namespace berylgauge::workflow {

/// Where a task that runs faster near its data or its gang is placed.
enum class LocalityChoice {
  kNone,  ///< no preference, or no worker has room
  kNear,
  kFar,
  kWait,  ///< for capacity near the data
};

inline constexpr auto kLocalityChoiceNames = MakeEnumNames<LocalityChoice>({
    {LocalityChoice::kNone, "none"},
    {LocalityChoice::kNear, "near"},
    {LocalityChoice::kFar, "far"},
    {LocalityChoice::kWait, "wait"},
});

/// What decided a `LocalityChoice`.
enum class LocalityReason {
  kNoPreference,
  kNoRoom,           ///< no worker has room
  kNearFree,         ///< a near worker has room
  kNearSlower,       ///< a near worker has room, but a far one completes the task earlier
  kCapacityDue,      ///< near capacity is expected soon enough
  kNoCapacity,       ///< no near capacity is expected
  kNotWorthwhile,    ///< it is expected too late to complete the task earlier than on a far worker
  kBeyondBound,      ///< it is expected after the bound on the wait
  kBoundReached,     ///< the bound on the wait is reached
  kCapacityOverdue,  ///< the wait is over, and the capacity did not become available
};

inline constexpr auto kLocalityReasonNames = MakeEnumNames<LocalityReason>({
    {LocalityReason::kNoPreference, "no-preference"},
    {LocalityReason::kNoRoom, "no-room"},
    {LocalityReason::kNearFree, "near-free"},
    {LocalityReason::kNearSlower, "near-slower"},
    {LocalityReason::kCapacityDue, "capacity-due"},
    {LocalityReason::kNoCapacity, "no-capacity"},
    {LocalityReason::kNotWorthwhile, "not-worthwhile"},
    {LocalityReason::kBeyondBound, "beyond-bound"},
    {LocalityReason::kBoundReached, "bound-reached"},
    {LocalityReason::kCapacityOverdue, "capacity-overdue"},
});

/// Factor by which a task takes longer far from its data if the platform's settings name none: the least of the
/// platform's range of 1.5 to 3, so that waits are short where the factor is unknown.
inline constexpr double kDefaultFarX = 1.5;

struct LocalityPolicyOptions {
  /// A task takes this many times as long on a worker outside the rack of its data or of its gang; at least 1.
  double far_x = kDefaultFarX;
  /// The wait ends later than the expected time of the capacity by this share of the expected wait, because the tasks
  /// of one step differ by about 30%, and their estimates by more.
  double wait_margin = 0.5;
};

/// What the decision on one waiting task, or one gang, depends on.
struct LocalityQuery {
  absl::Duration run_time;           ///< near the data, at full speed
  std::optional<double> near_speed;  ///< expected on the best near worker with room, 0 to 1; nothing if none has room
  std::optional<double> far_speed;   ///< the same of the far workers
  /// When near capacity is expected for this task, after the tasks that are ahead of it.
  MonotonicTime capacity_at = InfiniteFuture();
  double success_rate = 1;                      ///< share of recent waits for this rack that ended near
  absl::Duration waited;                        ///< for near capacity, since it was first decided to wait
  std::optional<MonotonicTime> wait_until;      ///< as decided first; nothing before the first wait
  MonotonicTime wait_limit = InfiniteFuture();  ///< by which the task must be placed if there is any room
};

struct LocalityDecision {
  LocalityChoice choice = LocalityChoice::kNone;
  LocalityReason reason = LocalityReason::kNoPreference;
  MonotonicTime wait_until =
      InfiniteFuture();  ///< with `kWait`: when the task is placed far if no near worker has room
};

/// Decides whether a task waits for capacity near its data. Pure: it depends on its arguments only.
class LocalityPolicy {
 public:
  explicit LocalityPolicy(const LocalityPolicyOptions& options) : m_options(options) {}

  LocalityDecision Decide(const LocalityQuery& query, MonotonicTime now) const;

  /// Bound on the total wait for near capacity: no wait gains more than this.
  absl::Duration LongestWait(absl::Duration run_time) const { return (m_options.far_x - 1) * run_time; }

 private:
  LocalityDecision DecideWait(const LocalityQuery& query, MonotonicTime now) const;

  LocalityPolicyOptions m_options;
};

}  // namespace berylgauge::workflow
