#pragma once

#include "base/enum_names.h"

namespace berylgauge::workflow {

/// Why the owner gave a run up without an end of it in the worker's list.
enum class RunLoss {
  kStartRefused,
  kStartForbidden,  ///< cancelled, evacuated or draining before the start was sent
  kAbsent,          ///< a stop was answered and the run is neither listed as present nor as ended
  kWorkerGone,
  kOtherLife,            ///< the worker was started again
  kLeaseLapsed,          ///< no newer reading of the worker's clock
  kFormerLeaseLapsed,    ///< placed by a former owner on a worker that did not report
  kFormerWorkerReplaced  ///< placed by a former owner; its host has another worker
};

inline constexpr auto kRunLossNames = MakeEnumNames<RunLoss>({
    {RunLoss::kStartRefused, "start-refused"},
    {RunLoss::kStartForbidden, "start-forbidden"},
    {RunLoss::kAbsent, "absent"},
    {RunLoss::kWorkerGone, "worker-gone"},
    {RunLoss::kOtherLife, "other-life"},
    {RunLoss::kLeaseLapsed, "lease-lapsed"},
    {RunLoss::kFormerLeaseLapsed, "former-lease-lapsed"},
    {RunLoss::kFormerWorkerReplaced, "former-worker-replaced"},
});

}  // namespace berylgauge::workflow
