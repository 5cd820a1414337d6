#include "clients/curl_handle_pool.h"

#include <curl/curl.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylgauge {
namespace {

/// Time between two searches of all origins for handles that have been idle for too long.
constexpr absl::Duration kSweepInterval = absl::Seconds(1);

/// Initialises libcurl before the first handle, because its implicit initialisation is not safe with several threads.
void InitCurlOnce() {
  static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kInitialised);
}

}  // namespace

void CurlHandleDeleter::operator()(void* handle) const { curl_easy_cleanup(handle); }

CurlHandle CurlHandlePool::Acquire(const std::string& origin, MonotonicTime now) {
  InitCurlOnce();
  IdleHandles expired;  // freed after the lock is released, because closing connections takes time
  {
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(origin);
    if (it != m_idle.end()) {
      RemoveExpired(it->second, now, expired);
      if (!it->second.empty()) {
        CurlHandle handle = std::move(it->second.back().handle);
        it->second.pop_back();
        return handle;
      }
    }
  }
  return CurlHandle(curl_easy_init());
}

void CurlHandlePool::Release(const std::string& origin, CurlHandle handle, MonotonicTime now) {
  if (handle == nullptr) return;
  IdleHandles expired;
  const std::lock_guard lock(m_mutex);
  IdleHandles& idle = m_idle[origin];
  if (idle.size() < m_options.max_idle_per_origin) {
    idle.push_back({.handle = std::move(handle), .since = now});
  } else {
    expired.push_back({.handle = std::move(handle), .since = now});
  }
  if (now - m_last_sweep < kSweepInterval) return;
  m_last_sweep = now;
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    RemoveExpired(it->second, now, expired);
    const auto current = it++;
    if (current->second.empty()) m_idle.erase(current);
  }
}

std::size_t CurlHandlePool::IdleCount() const {
  const std::lock_guard lock(m_mutex);
  std::size_t count = 0;
  for (const auto& [origin, idle] : m_idle) count += idle.size();
  return count;
}

void CurlHandlePool::RemoveExpired(IdleHandles& idle, MonotonicTime now, IdleHandles& expired) const {
  const auto first_kept = std::find_if(
      idle.begin(), idle.end(), [&](const IdleHandle& entry) { return now - entry.since <= m_options.max_idle_time; });
  std::move(idle.begin(), first_kept, std::back_inserter(expired));
  idle.erase(idle.begin(), first_kept);
}

}  // namespace berylgauge
