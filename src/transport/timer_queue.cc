#include "transport/timer_queue.h"

namespace berylgauge {

TimerQueue::Id TimerQueue::Add(MonotonicTime deadline, Task task) {
  const Id id{.deadline = deadline, .sequence = ++m_last_sequence};
  m_timers.emplace(id, std::move(task));
  return id;
}

void TimerQueue::Cancel(Id& id) {
  if (!id.valid()) return;
  m_timers.erase(id);
  id = Id{};
}

void TimerQueue::RunDue(MonotonicTime now) {
  const std::uint64_t last_sequence = m_last_sequence;
  while (!m_timers.empty()) {
    const auto first = m_timers.begin();
    if (now < first->first.deadline || first->first.sequence > last_sequence) return;
    Task task = std::move(first->second);
    m_timers.erase(first);
    task();
  }
}

MonotonicTime TimerQueue::NextDeadline() const {
  return m_timers.empty() ? InfiniteFuture() : m_timers.begin()->first.deadline;
}

}  // namespace berylgauge
