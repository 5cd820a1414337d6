#pragma once

#include <absl/time/time.h>

#include "base/monotonic_time.h"

namespace berylgauge {

/// Decides when to ping a silent peer and when to give it up.
///
/// A peer from which nothing arrived for `ping_after` is sent a ping; it is lost when nothing arrived for `timeout`.
/// The peer always has `timeout - ping_after` to answer a ping, also when this process itself was paused.
class KeepaliveMonitor {
 public:
  enum class Action { kNone, kSendPing, kPeerLost };

  KeepaliveMonitor(absl::Duration timeout, absl::Duration ping_after, MonotonicTime now)
      : m_timeout(timeout), m_ping_after(ping_after), m_last_received(now) {}

  void OnBytesReceived(MonotonicTime now) {
    m_last_received = now;
    m_ping_sent_at = InfinitePast();
  }

  /// What to do at `now`. After `kSendPing` the ping counts as sent.
  Action Check(MonotonicTime now);

  /// When `Check` is to be called next.
  MonotonicTime NextCheck() const;

 private:
  bool IsPingOutstanding() const { return m_ping_sent_at != InfinitePast(); }
  MonotonicTime LostAt() const;

  absl::Duration m_timeout;
  absl::Duration m_ping_after;
  MonotonicTime m_last_received;
  MonotonicTime m_ping_sent_at = InfinitePast();
};

}  // namespace berylgauge
