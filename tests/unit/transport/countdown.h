#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stdexcept>

namespace berylgauge {

/// Waits for a number of events from other threads. Abseil's counterparts are not used, because the thread sanitizer
/// does not see the synchronisation inside Debian's build of Abseil.
class Countdown {
 public:
  explicit Countdown(int count) : m_left(count) {}

  void Decrement() {
    const std::lock_guard lock(m_mutex);
    --m_left;
    m_changed.notify_all();
  }

  bool IsDone() {
    const std::lock_guard lock(m_mutex);
    return m_left <= 0;
  }

  /// Throws if the events do not occur within a time far longer than any test takes.
  void Wait() {
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, std::chrono::seconds(60), [&] { return m_left <= 0; })) {
      throw std::runtime_error("an expected event did not occur");
    }
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_left;
};

}  // namespace berylgauge
