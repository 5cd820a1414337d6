#pragma once

#include "base/ids.h"
#include "base/monotonic_time.h"

namespace berylgauge {

/// Evidence that the holder knows the whole configuration as of a moment on its own clock.
struct FreshnessProof {
  ConfigVersion version = 0;          ///< configuration version at `offset`
  Offset offset = kNoOffset;          ///< tail of the `config` stream that was confirmed
  MonotonicTime at = InfinitePast();  ///< local time of the proof; never later than the confirming read began
};

}  // namespace berylgauge
