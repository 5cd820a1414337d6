#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "control/keyed_log.h"
#include "transport/event_loop.h"

namespace berylgauge::control {

struct LogWriterOptions {
  LogPartition partition;
  std::string producer;
  std::int64_t epoch = 1;
  /// A batch that may be given up is sent no later than this after `Write`.
  std::optional<absl::Duration> send_limit;
};

/// Appends batches to one partition, one at a time, each exactly once.
///
/// An append without an answer is repeated with the same sequence number until its outcome is known, or until the limit
/// in the options: then a higher epoch keeps it from being stored later. Used on the loop's thread.
class LogWriter {
 public:
  /// `kStored`, `kFenced`, `kOutOfSequence`, `kMoved` and `kRejected` are final. `kNothingDone` means that the batch
  /// was given up after `give_up_after` and will never be stored. `kUnknown` means that it was stored before the limit
  /// in the options, or never will be.
  using Callback = absl::AnyInvocable<void(AppendAnswer)>;

  LogWriter(EventLoop& loop, KeyedLog& log, LogWriterOptions options);
  ~LogWriter();

  /// Not to be called while another batch is under way. With `give_up_after`, a batch of which no append can have had
  /// an effect is given up once that time has passed; without, it is repeated for ever, whatever the limit.
  void Write(std::vector<KeyedRecord> records, std::optional<std::int64_t> expected_end,
             std::optional<absl::Duration> give_up_after, Callback callback);

  bool is_busy() const { return m_busy; }
  /// Of the batch that was written last; valid until the next one.
  const std::vector<KeyedRecord>& records() const { return m_call.records; }
  /// Since when no append has been answered usefully; nothing while the store answers.
  std::optional<MonotonicTime> failing_since() const { return m_failing_since; }
  /// When the newest successful append was sent.
  MonotonicTime proven_at() const { return m_proven_at; }

 private:
  void Send();
  /// Replaces the batch by a record without effect under a higher epoch.
  void Fence();
  void Finish(AppendAnswer answer);
  void OnAnswer(AppendAnswer answer, MonotonicTime sent, std::uint64_t attempt);
  absl::Duration Timeout() const;

  EventLoop& m_loop;
  KeyedLog& m_log;
  const LogWriterOptions m_options;
  bool m_busy = false;
  AppendCall m_call;
  std::optional<MonotonicTime> m_give_up_at;
  std::optional<MonotonicTime> m_send_until;
  Callback m_callback;
  bool m_may_be_stored = false;  ///< an append of the present batch had no answer
  bool m_is_fencing = false;
  int m_tries = 0;
  std::int64_t m_epoch;
  std::int64_t m_sequence = 0;
  std::uint64_t m_attempt = 0;
  absl::Duration m_usual_latency = absl::Milliseconds(5);
  std::optional<MonotonicTime> m_failing_since;
  MonotonicTime m_proven_at = InfinitePast();
  EventLoop::TimerId m_timer;
  std::shared_ptr<bool> m_alive;
};

}  // namespace berylgauge::control
