#include "daemon/entry/share_inbox.h"

#include <utility>

namespace berylgauge {

void ShareInbox::Deliver(const Heartbeat& heartbeat) {
  const absl::MutexLock lock(&m_mutex);
  m_heartbeats[heartbeat.worker] = heartbeat;
  // Ended attempts free room, so what waits can start; the rest of a heartbeat can wait for the next step.
  m_urgent = m_urgent || !heartbeat.ended.empty();
}

void ShareInbox::Answer(CommandAnswer answer) {
  const absl::MutexLock lock(&m_mutex);
  m_answers.push_back(std::move(answer));
  m_urgent = true;
}

void ShareInbox::BeginLeaving() {
  const absl::MutexLock lock(&m_mutex);
  m_leaving = true;
  m_urgent = true;
}

void ShareInbox::Stop() {
  const absl::MutexLock lock(&m_mutex);
  m_stopped = true;
}

bool ShareInbox::IsStopped() const {
  const absl::MutexLock lock(&m_mutex);
  return m_stopped;
}

void ShareInbox::Wake() {
  const absl::MutexLock lock(&m_mutex);
  m_urgent = true;
}

std::optional<ShareInbox::Content> ShareInbox::Take(absl::Duration timeout) {
  const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_urgent || m_stopped; };
  const absl::MutexLock lock(&m_mutex);
  m_mutex.AwaitWithTimeout(absl::Condition(&ready), timeout);
  if (m_stopped) return std::nullopt;
  m_urgent = false;
  Content content;
  for (auto& [worker, heartbeat] : m_heartbeats) content.heartbeats.push_back(std::move(heartbeat));
  m_heartbeats.clear();
  content.answers.swap(m_answers);
  content.leaving = m_leaving;
  return content;
}

}  // namespace berylgauge
