#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "control/keyed_log.h"

namespace berylgauge::control {

/// The platform's store as these tests need it: partitions with history and newest records, producers, conditions.
class MemoryStore {
 public:
  struct Partition {
    std::vector<KeyedRecord> records;  ///< from `first` on
    std::int64_t first = 0;
    std::map<std::string, KeyedRecord> newest;

    std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
  };

  AppendAnswer Append(const AppendCall& call);
  LogReadAnswer Read(const LogPartition& partition, std::int64_t from) const;
  /// Forgets the history of all partitions, but not the newest records.
  void DropHistory();

  const Partition& Get(const LogPartition& partition) { return m_partitions[KeyOf(partition)]; }

 private:
  struct Producer {
    std::int64_t epoch = -1;
    std::int64_t last_sequence = -1;
    std::deque<std::pair<std::int64_t, AppendAnswer>> recent;
  };

  static std::pair<std::string, int> KeyOf(const LogPartition& partition) {
    return {partition.topic, partition.number};
  }

  std::map<std::pair<std::string, int>, Partition> m_partitions;
  std::map<std::pair<std::pair<std::string, int>, std::string>, Producer> m_producers;
};

}  // namespace berylgauge::control
