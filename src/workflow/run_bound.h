#pragma once

#include "base/enum_names.h"

namespace berylgauge::workflow {

/// What bounds the time for which a run may go on, or begin, at a worker of which nothing is heard.
///
/// Recorded with each placement, because a successor of the owner may never hear of the worker. Each value is a
/// stronger bound than the one before it.
enum class RunBound {
  kNone,          ///< a call of its start may be carried out yet, also by the next life of the worker
  kLongestLease,  ///< it is in the recorded life, which may hold a lease that a call for a former life has given it
  kGrantedLease,  ///< it is in the recorded life, which holds no lease but those that owners have granted it
};

inline constexpr auto kRunBoundNames = MakeEnumNames<RunBound>({
    {RunBound::kNone, "none"},
    {RunBound::kLongestLease, "longest-lease"},
    {RunBound::kGrantedLease, "granted-lease"},
});

}  // namespace berylgauge::workflow
