#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/resources.h"
#include "workflow/run_end.h"

namespace berylgauge::workflow {

/// Whether a worker takes new runs.
enum class WorkerCondition {
  kReady,
  kDraining,  ///< announced its end; its runs go on for `remaining_ms`
  kGone,      ///< left, or its process does not exist any more; nothing runs there
};

inline constexpr auto kWorkerConditionNames = MakeEnumNames<WorkerCondition>({
    {WorkerCondition::kReady, "ready"},
    {WorkerCondition::kDraining, "draining"},
    {WorkerCondition::kGone, "gone"},
});

/// One life of a worker. The platform may use an id again: then nothing of the former life is left, but calls that were
/// meant for it are accepted by the next one until that has seen a higher fence token.
struct WorkerLife {
  std::string worker;     ///< id; empty if unknown
  std::int64_t born = 0;  ///< Unix milliseconds of its start

  friend bool operator==(const WorkerLife&, const WorkerLife&) = default;
};

/// Ends that a worker listed in one life and that may not be known to the owner.
struct PastEnds {
  WorkerLife life;
  std::vector<RunEnd> ends;

  friend bool operator==(const PastEnds&, const PastEnds&) = default;
};

/// A start with a call without an answer, as its agent tells it.
struct ReportedLateCall {
  std::string task;
  int run = 0;
  std::string worker;       ///< id
  std::int64_t age_ms = 0;  ///< of the newest such call

  friend bool operator==(const ReportedLateCall&, const ReportedLateCall&) = default;
};

/// What an agent says of the worker beside it.
struct WorkerReport {
  Incarnation agent_incarnation = 0;
  WorkerLife announced;            ///< newest life that the agent has heard of; it may not have answered any call yet
  bool is_announced_gone = false;  ///< that life has left, or its process does not exist any more
  WorkerLife life;  ///< the same once it has answered with the owner's fence token; else empty, as all that follows
  WorkerCondition condition = WorkerCondition::kReady;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  std::string rack;  ///< the label that names its rack; empty if none does
  Resources capacity;
  std::int64_t remaining_ms = 0;     ///< least time left to a draining worker
  std::int64_t worker_clock_ms = 0;  ///< worker's steady clock as of the lists; 0 if it never answered
  /// How long ago the agent's process first had an answer of this life to a call with a token of its own. Since then no
  /// call for a former life has had an effect.
  std::int64_t confirmed_ms = 0;
  bool has_runs = false;  ///< `runs` is the whole list as of `worker_clock_ms`
  std::vector<ActiveRun> runs;
  std::vector<RunEnd> ends;  ///< not yet acknowledged
  bool has_all_ends = true;  ///< otherwise the worker may have ends with higher numbers than those in `ends`
  /// Ends that were listed in a life that is over, or that has not answered with the owner's fence token. They hold
  /// whatever became of the worker, but say nothing of its other runs.
  std::vector<PastEnds> past_ends;
  /// Starts that may begin a run yet, in whatever life, or may have begun one in a life that the agent has not heard
  /// of: no list of a life that answered after the last time for the call was read. All that the agent's process has
  /// made.
  std::vector<ReportedLateCall> late_calls;
  std::int64_t calls_known_ms = 0;  ///< age of the agent's process
  /// The same holds for calls that former processes of the agent have made: none is open.
  bool knows_former_calls = false;
};

}  // namespace berylgauge::workflow
