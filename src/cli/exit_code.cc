#include "cli/exit_code.h"

namespace berylgauge {

ExitCode ExitCodeOf(const Failure& failure) {
  if (failure.verdict == Verdict::kMayHaveRun) return ExitCode::kOutcomeUnknown;
  switch (failure.code) {
    case FailureCode::kInvalidArgument:
      return ExitCode::kUsage;
    case FailureCode::kConflict:
    case FailureCode::kRefused:
      return ExitCode::kRefused;
    case FailureCode::kConnectionRefused:
    case FailureCode::kUnavailable:
    case FailureCode::kDeadlineExceeded:
    case FailureCode::kOverloaded:
      return ExitCode::kUnreachable;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace berylgauge
