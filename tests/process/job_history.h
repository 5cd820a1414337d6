#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace berylgauge {

struct AcceptedJob {
  std::string id;
  int tasks = 1;
  std::int64_t accepted_ms = 0;  ///< when its client was answered
};

/// What the workers' records say of one job.
struct JobHistory {
  AcceptedJob job;
  std::optional<std::int64_t> done_ms;  ///< end of the last of its tasks; nothing if there are some left
  std::int64_t longest_wait_ms = 0;     ///< longest time without a run, until the job was done
};

/// Follows jobs through the workers' events (tests/standins/README.md). Waits count from `from_ms` to `to_ms`, on the
/// clock of the events. No worker may have died.
std::vector<JobHistory> FollowJobs(const std::vector<std::vector<nlohmann::json>>& records,
                                   const std::vector<AcceptedJob>& jobs, std::int64_t from_ms, std::int64_t to_ms);

/// The job that waited longest; empty without jobs.
JobHistory LongestWait(const std::vector<JobHistory>& histories);

}  // namespace berylgauge
