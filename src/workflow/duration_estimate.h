#pragma once

#include <absl/time/time.h>

#include "base/enum_names.h"

namespace berylgauge::workflow {

/// What an estimate of a duration rests on.
enum class DurationSource {
  kDeclared,  ///< the step's declaration alone
  kImage,     ///< completed tasks of other steps of the image
  kStep,      ///< completed and active runs of the step itself
};

inline constexpr auto kDurationSourceNames = MakeEnumNames<DurationSource>({
    {DurationSource::kDeclared, "declared"},
    {DurationSource::kImage, "image"},
    {DurationSource::kStep, "step"},
});

/// Work of a task, as its run time at full speed.
struct DurationEstimate {
  absl::Duration expected;
  absl::Duration bound;  ///< not exceeded by nine in ten tasks, by the observed spread
  DurationSource source = DurationSource::kDeclared;
};

}  // namespace berylgauge::workflow
