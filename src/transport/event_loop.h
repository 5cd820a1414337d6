#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/functional/any_invocable.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/monotonic_time.h"
#include "transport/timer_queue.h"
#include "transport/unique_fd.h"

namespace berylgauge {

class IoHandler;

/// One thread that waits on file descriptors, timers and tasks from other threads.
///
/// `Post`, `RunSync` and `IsInLoopThread` may be called from any thread, everything else only on the loop's thread.
/// Each turn handles readiness events before timers: after a pause of this process, an answer that has already
/// arrived is read before its timeout is evaluated. The loop must outlive everything that uses it.
class EventLoop {
 public:
  using Task = absl::AnyInvocable<void()>;
  using TimerId = TimerQueue::Id;

  /// Starts the thread, `thread_name` is cut to 15 characters. Throws std::system_error if the system has no
  /// descriptor or thread left.
  explicit EventLoop(const std::string& thread_name = "event-loop");

  /// Runs the tasks posted so far, then stops the thread. Must not run on the loop's thread.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs `task` on the loop's thread, in the order of the calls.
  void Post(Task task);

  /// Runs `task` on the loop's thread and waits for it; runs it directly when called on that thread.
  void RunSync(Task task);

  bool IsInLoopThread() const;

  /// Time at which the present turn of the loop began.
  MonotonicTime Now() const { return m_now; }

  /// Runs `task` at the end of the present turn. Connections use it to combine the writes of one turn.
  void Defer(Task task) { m_deferred.push_back(std::move(task)); }

  TimerId AddTimer(MonotonicTime deadline, Task task) { return m_timers.Add(deadline, std::move(task)); }
  void CancelTimer(TimerId& id) { m_timers.Cancel(id); }

  /// Watches `fd` for `events` (level-triggered). Returns a token, or 0 if the system refuses.
  std::uint64_t Watch(int fd, std::uint32_t events, IoHandler* handler);
  void ChangeWatch(std::uint64_t token, int fd, std::uint32_t events);

  /// After this call the handler receives no more events, not even those already fetched.
  void Unwatch(std::uint64_t token, int fd);

 private:
  void Run();
  int PollTimeoutMillis();
  void HandleEvents(int timeout_millis);
  void RunPosted();
  void RunDeferred();
  void Wake() const;

  const SystemClock m_clock;
  UniqueFd m_epoll;
  UniqueFd m_wakeup;
  MonotonicTime m_now;
  TimerQueue m_timers;
  std::vector<Task> m_deferred;
  absl::flat_hash_map<std::uint64_t, IoHandler*> m_handlers;
  std::uint64_t m_last_token = 0;
  bool m_stopping = false;

  std::mutex m_mutex;
  std::vector<Task> m_posted;  ///< guarded by m_mutex
  bool m_awake = true;         ///< guarded by m_mutex; while true, the loop looks at m_posted before it sleeps

  std::thread m_thread;
};

}  // namespace berylgauge
