#pragma once

#include "base/failure.h"

namespace berylgauge {

/// Exit codes of the command line, for scripts.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,           ///< wrong arguments, input or settings
  kRefused = 3,         ///< the plan is out of date or the request is not allowed
  kUnreachable = 4,     ///< no entry could be reached, or it has no log; nothing was done
  kOutcomeUnknown = 5,  ///< the change may have been carried out
};

/// The exit code that tells a script what to do about `failure`.
ExitCode ExitCodeOf(const Failure& failure);

}  // namespace berylgauge
