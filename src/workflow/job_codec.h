#pragma once

#include <string>
#include <string_view>

#include "base/failure.h"
#include "workflow/job_definition.h"

namespace berylgauge::workflow {

/// CBOR of a job as it is kept in the store.
std::string EncodeJob(const JobDefinition& job);

/// Fails with `kCorrupt` for anything that `EncodeJob` did not make.
Result<JobDefinition> DecodeJob(std::string_view bytes);

}  // namespace berylgauge::workflow
