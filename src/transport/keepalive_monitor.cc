#include "transport/keepalive_monitor.h"

#include <algorithm>

namespace berylgauge {

KeepaliveMonitor::Action KeepaliveMonitor::Check(MonotonicTime now) {
  if (IsPingOutstanding()) return now < LostAt() ? Action::kNone : Action::kPeerLost;
  if (now < m_last_received + m_ping_after) return Action::kNone;
  m_ping_sent_at = now;
  return Action::kSendPing;
}

MonotonicTime KeepaliveMonitor::NextCheck() const {
  return IsPingOutstanding() ? LostAt() : m_last_received + m_ping_after;
}

MonotonicTime KeepaliveMonitor::LostAt() const {
  return std::max(m_last_received + m_timeout, m_ping_sent_at + (m_timeout - m_ping_after));
}

}  // namespace berylgauge
