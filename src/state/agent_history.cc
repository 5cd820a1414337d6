#include "state/agent_history.h"

#include <algorithm>

namespace berylgauge {
namespace {

/// Agents remembered for each worker. A paused agent would have to outlast this many successors to be taken for a new
/// one; with 55 hosts of 1,000 restarted a day that takes years.
constexpr std::size_t kMaxAgents = 64;

}  // namespace

bool AgentHistory::Register(Incarnation incarnation) {
  if (std::find(m_agents.begin(), m_agents.end(), incarnation) != m_agents.end()) return false;
  m_agents.push_back(incarnation);
  if (m_agents.size() > kMaxAgents) m_agents.pop_front();
  return true;
}

bool AgentHistory::IsFormer(Incarnation incarnation) const {
  return incarnation != Current() && std::find(m_agents.begin(), m_agents.end(), incarnation) != m_agents.end();
}

}  // namespace berylgauge
