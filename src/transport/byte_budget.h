#pragma once

#include <atomic>
#include <cstddef>

namespace berylgauge {

/// Upper bound on the bytes that several streams hold together; may be used from any thread.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : m_limit(limit) {}

  /// Takes `bytes` from the budget. Returns false and takes nothing if that would exceed the limit.
  bool TryReserve(std::size_t bytes) {
    if (m_used.fetch_add(bytes, std::memory_order_relaxed) + bytes <= m_limit) return true;
    Release(bytes);
    return false;
  }

  void Release(std::size_t bytes) { m_used.fetch_sub(bytes, std::memory_order_relaxed); }

  std::size_t used() const { return m_used.load(std::memory_order_relaxed); }

 private:
  const std::size_t m_limit;
  std::atomic<std::size_t> m_used{0};
};

}  // namespace berylgauge
