#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "control/keyed_log.h"
#include "control/log_writer.h"
#include "transport/event_loop.h"

namespace berylgauge::control {

struct SubmissionQueueOptions {
  std::size_t max_batch_records = 200;
  std::size_t max_batch_bytes = std::size_t{1} << 20;  ///< half of what the platform takes in one call
  std::size_t max_waiting = 2000;
  /// A submission of which nothing can have been stored is refused after this time, while the client can still try
  /// another entry within its deadline (3 s).
  absl::Duration give_up_after = absl::Milliseconds(700);
  /// Submissions are refused at once while the store has refused appends for this long, and so are those that wait for
  /// their first append by then: nothing of them was sent, and another entry may take them.
  absl::Duration refuse_after_failing = absl::Milliseconds(700);
  /// Nothing waits longer than this for its first append, and no append is repeated for longer: another entry may have
  /// accepted the job again, and its records are removed some time after its end.
  absl::Duration send_limit = absl::Seconds(5);
};

/// Joins what the requests of an entry write to the submissions partition into batches.
class SubmissionQueue {
 public:
  /// `kStored`, or `kNothingDone` if the records were not stored and never will be. While neither is certain, the
  /// callback is not called; `kUnknown` is given once the records are stored or never will be.
  using Callback = absl::AnyInvocable<void(AppendOutcome)>;

  SubmissionQueue(EventLoop& loop, KeyedLog& log, LogWriterOptions writer, const SubmissionQueueOptions& options = {});
  ~SubmissionQueue();

  void Add(std::vector<KeyedRecord> records, Callback callback);

  /// Whether a new submission would be refused at once.
  bool IsRefusing(MonotonicTime now) const;
  std::optional<MonotonicTime> failing_since() const { return m_writer.failing_since(); }
  std::size_t size() const { return m_waiting.size() + m_sent.size(); }

 private:
  struct Item {
    std::vector<KeyedRecord> records;
    Callback callback;
    MonotonicTime added_at;
  };

  void Flush();
  void DropLate();
  /// Looks again whether those that wait have to be refused, while any does.
  void ScheduleRefusal();
  void RefuseWaiting();
  void OnWritten(const AppendAnswer& answer);
  /// Repeats an append without effect until the store takes it: submissions are refused meanwhile, so none of them
  /// would show that the store is back.
  void Probe();

  EventLoop& m_loop;
  const SubmissionQueueOptions m_options;
  LogWriter m_writer;
  std::deque<Item> m_waiting;
  std::vector<Item> m_sent;
  bool m_flush_deferred = false;
  EventLoop::TimerId m_refusal_timer;
  bool m_refusal_scheduled = false;
  std::shared_ptr<bool> m_alive;
};

}  // namespace berylgauge::control
