#include "memory_keyed_log.h"

#include <algorithm>
#include <utility>

namespace berylgauge::control {
namespace {

constexpr absl::Duration kLatency = absl::Milliseconds(1);
constexpr absl::Duration kReadPoll = absl::Milliseconds(5);

}  // namespace

void MemoryKeyedLog::Append(const AppendCall& call, absl::Duration timeout, AppendCallback callback) {
  ++appends;
  AppendAnswer answer;
  absl::Duration delay = kLatency;
  if (faults.is_cut || faults.holds_appends) {
    if (!faults.is_cut) m_held.push_back(call);
    answer.outcome = AppendOutcome::kUnknown;
    delay = timeout;
  } else if (faults.refuses) {
    answer.outcome = AppendOutcome::kNothingDone;
  } else {
    answer = m_store.Append(call);
    if (faults.lost_answers > 0) {
      --faults.lost_answers;
      answer = {.outcome = AppendOutcome::kUnknown, .detail = {}};
      delay = timeout;
    }
  }
  m_loop.AddTimer(m_loop.Now() + delay, [answer, callback = std::move(callback)]() mutable { callback(answer); });
}

int MemoryKeyedLog::CarryOutHeld() {
  int stored = 0;
  for (const AppendCall& call : std::exchange(m_held, {})) {
    if (m_store.Append(call).outcome == AppendOutcome::kStored) ++stored;
  }
  return stored;
}

void MemoryKeyedLog::Read(const LogPartition& partition, std::int64_t from, absl::Duration wait, absl::Duration timeout,
                          ReadCallback callback) {
  ++reads;
  longest_read_timeout = std::max(longest_read_timeout, timeout);
  const bool is_silent = faults.is_cut || faults.silent_reads == partition;
  if (is_silent || faults.refuses) {
    const absl::Duration delay = is_silent ? timeout : kLatency;
    const FailureCode code = is_silent ? FailureCode::kDeadlineExceeded : FailureCode::kOverloaded;
    m_loop.AddTimer(m_loop.Now() + delay, [code, callback = std::move(callback)]() mutable {
      callback(NotRun(code, "the store does not answer"));
    });
    return;
  }
  TryRead(partition, from, m_loop.Now() + wait, std::move(callback));
}

void MemoryKeyedLog::TryRead(const LogPartition& partition, std::int64_t from, MonotonicTime until,
                             ReadCallback callback) {
  m_loop.AddTimer(m_loop.Now() + kLatency, [this, partition, from, until, callback = std::move(callback)]() mutable {
    LogReadAnswer answer = m_store.Read(partition, from);
    if (answer.expired || !answer.records.empty() || m_loop.Now() >= until) {
      callback(std::move(answer));
      return;
    }
    m_loop.AddTimer(m_loop.Now() + kReadPoll, [this, partition, from, until, callback = std::move(callback)]() mutable {
      TryRead(partition, from, until, std::move(callback));
    });
  });
}

void MemoryKeyedLog::ReadNewest(const LogPartition& partition, const std::string& after, absl::Duration timeout,
                                NewestCallback callback) {
  if (faults.is_cut || faults.refuses) {
    m_loop.AddTimer(m_loop.Now() + (faults.is_cut ? timeout : kLatency), [callback = std::move(callback)]() mutable {
      callback(NotRun(FailureCode::kUnavailable, "the store does not answer"));
    });
    return;
  }
  m_loop.AddTimer(m_loop.Now() + kLatency, [this, partition, after, timeout, callback = std::move(callback)]() mutable {
    if (faults.holds_later_pages && !after.empty()) {
      ReadNewest(partition, after, timeout, std::move(callback));
      return;
    }
    // Two records a page, so that paging is exercised.
    constexpr std::size_t kPageSize = 2;
    const MemoryStore::Partition& content = m_store.Get(partition);
    LogNewestPage page{.records = {}, .next_after = {}, .end = content.end()};
    for (auto it = content.newest.upper_bound(after); it != content.newest.end(); ++it) {
      if (page.records.size() == kPageSize) {
        page.next_after = page.records.back().key;
        break;
      }
      page.records.push_back(it->second);
    }
    callback(std::move(page));
  });
}

}  // namespace berylgauge::control
