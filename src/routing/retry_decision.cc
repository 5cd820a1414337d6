#include "routing/retry_decision.h"

namespace berylgauge {

RetryDecision DecideRetry(const RetryQuestion& question, const RetryLimits& limits, RetryBudget& budget,
                          MonotonicTime now) {
  if (question.verdict == Verdict::kRan) return {.is_retry = false, .reason = RetryReason::kRan};
  const bool was_not_run = question.verdict == Verdict::kNotRun;
  if (!was_not_run && !question.is_idempotent) return {.is_retry = false, .reason = RetryReason::kNotIdempotent};
  if (question.deadline - now < limits.min_remaining) return {.is_retry = false, .reason = RetryReason::kDeadline};
  if (question.attempts >= limits.max_attempts) return {.is_retry = false, .reason = RetryReason::kAttemptsExhausted};
  if (!budget.TryTakeRetry(now)) return {.is_retry = false, .reason = RetryReason::kBudgetExhausted};
  return {.is_retry = true, .reason = was_not_run ? RetryReason::kNotRun : RetryReason::kIdempotent};
}

Verdict CombineVerdicts(Verdict former, Verdict latest) {
  if (former == Verdict::kRan || latest == Verdict::kRan) return Verdict::kRan;
  if (former == Verdict::kMayHaveRun || latest == Verdict::kMayHaveRun) return Verdict::kMayHaveRun;
  return Verdict::kNotRun;
}

}  // namespace berylgauge
