#include "memory_store.h"

#include <algorithm>

namespace berylgauge::control {
namespace {

/// As the platform's store: repeats of the last five appends are recognised.
constexpr std::size_t kRememberedAppends = 5;

constexpr absl::Duration kLatency = absl::Milliseconds(1);
constexpr absl::Duration kReadPoll = absl::Milliseconds(5);

}  // namespace

AppendAnswer MemoryStore::Append(const AppendCall& call) {
  Partition& partition = m_partitions[KeyOf(call.partition)];
  Producer& producer = m_producers[{KeyOf(call.partition), call.producer.name}];
  if (call.producer.epoch < producer.epoch) return {.outcome = AppendOutcome::kFenced, .detail = {}};
  if (call.producer.epoch == producer.epoch) {
    for (const auto& [sequence, answer] : producer.recent) {
      if (sequence == call.producer.sequence) return answer;
    }
    if (call.producer.sequence != producer.last_sequence + 1) {
      return {.outcome = AppendOutcome::kOutOfSequence, .detail = {}};
    }
  }
  if (call.expected_end && *call.expected_end != partition.end()) {
    return {.outcome = AppendOutcome::kMoved, .detail = {}};
  }
  if (call.producer.epoch > producer.epoch) producer.recent.clear();
  for (KeyedRecord record : call.records) {
    record.offset = partition.end();
    partition.newest[record.key] = record;
    if (record.value.empty()) partition.newest.erase(record.key);
    partition.records.push_back(std::move(record));
  }
  const AppendAnswer answer{.outcome = AppendOutcome::kStored, .end = partition.end(), .detail = {}};
  producer.epoch = call.producer.epoch;
  producer.last_sequence = call.producer.sequence;
  producer.recent.emplace_back(call.producer.sequence, answer);
  if (producer.recent.size() > kRememberedAppends) producer.recent.pop_front();
  return answer;
}

LogReadAnswer MemoryStore::Read(const LogPartition& partition, std::int64_t from) const {
  const auto found = m_partitions.find(KeyOf(partition));
  if (found == m_partitions.end()) return {};
  const Partition& content = found->second;
  LogReadAnswer answer{.end = content.end(), .records = {}};
  if (from < content.first) {
    answer.expired = true;
    return answer;
  }
  for (std::int64_t offset = from; offset < content.end(); ++offset) {
    answer.records.push_back(content.records[static_cast<std::size_t>(offset - content.first)]);
  }
  return answer;
}

void MemoryStore::DropHistory() {
  for (auto& [key, partition] : m_partitions) {
    partition.first = partition.end();
    partition.records.clear();
  }
}

void MemoryKeyedLog::Append(const AppendCall& call, absl::Duration timeout, AppendCallback callback) {
  ++appends;
  AppendAnswer answer;
  absl::Duration delay = kLatency;
  if (faults.is_cut) {
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

void MemoryKeyedLog::Read(const LogPartition& partition, std::int64_t from, absl::Duration wait, absl::Duration timeout,
                          ReadCallback callback) {
  if (faults.is_cut || faults.refuses) {
    const absl::Duration delay = faults.is_cut ? timeout : kLatency;
    m_loop.AddTimer(m_loop.Now() + delay, [callback = std::move(callback)]() mutable {
      callback(NotRun(FailureCode::kUnavailable, "the store does not answer"));
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
  m_loop.AddTimer(m_loop.Now() + kLatency, [this, partition, after, callback = std::move(callback)]() mutable {
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
