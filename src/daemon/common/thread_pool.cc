#include "daemon/common/thread_pool.h"

#include <utility>

namespace berylgauge {

ThreadPool::ThreadPool(std::size_t threads) {
  m_threads.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) m_threads.emplace_back([this] { Run(); });
}

ThreadPool::~ThreadPool() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  for (std::thread& thread : m_threads) thread.join();
}

void ThreadPool::Post(Task task) {
  const absl::MutexLock lock(&m_mutex);
  m_tasks.push_back(std::move(task));
}

void ThreadPool::Run() {
  const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || !m_tasks.empty(); };
  for (;;) {
    Task task;
    {
      const absl::MutexLock lock(&m_mutex);
      m_mutex.Await(absl::Condition(&ready));
      if (m_tasks.empty()) return;
      task = std::move(m_tasks.front());
      m_tasks.pop_front();
    }
    task();
  }
}

}  // namespace berylgauge
