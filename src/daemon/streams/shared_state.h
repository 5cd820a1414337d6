#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/streams/fold_target.h"
#include "state/batch.h"

namespace berylgauge {

/// A folded state that the follower's thread changes and others read.
///
/// `State` has `Apply(Batch, Offset)`, `offset()`, `Restore(json)` and `ToJson()`. `on_change` is called on the
/// follower's thread after each change; as nothing else changes the state, it may read it without the lock.
template <typename State>
class SharedState final : public FoldTarget {
 public:
  using OnChange = std::function<void(const State&)>;

  explicit SharedState(OnChange on_change = {}) : m_on_change(std::move(on_change)) {}

  /// Calls `reader(const State&)` under the lock and returns its result by value.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const absl::MutexLock lock(&m_mutex);
    return std::forward<Reader>(reader)(m_state);
  }

  Offset Position() const override {
    return Read([](const State& state) { return state.offset(); });
  }

  void Apply(const Batch& batch, Offset offset) override {
    {
      const absl::MutexLock lock(&m_mutex);
      m_state.Apply(batch, offset);
    }
    if (m_on_change) m_on_change(m_state);
  }

  void Skip(Offset offset) override { Apply(Batch{}, offset); }

  Result<void> Restore(const nlohmann::json& snapshot) override {
    Result<void> restored;
    {
      const absl::MutexLock lock(&m_mutex);
      restored = m_state.Restore(snapshot);
    }
    if (restored && m_on_change) m_on_change(m_state);
    return restored;
  }

 private:
  mutable absl::Mutex m_mutex;
  State m_state;
  OnChange m_on_change;
};

}  // namespace berylgauge
