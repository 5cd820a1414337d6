#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

/// Splits `state` into payloads for a snapshot stream.
///
/// `snapshot_id` tells the snapshots of different writers apart; `covers` is the last folded offset in `state`.
std::vector<std::string> EncodeSnapshot(const std::string& snapshot_id, Offset covers, const nlohmann::json& state);

/// Puts the parts of snapshots together and keeps the complete one that covers most.
///
/// Incomplete sets, left by a writer that died half way, and sets with a wrong digest are ignored.
class SnapshotAssembler {
 public:
  /// Adds one payload of a snapshot stream; fails with `FailureCode::kCorrupt` on a malformed one.
  Result<void> Add(const std::string& payload);

  /// The state of the newest complete snapshot, or nothing.
  const std::optional<nlohmann::json>& state() const { return m_state; }

  /// Last offset that `state()` covers; `kNoOffset` without a snapshot.
  Offset covers() const { return m_covers; }

 private:
  struct PartialSnapshot {
    Offset covers = kNoOffset;
    std::int64_t part_count = 0;
    std::uint64_t digest = 0;
    std::map<std::int64_t, std::string> parts;
  };

  void Complete(const PartialSnapshot& snapshot);

  std::map<std::string, PartialSnapshot> m_partial;
  std::optional<nlohmann::json> m_state;
  Offset m_covers = kNoOffset;
};

}  // namespace berylgauge
