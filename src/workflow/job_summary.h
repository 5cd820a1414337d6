#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "workflow/job_phase.h"

namespace berylgauge::workflow {

/// Value of a job's summary record: the name of its phase.
inline std::string EncodeJobSummary(JobPhase phase) { return std::string(kJobPhaseNames.NameOf(phase)); }

inline std::optional<JobPhase> DecodeJobSummary(std::string_view bytes) { return kJobPhaseNames.ValueOf(bytes); }

}  // namespace berylgauge::workflow
