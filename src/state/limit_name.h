#pragma once

#include <array>
#include <cstdint>

#include "base/enum_names.h"

namespace berylgauge {

/// Limits that operators can change while the system runs.
enum class LimitName {
  kStartsPerSecond,     ///< task starts a second of one share's owner
  kEvictionsPerMinute,  ///< evictions a minute of one share's owner
  kMaxJobs,             ///< unfinished jobs in one share
  kRetryBudgetPercent,  ///< retries as a percentage of requests at an entry
};

inline constexpr auto kLimitNames = MakeEnumNames<LimitName>({
    {LimitName::kStartsPerSecond, "starts-per-second"},
    {LimitName::kEvictionsPerMinute, "evictions-per-minute"},
    {LimitName::kMaxJobs, "max-jobs"},
    {LimitName::kRetryBudgetPercent, "retry-budget-percent"},
});

/// Default and range of a limit.
struct LimitRange {
  std::int64_t default_value;
  std::int64_t min;
  std::int64_t max;
};

constexpr LimitRange RangeOf(LimitName name) {
  switch (name) {
    case LimitName::kStartsPerSecond:
      return {.default_value = 200, .min = 1, .max = 10'000};
    case LimitName::kEvictionsPerMinute:
      return {.default_value = 60, .min = 0, .max = 10'000};
    case LimitName::kMaxJobs:
      return {.default_value = 10'000, .min = 1, .max = 1'000'000};
    case LimitName::kRetryBudgetPercent:
      return {.default_value = 10, .min = 0, .max = 100};
  }
  return {.default_value = 0, .min = 0, .max = 0};
}

}  // namespace berylgauge
