#include "control/submission_queue.h"

#include <utility>

#include "base/event_log.h"
#include "workflow/record_keys.h"

namespace berylgauge::control {
namespace {

/// Between two looks at the store while submissions wait behind an append without an answer.
constexpr absl::Duration kRefusalCheckInterval = absl::Milliseconds(100);

LogWriterOptions WithLimit(LogWriterOptions writer, absl::Duration send_limit) {
  writer.send_limit = send_limit;
  return writer;
}

}  // namespace

SubmissionQueue::SubmissionQueue(EventLoop& loop, KeyedLog& log, LogWriterOptions writer,
                                 const SubmissionQueueOptions& options)
    : m_loop(loop),
      m_options(options),
      m_writer(loop, log, WithLimit(std::move(writer), options.send_limit)),
      m_alive(std::make_shared<bool>(true)) {}

SubmissionQueue::~SubmissionQueue() {
  *m_alive = false;
  m_loop.CancelTimer(m_refusal_timer);
}

void SubmissionQueue::Add(std::vector<KeyedRecord> records, Callback callback) {
  if (m_waiting.size() >= m_options.max_waiting || IsRefusing(m_loop.Now())) {
    m_loop.Defer([callback = std::move(callback)]() mutable { callback(AppendOutcome::kNothingDone); });
    return;
  }
  m_waiting.push_back({.records = std::move(records), .callback = std::move(callback), .added_at = m_loop.Now()});
  ScheduleRefusal();
  if (m_flush_deferred || m_writer.is_busy()) return;
  // At the end of the turn, so that requests that arrived together share an append.
  m_flush_deferred = true;
  m_loop.Defer([this, alive = m_alive] {
    if (!*alive) return;
    m_flush_deferred = false;
    Flush();
  });
}

bool SubmissionQueue::IsRefusing(MonotonicTime now) const {
  return m_writer.failing_since() && now - *m_writer.failing_since() >= m_options.refuse_after_failing;
}

void SubmissionQueue::DropLate() {
  while (!m_waiting.empty() && m_loop.Now() - m_waiting.front().added_at >= m_options.send_limit) {
    Item late = std::move(m_waiting.front());
    m_waiting.pop_front();
    late.callback(AppendOutcome::kNothingDone);
  }
}

void SubmissionQueue::ScheduleRefusal() {
  if (m_refusal_scheduled || m_waiting.empty()) return;
  m_refusal_scheduled = true;
  m_refusal_timer = m_loop.AddTimer(m_loop.Now() + kRefusalCheckInterval, [this] {
    m_refusal_scheduled = false;
    if (IsRefusing(m_loop.Now())) RefuseWaiting();
    ScheduleRefusal();
  });
}

void SubmissionQueue::RefuseWaiting() {
  std::deque<Item> waiting;
  waiting.swap(m_waiting);
  if (waiting.empty()) return;
  LogEvent(LogLevel::kWarning, "submissions_refused_unsent", {{"items", waiting.size()}});
  for (Item& item : waiting) item.callback(AppendOutcome::kNothingDone);
}

void SubmissionQueue::Flush() {
  if (m_writer.is_busy()) return;
  DropLate();
  if (m_waiting.empty()) return;
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  while (!m_waiting.empty() && records.size() < m_options.max_batch_records && bytes < m_options.max_batch_bytes) {
    Item& item = m_waiting.front();
    for (const KeyedRecord& record : item.records) {
      bytes += record.key.size() + record.value.size();
      records.push_back(record);
    }
    m_sent.push_back(std::move(item));
    m_waiting.pop_front();
  }
  m_writer.Write(std::move(records), std::nullopt, m_options.give_up_after,
                 [this](const AppendAnswer& answer) { OnWritten(answer); });
}

void SubmissionQueue::OnWritten(const AppendAnswer& answer) {
  const bool stored = answer.outcome == AppendOutcome::kStored;
  if (!stored) {
    LogEvent(
        LogLevel::kWarning, "submissions_not_stored",
        {{"items", m_sent.size()}, {"outcome", kAppendOutcomeNames.NameOf(answer.outcome)}, {"reason", answer.detail}});
  }
  const bool is_known = answer.outcome != AppendOutcome::kUnknown;
  const AppendOutcome outcome = stored || !is_known ? answer.outcome : AppendOutcome::kNothingDone;
  std::vector<Item> sent = std::exchange(m_sent, {});
  for (Item& item : sent) item.callback(outcome);
  // While the store refuses, those that wait would only be refused one give-up time later.
  if (!stored) RefuseWaiting();
  if (m_writer.failing_since()) {
    Probe();
    return;
  }
  Flush();
}

void SubmissionQueue::Probe() {
  m_writer.Write({{.key = std::string(workflow::kProbeKey), .value = {}}}, std::nullopt, std::nullopt,
                 [this](const AppendAnswer& answer) {
                   LogEvent(LogLevel::kInfo, "submissions_probe",
                            {{"outcome", kAppendOutcomeNames.NameOf(answer.outcome)}, {"reason", answer.detail}});
                   Flush();
                 });
}

}  // namespace berylgauge::control
