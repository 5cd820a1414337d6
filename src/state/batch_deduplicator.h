#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/ids.h"

namespace berylgauge {

struct Batch;
class JsonObjectReader;

/// Recognises batches that were appended again after a lost answer.
///
/// Part of the folded state and its snapshot, so that every reader drops the same batches.
class BatchDeduplicator {
 public:
  /// Returns true the first time that a batch is seen, false for a repeat.
  bool Accept(const Batch& batch, Offset offset);

  nlohmann::json ToJson() const;
  void Restore(JsonObjectReader& reader);

 private:
  struct Position {
    std::uint64_t sequence = 0;
    Offset offset = kNoOffset;
  };

  void DropOldest();

  std::map<std::pair<std::string, Incarnation>, Position> m_positions;
};

}  // namespace berylgauge
