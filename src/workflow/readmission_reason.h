#pragma once

#include "base/enum_names.h"

namespace berylgauge::workflow {

/// Why a worker that was taken out gets tasks again.
enum class ReadmissionReason {
  kRunDone,
  kRunAtWork,  ///< a task that lasts has finished its startup there
  kNewLife,    ///< it was started again
};

inline constexpr auto kReadmissionReasonNames = MakeEnumNames<ReadmissionReason>({
    {ReadmissionReason::kRunDone, "run-done"},
    {ReadmissionReason::kRunAtWork, "run-at-work"},
    {ReadmissionReason::kNewLife, "new-life"},
});

}  // namespace berylgauge::workflow
