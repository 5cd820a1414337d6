#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/monotonic_time.h"

namespace berylgauge {

/// Frees an easy handle of libcurl together with its connection.
struct CurlHandleDeleter {
  void operator()(void* handle) const;
};

/// An easy handle of libcurl; empty if none could be created.
using CurlHandle = std::unique_ptr<void, CurlHandleDeleter>;

struct CurlHandlePoolOptions {
  std::size_t max_idle_per_origin = 64;
  /// Shorter than the idle timeouts that are usual in servers, so that few connections are closed by the peer just when
  /// a request is sent on them.
  absl::Duration max_idle_time = absl::Seconds(20);
};

/// Idle easy handles by origin ("http://HOST:PORT"), each with its open connection.
///
/// libcurl does not allow several threads to share connections, so each handle keeps its own and is used by one thread
/// at a time.
class CurlHandlePool {
 public:
  explicit CurlHandlePool(const CurlHandlePoolOptions& options) : m_options(options) {}

  /// Returns the handle that was used last for the origin, or a new one.
  CurlHandle Acquire(const std::string& origin, MonotonicTime now);

  /// Takes a handle back and frees those that have been idle for too long.
  void Release(const std::string& origin, CurlHandle handle, MonotonicTime now);

  std::size_t IdleCount() const;

 private:
  struct IdleHandle {
    CurlHandle handle;
    MonotonicTime since;
  };
  using IdleHandles = std::vector<IdleHandle>;  ///< longest idle first

  void RemoveExpired(IdleHandles& idle, MonotonicTime now, IdleHandles& expired) const;

  const CurlHandlePoolOptions m_options;
  mutable std::mutex m_mutex;
  absl::flat_hash_map<std::string, IdleHandles> m_idle;
  MonotonicTime m_last_sweep = InfinitePast();
};

}  // namespace berylgauge
