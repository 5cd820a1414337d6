#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace berylgauge::workflow {

/// Names the entry that owns the scheduling decisions.
struct OwnerRecord {
  std::int64_t epoch = 0;  ///< rises with each claim; see `NextOwnerEpoch`
  std::string holder;      ///< host and incarnation of the entry; empty after a planned hand-over

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

/// Epoch of a claim after the owner of `former`. The low bits are `salt`, because the store takes two appends with
/// equal producer, epoch and sequence for repeats of one, and would confirm both of two entries that claim together.
std::int64_t NextOwnerEpoch(std::int64_t former, std::uint64_t salt);

std::string EncodeOwner(const OwnerRecord& owner);
Result<OwnerRecord> DecodeOwner(std::string_view bytes);

}  // namespace berylgauge::workflow
