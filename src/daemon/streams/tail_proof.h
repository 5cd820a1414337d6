#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

namespace berylgauge {

/// Proof that every record appended before `at` has been folded.
struct TailProof {
  Offset offset = kNoOffset;
  MonotonicTime at = InfinitePast();  ///< when the read that confirmed the tail was begun
};

}  // namespace berylgauge
