#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace berylgauge::workflow {

/// Names the entry that owns the scheduling decisions.
struct OwnerRecord {
  std::int64_t epoch = 0;  ///< rises with each claim
  std::string holder;      ///< host and incarnation of the entry; empty after a planned hand-over

  friend bool operator==(const OwnerRecord&, const OwnerRecord&) = default;
};

std::string EncodeOwner(const OwnerRecord& owner);
Result<OwnerRecord> DecodeOwner(std::string_view bytes);

}  // namespace berylgauge::workflow
