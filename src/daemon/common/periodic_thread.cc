#include "daemon/common/periodic_thread.h"

#include <utility>

namespace berylgauge {

PeriodicThread::PeriodicThread(absl::Duration interval, std::function<void()> body)
    : m_interval(interval), m_body(std::move(body)), m_thread([this] { Run(); }) {}

PeriodicThread::~PeriodicThread() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_thread.join();
}

void PeriodicThread::Wake() {
  const absl::MutexLock lock(&m_mutex);
  m_woken = true;
}

void PeriodicThread::Run() {
  do {
    m_body();
  } while (WaitForNextCall());
}

bool PeriodicThread::WaitForNextCall() {
  const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || m_woken; };
  const absl::MutexLock lock(&m_mutex);
  m_mutex.AwaitWithTimeout(absl::Condition(&ready), m_interval);
  m_woken = false;
  return !m_stopping;
}

}  // namespace berylgauge
