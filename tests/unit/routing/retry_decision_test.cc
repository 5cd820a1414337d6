#include "routing/retry_decision.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "routing_fixtures.h"

namespace berylgauge {
namespace {

struct RetryCase {
  Verdict verdict;
  bool is_idempotent;
  int attempts;
  int remaining_ms;
  bool has_budget;
  RetryDecision decision;
};

// Guards against a second run of a request that must run at most once, and against retries that only add load.
TEST_CASE("retries follow the verdict", "[retry]") {
  using enum Verdict;
  const auto test = GENERATE(values<RetryCase>({
      {kNotRun, false, 1, 1000, true, {true, RetryReason::kNotRun}},
      {kNotRun, true, 1, 1000, true, {true, RetryReason::kNotRun}},
      {kMayHaveRun, true, 1, 1000, true, {true, RetryReason::kIdempotent}},
      {kMayHaveRun, false, 1, 1000, true, {false, RetryReason::kNotIdempotent}},
      {kRan, false, 1, 1000, true, {false, RetryReason::kRan}},
      {kRan, true, 1, 1000, true, {false, RetryReason::kRan}},
      {kNotRun, false, 1, 5, true, {true, RetryReason::kNotRun}},
      {kNotRun, false, 1, 4, true, {false, RetryReason::kDeadline}},
      {kNotRun, false, 1, -1, true, {false, RetryReason::kDeadline}},
      {kMayHaveRun, true, 1, 4, true, {false, RetryReason::kDeadline}},
      {kMayHaveRun, false, 9, 4, false, {false, RetryReason::kNotIdempotent}},
      {kNotRun, false, 3, 1000, true, {true, RetryReason::kNotRun}},
      {kNotRun, false, 4, 1000, true, {false, RetryReason::kAttemptsExhausted}},
      {kNotRun, false, 1, 1000, false, {false, RetryReason::kBudgetExhausted}},
      {kMayHaveRun, true, 1, 1000, false, {false, RetryReason::kBudgetExhausted}},
  }));
  INFO(kVerdictNames.NameOf(test.verdict) << " idempotent " << test.is_idempotent << " attempts " << test.attempts);
  RetryBudget budget({.percent = 0, .min_retries_per_second = test.has_budget ? 1 : 0}, At(0));
  const RetryQuestion question{.verdict = test.verdict,
                               .is_idempotent = test.is_idempotent,
                               .attempts = test.attempts,
                               .deadline = At(test.remaining_ms)};
  const RetryDecision decision = DecideRetry(question, {}, budget, At(0));
  CHECK(decision.is_retry == test.decision.is_retry);
  CHECK(kRetryReasonNames.NameOf(decision.reason) == kRetryReasonNames.NameOf(test.decision.reason));
  // A token is spent exactly when the request is retried.
  CHECK(budget.balance() == Approx(test.has_budget && !decision.is_retry ? 1.0 : 0.0));
}

struct CombineCase {
  Verdict former;
  Verdict latest;
  Verdict combined;
};

// Guards against "not run" for a request whose first attempt may have run and whose second one was refused.
TEST_CASE("the verdict of a request covers all its attempts", "[retry]") {
  using enum Verdict;
  const auto test = GENERATE(values<CombineCase>({
      {kNotRun, kNotRun, kNotRun},
      {kNotRun, kMayHaveRun, kMayHaveRun},
      {kNotRun, kRan, kRan},
      {kMayHaveRun, kNotRun, kMayHaveRun},
      {kMayHaveRun, kMayHaveRun, kMayHaveRun},
      {kMayHaveRun, kRan, kRan},
      {kRan, kNotRun, kRan},
  }));
  CHECK(CombineVerdicts(test.former, test.latest) == test.combined);
}

// Guards against retries that multiply the load of a failing service.
TEST_CASE("retry budget grows with requests and with time", "[retry]") {
  RetryBudget budget({.percent = 10, .min_retries_per_second = 2, .max_retries = 5}, At(0));
  SECTION("starts with the minimum of one second") {
    CHECK(budget.TryTakeRetry(At(0)));
    CHECK(budget.TryTakeRetry(At(0)));
    CHECK_FALSE(budget.TryTakeRetry(At(0)));
  }
  SECTION("one retry for ten requests") {
    while (budget.TryTakeRetry(At(0))) {
    }
    for (int i = 0; i < 9; ++i) budget.AddRequest();
    CHECK_FALSE(budget.TryTakeRetry(At(0)));
    budget.AddRequest();
    CHECK(budget.TryTakeRetry(At(0)));
    CHECK_FALSE(budget.TryTakeRetry(At(0)));
  }
  SECTION("the minimum is added over time, in steps however small") {
    while (budget.TryTakeRetry(At(0))) {
    }
    int taken = 0;
    for (int ms = 1; ms <= 3000; ++ms) taken += budget.TryTakeRetry(At(ms)) ? 1 : 0;
    CHECK(taken == 6);
  }
  SECTION("is bounded after a long time and many requests") {
    for (int i = 0; i < 1000; ++i) budget.AddRequest();
    int taken = 0;
    while (budget.TryTakeRetry(At(86'400'000))) ++taken;
    CHECK(taken == 5);
  }
  SECTION("time that goes backwards adds nothing") {
    while (budget.TryTakeRetry(At(5000))) {
    }
    CHECK_FALSE(budget.TryTakeRetry(At(0)));
    CHECK_FALSE(budget.TryTakeRetry(At(5000)));
  }
}

// Guards against tokens that two threads take at once.
TEST_CASE("threads share the retry budget", "[retry][threads]") {
  RetryBudget budget({.percent = 100, .min_retries_per_second = 0, .max_retries = 1'000'000}, At(0));
  std::atomic<int> taken{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 5000; ++n) {
        budget.AddRequest();
        taken.fetch_add(budget.TryTakeRetry(At(n)) ? 1 : 0);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  while (budget.TryTakeRetry(At(5000))) taken.fetch_add(1);
  CHECK(taken.load() == 20'000);
}

}  // namespace
}  // namespace berylgauge
