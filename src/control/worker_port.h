#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "workflow/orders.h"
#include "workflow/run_end.h"
#include "workflow/worker_report.h"

namespace berylgauge::control {

/// Extends the lease of everything on the worker, acknowledges ends and lists what is there.
struct HoldCall {
  workflow::WorkerLife life;
  std::int64_t fencing_token = 0;              ///< the worker refuses a lower one than it has seen in its present life
  std::int64_t acknowledged = 0;               ///< number of the last end that the worker may forget
  std::optional<std::int64_t> lease_end_ms;    ///< on the worker's clock
  absl::Duration wait = absl::ZeroDuration();  ///< the answer waits this long for an end
};

struct HoldAnswer {
  std::int64_t clock_ms = 0;  ///< worker's steady clock
  std::int64_t born = 0;
  std::vector<workflow::ActiveRun> runs;
  std::vector<workflow::RunEnd> ends;  ///< not yet acknowledged, with the lowest numbers first
  bool has_all_ends = true;            ///< otherwise the worker may have ends with higher numbers than those listed
};

struct StartCall {
  workflow::WorkerLife life;
  std::int64_t fencing_token = 0;
  std::string task;
  int run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  std::int64_t lease_end_ms = 0;
};

struct StopCall {
  workflow::WorkerLife life;
  std::int64_t fencing_token = 0;
  std::string task;
  int run = 0;
};

struct PaceCall {
  workflow::WorkerLife life;
  std::int64_t fencing_token = 0;
  std::string task;
  int run = 0;
  int percent = 100;  ///< share of its full speed, 0 to 100
};

/// The worker beside an agent. Callbacks run on the loop's thread, never from within the call.
///
/// A failure with verdict `kMayHaveRun` means that the call may take effect now or later. The failure has the code
/// `kConnectionRefused` if no process listens at the worker's address, `kExpired` if the worker there has another id,
/// and `kConflict` if it has seen a higher fence token or, for stops and paces, is in another life. A call with an
/// effect never reaches another life, unless it has no answer and is carried out late: a start is then refused with
/// `kOtherLife`, and the lists that answer a hold are those of the other life (`HoldAnswer::born`).
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  virtual void Hold(const HoldCall& call, absl::Duration timeout,
                    absl::AnyInvocable<void(Result<HoldAnswer>)> callback) = 0;
  /// A refusal by the worker is an answer, not a failure.
  virtual void Start(const StartCall& call, absl::Duration timeout,
                     absl::AnyInvocable<void(Result<workflow::StartAnswer>)> callback) = 0;
  virtual void Stop(const StopCall& call, absl::Duration timeout, absl::AnyInvocable<void(Result<void>)> callback) = 0;
  virtual void Pace(const PaceCall& call, absl::Duration timeout, absl::AnyInvocable<void(Result<void>)> callback) = 0;
};

}  // namespace berylgauge::control
