#include "control/shared_read.h"

#include <utility>

namespace berylgauge::control {

SharedRead::SharedRead(EventLoop& loop, PartitionTail& tail, const SharedReadOptions& options)
    : m_loop(loop), m_tail(tail), m_options(options), m_alive(std::make_shared<bool>(true)) {}

SharedRead::~SharedRead() {
  *m_alive = false;
  m_loop.CancelTimer(m_timer);
}

void SharedRead::Request(absl::AnyInvocable<void(bool)> callback) {
  m_waiting.push_back(std::move(callback));
  if (m_is_due) return;
  const MonotonicTime at = m_begun_at + m_options.interval;
  if (at <= m_loop.Now()) {
    Begin();
    return;
  }
  m_is_due = true;
  m_timer = m_loop.AddTimer(at, [this] { Begin(); });
}

void SharedRead::Begin() {
  m_is_due = false;
  m_begun_at = m_loop.Now();
  m_tail.ReadToEnd(m_options.timeout,
                   [callbacks = std::exchange(m_waiting, {}), alive = m_alive](bool complete) mutable {
                     for (absl::AnyInvocable<void(bool)>& callback : callbacks) {
                       if (!*alive) return;
                       callback(complete);
                     }
                   });
}

}  // namespace berylgauge::control
