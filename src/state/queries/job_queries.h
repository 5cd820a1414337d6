#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

class JobsState;

/// One line for each job of the share: id, name, team, and the number of tasks in each state.
nlohmann::json ListJobs(const JobsState& state);

/// A job with all its tasks; fails with `FailureCode::kNotFound`.
Result<nlohmann::json> ShowJob(const JobsState& state, const JobId& job);

/// Why a task is where it is, or why it waits; fails with `FailureCode::kNotFound`.
Result<nlohmann::json> ExplainTask(const JobsState& state, const TaskId& task);

}  // namespace berylgauge
