#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/keyed_log.h"
#include "support/memory_store.h"
#include "transport/event_loop.h"

namespace berylgauge::control {

/// How the store behaves towards one process.
struct StoreFaults {
  bool refuses = false;                      ///< answers that it has done nothing
  int lost_answers = 0;                      ///< so many appends are carried out and not answered
  bool holds_appends = false;                ///< appends are not answered, and carried out by `CarryOutHeld`
  bool is_cut = false;                       ///< no call arrives, and none is answered
  std::optional<LogPartition> silent_reads;  ///< reads of this partition are not answered
  bool holds_later_pages = false;            ///< pages of newest records after the first are read and answered later
};

/// One process's way to the store. Used on the loop's thread.
class MemoryKeyedLog final : public KeyedLog {
 public:
  MemoryKeyedLog(EventLoop& loop, MemoryStore& store) : m_loop(loop), m_store(store) {}

  StoreFaults faults;
  int appends = 0;                                             ///< calls made
  int reads = 0;                                               ///< calls of `Read` made
  absl::Duration longest_read_timeout = absl::ZeroDuration();  ///< of all calls of `Read`

  void Append(const AppendCall& call, absl::Duration timeout, AppendCallback callback) override;
  /// Carries the appends out that were held; returns how many were stored.
  int CarryOutHeld();
  std::size_t held() const { return m_held.size(); }
  void Read(const LogPartition& partition, std::int64_t from, absl::Duration wait, absl::Duration timeout,
            ReadCallback callback) override;
  void ReadNewest(const LogPartition& partition, const std::string& after, absl::Duration timeout,
                  NewestCallback callback) override;

 private:
  void TryRead(const LogPartition& partition, std::int64_t from, MonotonicTime until, ReadCallback callback);

  EventLoop& m_loop;
  MemoryStore& m_store;
  std::vector<AppendCall> m_held;
};

}  // namespace berylgauge::control
