#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "base/failure.h"
#include "base/ids.h"
#include "state/job_spec.h"
#include "state/task.h"

namespace berylgauge {

/// A job was accepted. A repeat with the same id has no effect.
struct JobSubmitted {
  JobId job;
  JobSpec spec;
  std::int64_t submitted_unix_ms = 0;
};

struct JobCancelled {
  JobId job;
  std::string requested_by;
};

/// An entry takes the share over; valid only as successor of `previous_epoch`.
struct ShareClaimed {
  EntryId entry;
  Incarnation entry_incarnation = 0;
  ShareEpoch previous_epoch = 0;
};

/// The owner gives the share up in a planned stop, so that the next claim need not wait for its lease.
struct ShareReleased {
  ShareEpoch epoch = 0;
};

/// The owner binds attempt `attempt` of a task to one incarnation of one worker's agent.
struct TaskPlaced {
  ShareEpoch epoch = 0;
  TaskId task;
  AttemptNumber attempt = 0;
  WorkerId worker;
  AvailabilityZoneId availability_zone;
  Incarnation agent_incarnation = 0;
  std::string reason;
};

struct TaskStarted {
  ShareEpoch epoch = 0;
  TaskId task;
  AttemptNumber attempt = 0;
};

/// Proof that an attempt does not run any more.
struct TaskEnded {
  ShareEpoch epoch = 0;
  TaskId task;
  AttemptNumber attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kNotRun;
  std::string checkpoint;  ///< empty if the attempt made none
  std::string detail;
};

/// The owner gives a waiting task up, with the evidence.
struct TaskParked {
  ShareEpoch epoch = 0;
  TaskId task;
  std::string detail;
};

using JobsRecord = std::variant<JobSubmitted, JobCancelled, ShareClaimed, ShareReleased, TaskPlaced, TaskStarted,
                                TaskEnded, TaskParked>;

nlohmann::json EncodeJobsRecord(const JobsRecord& record);
Result<JobsRecord> DecodeJobsRecord(const nlohmann::json& document);

}  // namespace berylgauge
