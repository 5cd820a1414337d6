#pragma once

#include "base/enum_names.h"

namespace berylgauge {

/// Whether new tasks may start in an availability zone or on a worker.
enum class AvailabilityState {
  kOpen,
  kDrained,  ///< taken out by operators: nothing new starts, what runs is moved away
  kLost,     ///< worker only: operators confirmed that nothing runs there any more
};

inline constexpr auto kAvailabilityStateNames = MakeEnumNames<AvailabilityState>({
    {AvailabilityState::kOpen, "open"},
    {AvailabilityState::kDrained, "drained"},
    {AvailabilityState::kLost, "lost"},
});

}  // namespace berylgauge
