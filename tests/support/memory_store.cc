#include "support/memory_store.h"

#include <utility>

namespace berylgauge::control {
namespace {

/// As the platform's store: repeats of the last five appends are recognised.
constexpr std::size_t kRememberedAppends = 5;
constexpr std::size_t kMaxRecordBytes = 262'144;
constexpr std::size_t kMaxCallBytes = 2'097'152;

bool IsTooLarge(const AppendCall& call) {
  std::size_t total = 0;
  for (const KeyedRecord& record : call.records) {
    const std::size_t bytes = 1 + record.key.size() + record.value.size();
    if (bytes > kMaxRecordBytes) return true;
    total += bytes;
  }
  return total > kMaxCallBytes;
}

}  // namespace

AppendAnswer MemoryStore::Append(const AppendCall& call) {
  if (IsTooLarge(call)) return {.outcome = AppendOutcome::kRejected, .detail = "too large"};
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

}  // namespace berylgauge::control
