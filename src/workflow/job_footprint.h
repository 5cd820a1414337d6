#pragma once

#include <cstddef>

#include "workflow/job_definition.h"

namespace berylgauge::workflow {

/// Estimated memory that an accepted job takes in an entry, in bytes.
struct JobFootprint {
  std::size_t record = 0;     ///< for as long as the job is stored
  std::size_t scheduled = 0;  ///< beside it at the owner, until the job has ended

  std::size_t total() const { return record + scheduled; }
};

/// Memory of one task that has not ended, with what is recorded of its run.
std::size_t TaskFootprint();

/// `record_bytes` is the length of the job's record in the store. Of a job with due times, one occurrence is counted;
/// `SchedulerOptions::most_waiting_tasks` bounds those that are late.
JobFootprint FootprintOf(const JobDefinition& job, std::size_t record_bytes);

}  // namespace berylgauge::workflow
