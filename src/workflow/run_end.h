#pragma once

#include <cstdint>
#include <string>

#include "base/enum_names.h"

namespace berylgauge::workflow {

/// How a run of a task ended at its worker.
enum class RunEndKind {
  kDone,
  kFailed,   ///< through its own fault or the worker's
  kStopped,  ///< on our order
  kLapsed,   ///< its lease ran out
  kBroken,   ///< another member of its gang ended
  kAlone,    ///< it waited too long for the other members of its gang
};

inline constexpr auto kRunEndKindNames = MakeEnumNames<RunEndKind>({
    {RunEndKind::kDone, "done"},
    {RunEndKind::kFailed, "failed"},
    {RunEndKind::kStopped, "stopped"},
    {RunEndKind::kLapsed, "lapsed"},
    {RunEndKind::kBroken, "broken"},
    {RunEndKind::kAlone, "alone"},
});

/// An end in a worker's list.
struct RunEnd {
  std::int64_t number = 0;  ///< position in the list of the worker's present life, from 1
  std::string task;
  int run = 0;
  RunEndKind kind = RunEndKind::kStopped;
  std::string checkpoint;  ///< empty for none

  friend bool operator==(const RunEnd&, const RunEnd&) = default;
};

/// A run that a worker lists as present.
struct ActiveRun {
  std::string task;
  int run = 0;
  std::string checkpoint;     ///< newest; empty for none
  int percent = 0;            ///< of its work; for a task that lasts, 100 once it is at work
  std::int64_t measured = 0;  ///< last half second: tail latency in ms of a serving task, else `cpu` in use

  friend bool operator==(const ActiveRun&, const ActiveRun&) = default;
};

}  // namespace berylgauge::workflow
