#pragma once

#include <absl/container/btree_map.h>
#include <absl/functional/any_invocable.h>

#include <cstdint>
#include <utility>

#include "base/monotonic_time.h"

namespace berylgauge {

/// One-shot timers in the order of their deadlines; used by one thread.
///
/// A cancelled timer is removed at once, so that the many request timers which never expire hold no memory.
class TimerQueue {
 public:
  using Task = absl::AnyInvocable<void()>;

  /// Identifies a timer; a default-constructed one names none.
  struct Id {
    MonotonicTime deadline;
    std::uint64_t sequence = 0;

    bool valid() const { return sequence != 0; }
    friend bool operator<(const Id& a, const Id& b) {
      return a.deadline != b.deadline ? a.deadline < b.deadline : a.sequence < b.sequence;
    }
  };

  Id Add(MonotonicTime deadline, Task task);

  /// Removes the timer and resets `id`; does nothing if it has expired or `id` is not valid.
  void Cancel(Id& id);

  /// Runs the timers due at `now` in order of deadline. Timers added meanwhile wait for the next call.
  void RunDue(MonotonicTime now);

  /// The earliest deadline, or `InfiniteFuture()`.
  MonotonicTime NextDeadline() const;

  bool empty() const { return m_timers.empty(); }

 private:
  absl::btree_map<Id, Task> m_timers;
  std::uint64_t m_last_sequence = 0;
};

}  // namespace berylgauge
