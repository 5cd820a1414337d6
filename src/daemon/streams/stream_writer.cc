#include "daemon/streams/stream_writer.h"

#include <utility>

#include "base/event_log.h"
#include "clients/log_client.h"
#include "state/batch.h"

namespace berylgauge {

StreamWriter::StreamWriter(LogClient& log, StreamWriterOptions options, std::function<Offset()> seen)
    : m_log(log), m_options(std::move(options)), m_seen(std::move(seen)), m_thread([this] { Run(); }) {}

StreamWriter::~StreamWriter() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_thread.join();
}

void StreamWriter::Append(std::vector<nlohmann::json> records, Callback callback) {
  {
    const absl::MutexLock lock(&m_mutex);
    const bool full = m_queued_records + records.size() > m_options.max_queued_records;
    if (!full && !m_stopping) {
      m_queued_records += records.size();
      m_queue.push_back({.records = std::move(records), .callback = std::move(callback)});
      return;
    }
  }
  callback(NotRun(FailureCode::kOverloaded, "too many records wait for the log"));
}

bool StreamWriter::Flush(absl::Duration timeout) const {
  const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_queue.empty() && !m_busy; };
  const absl::MutexLock lock(&m_mutex);
  return m_mutex.AwaitWithTimeout(absl::Condition(&idle), timeout);
}

void StreamWriter::Run() {
  for (;;) {
    std::vector<Item> items = TakeBatch();
    if (items.empty()) return;
    Batch batch{.writer = m_options.writer,
                .incarnation = m_options.incarnation,
                .sequence = ++m_sequence,
                .seen = m_seen(),
                .records = {}};
    for (Item& item : items) {
      for (nlohmann::json& record : item.records) batch.records.push_back(std::move(record));
    }
    const Result<Offset> offset = AppendUntilAcknowledged(EncodeBatch(batch));
    for (const Item& item : items) item.callback(offset);
    const absl::MutexLock lock(&m_mutex);
    m_busy = false;
  }
}

std::vector<StreamWriter::Item> StreamWriter::TakeBatch() {
  std::vector<Item> items;
  std::vector<Item> abandoned;
  {
    const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || !m_queue.empty(); };
    const absl::MutexLock lock(&m_mutex);
    m_mutex.Await(absl::Condition(&ready));
    std::size_t records = 0;
    while (!m_queue.empty()) {
      const std::size_t size = m_queue.front().records.size();
      if (!m_stopping && !items.empty() && records + size > m_options.max_records_per_batch) break;
      records += size;
      m_queued_records -= size;
      (m_stopping ? abandoned : items).push_back(std::move(m_queue.front()));
      m_queue.pop_front();
    }
    m_busy = !items.empty();
  }
  for (const Item& item : abandoned) item.callback(NotRun(FailureCode::kUnavailable, "shutting down"));
  return items;
}

Result<Offset> StreamWriter::AppendUntilAcknowledged(const std::string& payload) {
  bool reported = false;
  bool may_have_run = false;
  for (;;) {
    Result<Offset> offset = m_log.Append(m_options.stream, payload, m_options.append_timeout);
    if (offset) return offset;
    may_have_run = may_have_run || offset.error().verdict == Verdict::kMayHaveRun;
    if (!reported) {
      LogEvent(LogLevel::kWarning, "append_failed", {{"stream", m_options.stream}, {"reason", offset.error().message}});
      reported = true;
    }
    const absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), m_options.retry_delay);
    if (!m_stopping) continue;
    if (may_have_run) offset.error().verdict = Verdict::kMayHaveRun;
    return offset;
  }
}

}  // namespace berylgauge
