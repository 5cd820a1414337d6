#pragma once

#include <cstdint>

#include "base/strong_id.h"

namespace berylgauge {

using AvailabilityZoneId = StrongId<struct AvailabilityZoneTag>;
using RackId = StrongId<struct RackTag>;
using WorkerId = StrongId<struct WorkerTag>;
using EntryId = StrongId<struct EntryTag>;
using ServiceId = StrongId<struct ServiceTag>;
using TeamId = StrongId<struct TeamTag>;
using JobId = StrongId<struct JobTag>;
using TaskId = StrongId<struct TaskTag>;  ///< "JOB/INDEX"
using PlanId = StrongId<struct PlanTag>;
using RequestId = StrongId<struct RequestTag>;

/// Random number chosen at each start of a process; tells its runs apart. Never 0.
using Incarnation = std::uint64_t;

/// Offset of a batch in a stream of the log, from 0.
using Offset = std::int64_t;

/// Before the first offset of a stream.
inline constexpr Offset kNoOffset = -1;

/// Number of an attempt to run a task, from 1.
using AttemptNumber = std::uint32_t;

/// Number of ownership changes of a share, from 1; 0 means that it never had an owner.
using ShareEpoch = std::uint64_t;

/// Count of accepted configuration changes.
using ConfigVersion = std::int64_t;

}  // namespace berylgauge
