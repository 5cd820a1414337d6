#include "daemon/streams/stream_follower.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "clients/log_client.h"
#include "daemon/streams/fold_target.h"
#include "state/batch.h"
#include "state/snapshot.h"

namespace berylgauge {
namespace {

constexpr int kRecordsPerRead = 500;

}  // namespace

StreamFollower::StreamFollower(LogClient& log, const Clock& clock, FoldTarget& target, StreamFollowerOptions options)
    : m_log(log), m_clock(clock), m_target(target), m_options(std::move(options)), m_thread([this] { Run(); }) {}

StreamFollower::~StreamFollower() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_thread.join();
}

TailProof StreamFollower::TailProofNow() const {
  const absl::MutexLock lock(&m_mutex);
  return m_proof;
}

bool StreamFollower::HasGap() const {
  const absl::MutexLock lock(&m_mutex);
  return m_has_gap;
}

bool StreamFollower::WaitForOffset(Offset offset, absl::Duration timeout) const {
  const auto reached = [this, offset]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_position >= offset; };
  const absl::MutexLock lock(&m_mutex);
  return m_mutex.AwaitWithTimeout(absl::Condition(&reached), timeout);
}

void StreamFollower::Run() {
  bool bootstrapped = false;
  for (;;) {
    {
      const absl::MutexLock lock(&m_mutex);
      if (m_stopping) return;
    }
    if (!bootstrapped) {
      bootstrapped = Bootstrap();
    } else {
      ReadOnce();
    }
  }
}

bool StreamFollower::Bootstrap() {
  if (m_options.tail_records > 0 ? SkipToTail() : LoadSnapshot()) return true;
  PauseAfterFailure();
  return false;
}

bool StreamFollower::SkipToTail() {
  const Result<LogBounds> bounds = m_log.Bounds(m_options.stream, m_options.read_timeout);
  if (!bounds) return false;
  const Offset from = std::max(bounds->first_offset, bounds->next_offset - m_options.tail_records);
  if (from - 1 > m_target.Position()) m_target.Skip(from - 1);
  return true;
}

bool StreamFollower::LoadSnapshot() {
  if (m_options.snapshot_stream.empty()) return true;
  const Result<LogBounds> bounds = m_log.Bounds(m_options.snapshot_stream, m_options.read_timeout);
  if (!bounds) return false;
  SnapshotAssembler assembler;
  Offset from = bounds->first_offset;
  while (from < bounds->next_offset) {
    const auto page =
        m_log.Read(m_options.snapshot_stream, from, kRecordsPerRead, absl::ZeroDuration(), m_options.read_timeout);
    if (!page) return false;
    for (const LogRecord& record : page->records) {
      if (!assembler.Add(record.payload)) {
        LogEvent(LogLevel::kWarning, "snapshot_part_malformed",
                 {{"stream", m_options.snapshot_stream}, {"offset", record.offset}});
      }
    }
    if (page->records.empty()) break;
    from = page->records.back().offset + 1;
  }
  if (!assembler.state() || assembler.covers() <= m_target.Position()) return true;
  const Result<void> restored = m_target.Restore(*assembler.state());
  if (!restored) {
    LogEvent(LogLevel::kError, "snapshot_unusable",
             {{"stream", m_options.snapshot_stream}, {"reason", restored.error().message}});
    return false;
  }
  PublishPosition();
  return true;
}

void StreamFollower::PublishPosition() {
  // Readers of the state take this object's lock while they hold that of the state, so the order must not be reversed.
  const Offset position = m_target.Position();
  const absl::MutexLock lock(&m_mutex);
  m_position = position;
}

void StreamFollower::ReadOnce() {
  const MonotonicTime begun = m_clock.Now();
  const Offset from = m_target.Position() + 1;
  const auto page = m_log.Read(m_options.stream, from, kRecordsPerRead, m_options.poll_wait, m_options.read_timeout);
  if (!page) {
    if (page.error().code == FailureCode::kExpired) {
      ReportGap(from);
      Bootstrap();
    } else if (!m_failure_reported) {
      LogEvent(LogLevel::kWarning, "stream_read_failed",
               {{"stream", m_options.stream}, {"reason", page.error().message}});
      m_failure_reported = true;
    }
    PauseAfterFailure();
    return;
  }
  if (m_failure_reported) LogEvent(LogLevel::kInfo, "stream_read_recovered", {{"stream", m_options.stream}});
  m_failure_reported = false;
  for (const LogRecord& record : page->records) Fold(record.offset, record.payload);
  PublishPosition();
  const absl::MutexLock lock(&m_mutex);
  m_has_gap = false;
  if (m_position + 1 >= page->next_offset) m_proof = {.offset = m_position, .at = begun};
}

void StreamFollower::ReportGap(Offset from) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (std::exchange(m_has_gap, true)) return;
  }
  LogEvent(LogLevel::kError, "stream_gap", {{"stream", m_options.stream}, {"next_offset", from}});
}

void StreamFollower::Fold(Offset offset, const std::string& payload) {
  const Result<Batch> batch = DecodeBatch(payload);
  if (batch) {
    m_target.Apply(*batch, offset);
    return;
  }
  LogEvent(LogLevel::kError, "batch_malformed",
           {{"stream", m_options.stream}, {"offset", offset}, {"reason", batch.error().message}});
  m_target.Skip(offset);
}

void StreamFollower::PauseAfterFailure() {
  const absl::MutexLock lock(&m_mutex);
  m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), m_options.retry_delay);
}

}  // namespace berylgauge
