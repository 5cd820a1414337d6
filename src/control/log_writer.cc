#include "control/log_writer.h"

#include <algorithm>
#include <utility>

#include "base/doubling_delay.h"
#include "base/event_log.h"
#include "workflow/record_keys.h"

namespace berylgauge::control {
namespace {

/// Bounds of the time after which an append is repeated. A repeat is harmless but counts as a call; the store may wait
/// 2 s for a busy partition before it refuses.
constexpr absl::Duration kShortestTimeout = absl::Milliseconds(150);
constexpr absl::Duration kLongestTimeout = absl::Milliseconds(2500);
/// The timeout follows the usual latency by this factor.
constexpr double kTimeoutFactor = 6;
/// Weight of the newest answer in the usual latency.
constexpr double kLatencyWeight = 0.2;

/// Time that the bytes of an append need beside that: some hosts have links of 10 Mbit/s.
constexpr double kSlowestLinkBytesPerSecond = 1.25e6;

absl::Duration TransferTime(const std::vector<KeyedRecord>& records) {
  std::size_t bytes = 0;
  for (const KeyedRecord& record : records) bytes += record.key.size() + record.value.size();
  return absl::Seconds(static_cast<double>(bytes) / kSlowestLinkBytesPerSecond);
}

/// Pause before an append is repeated; doubles up to the longest.
constexpr absl::Duration kFirstRetryPause = absl::Milliseconds(20);
constexpr absl::Duration kLongestRetryPause = absl::Milliseconds(300);

}  // namespace

LogWriter::LogWriter(EventLoop& loop, KeyedLog& log, LogWriterOptions options)
    : m_loop(loop),
      m_log(log),
      m_options(std::move(options)),
      m_epoch(m_options.epoch),
      m_alive(std::make_shared<bool>(true)) {}

LogWriter::~LogWriter() {
  *m_alive = false;
  m_loop.CancelTimer(m_timer);
}

void LogWriter::Write(std::vector<KeyedRecord> records, std::optional<std::int64_t> expected_end,
                      std::optional<absl::Duration> give_up_after, Callback callback) {
  m_busy = true;
  m_call = {.partition = m_options.partition,
            .records = std::move(records),
            .producer = {.name = m_options.producer, .epoch = m_epoch, .sequence = m_sequence},
            .expected_end = expected_end};
  m_give_up_at.reset();
  if (give_up_after) m_give_up_at = m_loop.Now() + *give_up_after;
  m_send_until.reset();
  if (give_up_after && m_options.send_limit) m_send_until = m_loop.Now() + *m_options.send_limit;
  m_callback = std::move(callback);
  m_may_be_stored = false;
  m_is_fencing = false;
  m_tries = 0;
  Send();
}

void LogWriter::Fence() {
  LogEvent(LogLevel::kWarning, "store_append_abandoned",
           {{"topic", m_options.partition.topic},
            {"partition", m_options.partition.number},
            {"sequence", m_sequence},
            {"records", m_call.records.size()}});
  m_is_fencing = true;
  m_sequence = 0;
  m_call.records = {{.key = std::string(workflow::kProbeKey), .value = {}}};
  m_call.producer.epoch = ++m_epoch;
  m_call.producer.sequence = m_sequence;
  m_call.expected_end.reset();
}

void LogWriter::Send() {
  // Also after a process that stood still: what the batch says may have been removed by now.
  if (!m_is_fencing && m_send_until && m_loop.Now() >= *m_send_until) {
    if (!m_may_be_stored) {
      Finish({.outcome = AppendOutcome::kNothingDone, .detail = "not stored in time"});
      return;
    }
    Fence();
  }
  ++m_tries;
  const std::uint64_t attempt = ++m_attempt;
  const MonotonicTime sent = m_loop.Now();
  m_log.Append(m_call, Timeout(), [this, sent, attempt, alive = m_alive](AppendAnswer answer) {
    if (*alive) OnAnswer(std::move(answer), sent, attempt);
  });
}

absl::Duration LogWriter::Timeout() const {
  const absl::Duration first = std::clamp(m_usual_latency * kTimeoutFactor, kShortestTimeout, kLongestTimeout);
  return DoublingDelay(m_tries, first, kLongestTimeout) + TransferTime(m_call.records);
}

void LogWriter::OnAnswer(AppendAnswer answer, MonotonicTime sent, std::uint64_t attempt) {
  if (attempt != m_attempt) return;
  const MonotonicTime now = m_loop.Now();
  const bool repeat = answer.outcome == AppendOutcome::kUnknown || answer.outcome == AppendOutcome::kNothingDone;
  if (repeat) {
    if (answer.outcome == AppendOutcome::kUnknown) m_may_be_stored = true;
    if (!m_failing_since) {
      m_failing_since = now;
      LogEvent(LogLevel::kWarning, "store_append_failing",
               {{"topic", m_options.partition.topic},
                {"partition", m_options.partition.number},
                {"sequence", m_sequence},
                {"outcome", kAppendOutcomeNames.NameOf(answer.outcome)},
                {"reason", answer.detail}});
    }
    const bool give_up = m_give_up_at && now >= *m_give_up_at && !m_may_be_stored;
    if (!give_up) {
      const absl::Duration pause = DoublingDelay(m_tries, kFirstRetryPause, kLongestRetryPause);
      m_timer = m_loop.AddTimer(now + pause, [this] { Send(); });
      return;
    }
    answer.outcome = AppendOutcome::kNothingDone;
  } else {
    if (m_failing_since) {
      LogEvent(LogLevel::kInfo, "store_append_recovered",
               {{"topic", m_options.partition.topic},
                {"partition", m_options.partition.number},
                {"after_ms", absl::ToInt64Milliseconds(now - *m_failing_since)},
                {"tries", m_tries}});
    }
    m_failing_since.reset();
    m_usual_latency = m_usual_latency * (1 - kLatencyWeight) + (now - sent) * kLatencyWeight;
  }
  if (answer.outcome == AppendOutcome::kStored) {
    ++m_sequence;
    m_proven_at = sent;
  }
  Finish(std::move(answer));
}

void LogWriter::Finish(AppendAnswer answer) {
  m_busy = false;
  if (m_is_fencing && answer.outcome == AppendOutcome::kStored) answer.outcome = AppendOutcome::kUnknown;
  Callback callback = std::move(m_callback);
  callback(std::move(answer));
}

}  // namespace berylgauge::control
