#include "control/partition_tail.h"

#include <algorithm>
#include <utility>

#include "base/doubling_delay.h"
#include "base/event_log.h"

namespace berylgauge::control {
namespace {

/// Pause before a read is repeated after a failure; doubles up to the longest.
constexpr absl::Duration kFirstRetryPause = absl::Milliseconds(50);
constexpr absl::Duration kLongestRetryPause = absl::Milliseconds(400);

/// Longest factor by which repeated timeouts extend the timeout of a read.
constexpr int kMaxTimeoutFactor = 3;

/// Longest time until a read without an answer is repeated, its wait included. A connection that lost an answer stays
/// silent after the store is back, and the platform expects an entry to work again 3 s after that. Where the time for
/// the answer is extended, the wait is shorter.
constexpr absl::Duration kLongestRead = absl::Milliseconds(2700);

}  // namespace

PartitionTail::PartitionTail(EventLoop& loop, KeyedLog& log, PartitionTailOptions options, Listener listener)
    : m_loop(loop),
      m_log(log),
      m_options(std::move(options)),
      m_listener(std::move(listener)),
      m_alive(std::make_shared<bool>(true)) {}

PartitionTail::~PartitionTail() {
  *m_alive = false;
  m_loop.CancelTimer(m_timer);
}

void PartitionTail::Start() { LoadPage({}); }

void PartitionTail::Pause() {
  m_paused = true;
  ++m_generation;
  m_loop.CancelTimer(m_timer);
}

void PartitionTail::Resume(std::int64_t position) {
  if (!m_paused) return;
  m_paused = false;
  m_position = std::max(m_position, position);
  Read();
}

void PartitionTail::LoadPage(const std::string& after) {
  if (after.empty()) {
    m_pages.clear();
    m_read_begun = m_loop.Now();
  }
  m_log.ReadNewest(
      m_options.partition, after, AnswerTimeout(),
      [this, is_first = after.empty(), generation = m_generation, alive = m_alive](Result<LogNewestPage> page) {
        if (*alive && generation == m_generation) OnPage(std::move(page), is_first);
      });
}

void PartitionTail::OnPage(Result<LogNewestPage> page, bool is_first) {
  if (!page) {
    RetryLater(page.error());
    return;
  }
  m_failures = 0;
  m_timeouts = 0;
  m_answered_at = m_loop.Now();
  if (is_first) m_first_page_end = page->end;
  m_last_page_end = page->end;
  for (KeyedRecord& record : page->records) m_pages.push_back(std::move(record));
  if (page->next_after) {
    LoadPage(*page->next_after);
    return;
  }
  m_listener.on_reset();
  m_loaded_offsets.clear();
  const bool is_snapshot = m_first_page_end == m_last_page_end;
  for (const KeyedRecord& record : m_pages) {
    m_listener.on_record(record);
    if (!is_snapshot) m_loaded_offsets[record.key] = record.offset;
  }
  LogEvent(LogLevel::kInfo, "partition_loaded",
           {{"topic", m_options.partition.topic},
            {"partition", m_options.partition.number},
            {"records", m_pages.size()},
            {"end", m_first_page_end}});
  m_pages.clear();
  m_pages.shrink_to_fit();
  m_position = m_first_page_end;
  m_loaded = true;
  if (is_snapshot) {
    m_at_end = true;
    m_complete_as_of = std::max(m_complete_as_of, m_read_begun);
    m_listener.on_end();
  }
  ScheduleRead(absl::ZeroDuration());
}

absl::Duration PartitionTail::AnswerTimeout() const {
  return m_options.answer_timeout * std::min(1 + m_timeouts, kMaxTimeoutFactor);
}

void PartitionTail::ScheduleRead(absl::Duration delay) {
  if (m_paused) return;
  const MonotonicTime earliest = m_read_begun + m_options.min_interval;
  const MonotonicTime at = std::max(m_loop.Now() + delay, earliest);
  if (at <= m_loop.Now()) {
    Read();
    return;
  }
  m_loop.CancelTimer(m_timer);
  m_timer = m_loop.AddTimer(at, [this] { Read(); });
}

void PartitionTail::Read() {
  if (m_paused) return;
  if (!m_loaded) {
    LoadPage({});
    return;
  }
  m_read_begun = m_loop.Now();
  const absl::Duration wait = std::clamp(kLongestRead - AnswerTimeout(), absl::ZeroDuration(), m_options.wait);
  m_read_wait = wait;
  m_log.Read(m_options.partition, m_position, wait, wait + AnswerTimeout(),
             [this, generation = m_generation, alive = m_alive](Result<LogReadAnswer> answer) {
               if (*alive && generation == m_generation) OnRead(std::move(answer));
             });
}

void PartitionTail::OnRead(Result<LogReadAnswer> answer) {
  if (!answer) {
    RetryLater(answer.error());
    return;
  }
  m_failures = 0;
  m_timeouts = 0;
  m_answered_at = m_loop.Now();
  if (answer->expired) {
    LogEvent(
        LogLevel::kInfo, "history_expired",
        {{"topic", m_options.partition.topic}, {"partition", m_options.partition.number}, {"position", m_position}});
    m_loaded = false;
    LoadPage({});
    return;
  }
  // A read that waited in vain shows that nothing was stored while it waited.
  const bool waited = answer->records.empty();
  Apply(*answer, waited ? std::min(m_read_begun + m_read_wait, m_loop.Now()) : m_read_begun);
  ScheduleRead(absl::ZeroDuration());
}

void PartitionTail::Apply(const LogReadAnswer& answer, MonotonicTime complete_as_of) {
  for (const KeyedRecord& record : answer.records) {
    if (record.offset < m_position) continue;
    m_position = record.offset + 1;
    const auto loaded = m_loaded_offsets.find(record.key);
    if (loaded != m_loaded_offsets.end() && record.offset <= loaded->second) continue;
    m_listener.on_record(record);
  }
  if (m_position >= m_last_page_end) m_loaded_offsets.clear();
  m_at_end = m_position >= answer.end;
  if (m_at_end) {
    m_complete_as_of = std::max(m_complete_as_of, complete_as_of);
    m_listener.on_end();
  }
}

void PartitionTail::RetryLater(const Failure& failure) {
  ++m_failures;
  // A refusal is no sign that the store needs longer for its answers.
  m_timeouts = failure.code == FailureCode::kDeadlineExceeded ? m_timeouts + 1 : 0;
  if (m_failures == 2) {
    LogEvent(
        LogLevel::kWarning, "store_read_failing",
        {{"topic", m_options.partition.topic}, {"partition", m_options.partition.number}, {"reason", failure.message}});
  }
  if (m_paused) return;
  m_loop.CancelTimer(m_timer);
  m_timer = m_loop.AddTimer(m_loop.Now() + DoublingDelay(m_failures, kFirstRetryPause, kLongestRetryPause),
                            [this] { Read(); });
}

void PartitionTail::ReadToEnd(absl::Duration timeout, absl::AnyInvocable<void(bool)> callback) {
  if (!m_loaded) {
    m_loop.Defer([callback = std::move(callback)]() mutable { callback(false); });
    return;
  }
  m_log.Read(m_options.partition, m_position, absl::ZeroDuration(), timeout,
             [this, sent = m_loop.Now(), alive = m_alive,
              callback = std::move(callback)](Result<LogReadAnswer> answer) mutable {
               if (!*alive) return;
               if (!answer || answer->expired) {
                 callback(false);
                 return;
               }
               m_answered_at = m_loop.Now();
               // The regular read may have passed this one's start, so records are skipped that were applied meanwhile.
               Apply(*answer, sent);
               callback(m_position >= answer->end);
             });
}

}  // namespace berylgauge::control
