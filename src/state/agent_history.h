#pragma once

#include <deque>

#include "base/ids.h"

namespace berylgauge {

/// The processes that were the agent of one worker, in the order of their registration in the log.
class AgentHistory {
 public:
  /// Makes `incarnation` the present agent; returns false if it is or was the agent already.
  bool Register(Incarnation incarnation);

  /// The present agent; 0 if none has registered.
  Incarnation Current() const { return m_agents.empty() ? 0 : m_agents.back(); }

  /// True if `incarnation` was the agent and another one has taken its place.
  bool IsFormer(Incarnation incarnation) const;

  /// Oldest first.
  const std::deque<Incarnation>& agents() const { return m_agents; }

 private:
  std::deque<Incarnation> m_agents;
};

}  // namespace berylgauge
