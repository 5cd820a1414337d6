#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "control/keyed_log.h"
#include "transport/event_loop.h"

namespace berylgauge::control {

struct PartitionTailOptions {
  LogPartition partition;
  /// Longest wait of a read for records. Bounds how long a connection that has gone silent is not noticed, which must
  /// stay under 3 s together with the timeout: the platform expects an entry to work again 3 s after its connections
  /// broke.
  absl::Duration wait = absl::Milliseconds(1500);
  /// Added to the wait of a read; the store may be 80 times slower than its usual 4 ms.
  absl::Duration answer_timeout = absl::Milliseconds(800);
  /// Least time between the begins of two reads; joins the records of a busy partition into fewer reads.
  absl::Duration min_interval = absl::ZeroDuration();
};

/// Follows one partition: reads the newest record of each key, then every new record in order.
///
/// Used on the loop's thread. A gap in the history leads to a new read of the newest records.
class PartitionTail {
 public:
  struct Listener {
    std::function<void(const KeyedRecord& record)> on_record;
    /// All records read so far are void; the newest ones follow in the same turn.
    std::function<void()> on_reset;
    /// The state is complete as of the end of the partition when the read was answered.
    std::function<void()> on_end;
  };

  PartitionTail(EventLoop& loop, KeyedLog& log, PartitionTailOptions options, Listener listener);
  ~PartitionTail();

  void Start();

  /// Stops reading until `Resume`; an owner does so for the partition that it alone writes.
  void Pause();
  /// Goes on reading at `position`.
  void Resume(std::int64_t position);

  /// Calls back with true once the state contains everything that was stored before this call, or with false if the
  /// store does not answer in time.
  void ReadToEnd(absl::Duration timeout, absl::AnyInvocable<void(bool)> callback);

  void SetMinInterval(absl::Duration interval) { m_options.min_interval = interval; }
  void SetWait(absl::Duration wait) { m_options.wait = wait; }

  bool is_loaded() const { return m_loaded; }
  /// Reads that failed since the last answer.
  int failures() const { return m_failures; }
  /// Whether the last read left nothing unread.
  bool is_at_end() const { return m_at_end; }
  /// Offset of the next record to read.
  std::int64_t position() const { return m_position; }
  /// The state contains everything that was stored before this time: when the newest read that reached the end was
  /// sent, or when its wait for records was over.
  MonotonicTime complete_as_of() const { return m_complete_as_of; }
  /// When the store answered last.
  MonotonicTime answered_at() const { return m_answered_at; }

 private:
  void LoadPage(const std::string& after);
  void OnPage(Result<LogNewestPage> page, bool is_first);
  /// Time allowed for an answer beyond the wait; repeated timeouts extend it.
  absl::Duration AnswerTimeout() const;
  void ScheduleRead(absl::Duration delay);
  void Read();
  void OnRead(Result<LogReadAnswer> answer);
  void Apply(const LogReadAnswer& answer, MonotonicTime complete_as_of);
  void RetryLater(const Failure& failure);

  EventLoop& m_loop;
  KeyedLog& m_log;
  PartitionTailOptions m_options;
  Listener m_listener;
  bool m_loaded = false;
  bool m_paused = false;
  bool m_at_end = false;
  std::int64_t m_position = 0;
  MonotonicTime m_answered_at = InfinitePast();
  MonotonicTime m_read_begun = InfinitePast();
  absl::Duration m_read_wait = absl::ZeroDuration();  ///< of the newest read
  MonotonicTime m_complete_as_of = InfinitePast();
  int m_failures = 0;              ///< since the last answer
  int m_timeouts = 0;              ///< in a row
  std::uint64_t m_generation = 0;  ///< of the chain of reads; a paused chain is abandoned
  EventLoop::TimerId m_timer;

  std::vector<KeyedRecord> m_pages;  ///< read so far of the newest records
  std::int64_t m_first_page_end = 0;
  std::int64_t m_last_page_end = 0;
  absl::flat_hash_map<std::string, std::int64_t> m_loaded_offsets;  ///< of the newest records, until passed
  std::shared_ptr<bool> m_alive;
};

}  // namespace berylgauge::control
