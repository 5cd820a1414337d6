#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <thread>
#include <vector>

namespace berylgauge {

/// A fixed number of threads that run tasks which may block.
class ThreadPool {
 public:
  using Task = absl::AnyInvocable<void()>;

  explicit ThreadPool(std::size_t threads);

  /// Runs the tasks queued so far, then ends the threads.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  void Post(Task task);

 private:
  void Run();

  absl::Mutex m_mutex;
  std::deque<Task> m_tasks ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

}  // namespace berylgauge
