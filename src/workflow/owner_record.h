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
  bool is_sole = false;    ///< no owner before this one can still grant leases

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

/// Epoch of a claim after the owner of `former`. The low bits are `salt`, because the store takes two appends with
/// equal producer, epoch and sequence for repeats of one, and would confirm both of two entries that claim together.
std::int64_t NextOwnerEpoch(std::int64_t former, std::uint64_t salt);

/// Highest number of a life in a fence token.
inline constexpr std::int64_t kMaxLifeNumber = (std::int64_t{1} << 20) - 1;

/// Fence token of calls to the life with that number, 1 to `kMaxLifeNumber`, of a worker under the owner of `epoch`.
/// Rises with the owner, and under one owner with the number. The salt of the epoch is left out, because of the claims
/// that differ by it alone only one is stored.
std::int64_t FencingTokenOf(std::int64_t epoch, std::int64_t life_number);

std::string EncodeOwner(const OwnerRecord& owner);
Result<OwnerRecord> DecodeOwner(std::string_view bytes);

}  // namespace berylgauge::workflow
