#pragma once

#include <absl/time/time.h>

#include "base/enum_names.h"
#include "base/monotonic_time.h"
#include "base/verdict.h"
#include "routing/retry_budget.h"

namespace berylgauge {

/// Why a request is retried or not.
enum class RetryReason {
  kNotRun,             ///< retried: the attempt was not run
  kIdempotent,         ///< retried: it may have run, and running it again is harmless
  kRan,                ///< not retried: the response is complete
  kNotIdempotent,      ///< not retried: it may have run, and running it again could do harm
  kDeadline,           ///< not retried: too little time is left
  kAttemptsExhausted,  ///< not retried: the limit of attempts is reached
  kBudgetExhausted,    ///< not retried: the retry budget is empty
};

inline constexpr auto kRetryReasonNames = MakeEnumNames<RetryReason>({
    {RetryReason::kNotRun, "not-run"},
    {RetryReason::kIdempotent, "idempotent"},
    {RetryReason::kRan, "ran"},
    {RetryReason::kNotIdempotent, "not-idempotent"},
    {RetryReason::kDeadline, "deadline"},
    {RetryReason::kAttemptsExhausted, "attempts-exhausted"},
    {RetryReason::kBudgetExhausted, "budget-exhausted"},
});

/// What is known after an attempt of a request failed.
struct RetryQuestion {
  /// Of all attempts of the request together, see `CombineVerdicts`. The verdict of the last attempt alone would allow
  /// a non-idempotent request to run again after an earlier attempt that may have run.
  Verdict verdict = Verdict::kMayHaveRun;
  bool is_idempotent = false;
  int attempts = 1;  ///< made so far
  MonotonicTime deadline;
};

struct RetryLimits {
  int max_attempts = 4;
  absl::Duration min_remaining = absl::Milliseconds(5);  ///< an attempt with less time left would only be refused
};

struct RetryDecision {
  bool is_retry = false;
  RetryReason reason = RetryReason::kRan;

  bool operator==(const RetryDecision&) const = default;
};

/// Decides by verdict, deadline, number of attempts and budget, in this order; a token of the budget is taken only if
/// everything else permits the retry.
RetryDecision DecideRetry(const RetryQuestion& question, const RetryLimits& limits, RetryBudget& budget,
                          MonotonicTime now);

/// The verdict of a request from those of its attempts: `kNotRun` only if none may have run, `kRan` if one ran.
Verdict CombineVerdicts(Verdict former, Verdict latest);

}  // namespace berylgauge
