#pragma once

#include "base/enum_names.h"

namespace berylgauge {

/// Tells whether a request or an order may have had an effect.
enum class Verdict {
  kNotRun,      ///< It was not run and never will be.
  kMayHaveRun,  ///< It may have run, may be running or may run later.
  kRan,         ///< It ran and its whole answer is known.
};

inline constexpr auto kVerdictNames = MakeEnumNames<Verdict>({
    {Verdict::kNotRun, "not-run"},
    {Verdict::kMayHaveRun, "may-have-run"},
    {Verdict::kRan, "ran"},
});

}  // namespace berylgauge
