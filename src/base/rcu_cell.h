#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include "base/rcu_reader.h"

namespace berylgauge {

/// An immutable value that many threads read without a lock and one replaces at a time.
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::unique_ptr<const T> initial) : m_value(initial.release()) {}
  ~RcuCell() { delete m_value; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// Calls `reader(const T&)` inside a read-side section and returns its result. `reader` must not block and
  /// must not keep references into the value.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const RcuReadSection section;
    return std::forward<Reader>(reader)(*LoadPointer());
  }

  /// Publishes `next`, waits for the readers of the former value and frees it. May block; call it from no reader.
  void Publish(std::unique_ptr<const T> next) {
    const std::lock_guard lock(m_writer_mutex);
    const T* former = __atomic_exchange_n(&m_value, next.release(), __ATOMIC_ACQ_REL);
    WaitForRcuReaders();
    delete former;
  }

 private:
  const T* LoadPointer() const { return __atomic_load_n(&m_value, __ATOMIC_ACQUIRE); }

  std::mutex m_writer_mutex;
  const T* m_value;
};

}  // namespace berylgauge
