#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "workflow/worker_report.h"

namespace berylgauge::workflow {

/// Tells an agent to start a run.
struct StartOrder {
  std::string agent;
  WorkerLife life;
  std::string job;
  std::string task;
  int run = 0;
  std::string checkpoint;  ///< empty to start from the beginning
  bool fills_idle_cpu = false;
  int tail_target_ms = 0;       ///< 0 for a task that serves nobody
  std::int64_t demand_cpu = 0;  ///< thousandths of a core
  std::string image;            ///< what the task runs; empty if unnamed
  std::string ticket;           ///< of the advice service; empty for none
  bool was_sent = false;        ///< an earlier message with this start may have arrived
};

/// Tells an agent to stop a run, or to make sure that it never starts.
struct StopOrder {
  std::string agent;
  WorkerLife life;
  std::string task;
  int run = 0;
};

/// Why a start had no effect.
enum class StartRefusal {
  kNone,        ///< it runs
  kEnded,       ///< the run has ended or was stopped, or a call may begin it yet; a stop tells
  kUnanswered,  ///< no call was answered in time; one may begin the run yet
  kRoom,
  kTicket,
  kUnhealthy,
  kDraining,
  kLate,        ///< the lease in the order had passed
  kOtherLife,   ///< the worker has another life
  kUnreached,   ///< no call reached a worker before the agent gave up
  kWithdrawn,   ///< a stop was ordered before a call reached the worker
  kStaleOwner,  ///< a newer owner has given orders
};

inline constexpr auto kStartRefusalNames = MakeEnumNames<StartRefusal>({
    {StartRefusal::kNone, "none"},
    {StartRefusal::kEnded, "ended"},
    {StartRefusal::kUnanswered, "unanswered"},
    {StartRefusal::kRoom, "room"},
    {StartRefusal::kTicket, "ticket"},
    {StartRefusal::kUnhealthy, "unhealthy"},
    {StartRefusal::kDraining, "draining"},
    {StartRefusal::kLate, "late"},
    {StartRefusal::kOtherLife, "other-life"},
    {StartRefusal::kUnreached, "unreached"},
    {StartRefusal::kWithdrawn, "withdrawn"},
    {StartRefusal::kStaleOwner, "stale-owner"},
});

/// Final answer to a start: whatever else happens, a refused run never begins.
struct StartAnswer {
  StartRefusal refusal = StartRefusal::kNone;
  std::int64_t clock_ms = 0;  ///< worker's clock at the answer; 0 if unknown
  /// Whether every call of this start was answered, so that the worker's next life cannot carry one out.
  bool is_settled = false;
};

/// Ends of a worker that may be acknowledged to it once the batch is durable.
struct EndAcknowledgement {
  WorkerLife life;
  std::int64_t number = 0;  ///< of the last end
};

/// Records to be stored together, and what may happen once they are.
struct Batch {
  std::vector<std::pair<std::string, std::string>> records;  ///< key and value; an empty value removes the key
  std::vector<StartOrder> starts;
  std::vector<EndAcknowledgement> acknowledgements;
};

}  // namespace berylgauge::workflow
