#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <thread>

namespace berylgauge {

/// Calls a function on a thread of its own, each `interval` and whenever it is woken.
class PeriodicThread {
 public:
  PeriodicThread(absl::Duration interval, std::function<void()> body);

  /// Ends the thread after the call under way.
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// Makes the next call begin at once.
  void Wake();

 private:
  void Run();
  bool WaitForNextCall();

  const absl::Duration m_interval;
  const std::function<void()> m_body;
  absl::Mutex m_mutex;
  bool m_woken ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace berylgauge
