#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <memory>
#include <vector>

#include "base/monotonic_time.h"
#include "control/partition_tail.h"
#include "transport/event_loop.h"

namespace berylgauge::control {

struct SharedReadOptions {
  /// Least time between two reads. All entries together may make 2,000 reading calls a second at the smallest sites,
  /// and anyone may ask for ids that are unknown.
  absl::Duration interval = absl::Milliseconds(20);
  absl::Duration timeout;  ///< of a read
};

/// Joins reads to the end of a partition that are asked for in quick succession. Used on the loop's thread.
class SharedRead {
 public:
  SharedRead(EventLoop& loop, PartitionTail& tail, const SharedReadOptions& options);
  ~SharedRead();

  /// As `PartitionTail::ReadToEnd`, by a read that begins after this call and at most `interval` later.
  void Request(absl::AnyInvocable<void(bool)> callback);

 private:
  void Begin();

  EventLoop& m_loop;
  PartitionTail& m_tail;
  const SharedReadOptions m_options;
  std::vector<absl::AnyInvocable<void(bool)>> m_waiting;  ///< for the next read
  bool m_is_due = false;                                  ///< the next read is scheduled
  MonotonicTime m_begun_at = InfinitePast();
  EventLoop::TimerId m_timer;
  std::shared_ptr<bool> m_alive;
};

}  // namespace berylgauge::control
