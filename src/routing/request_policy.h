#pragma once

#include <absl/time/time.h>

#include <string>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "base/failure.h"

namespace berylgauge {

inline constexpr const char* kIdempotentHeader = "berylgauge-idempotent";
inline constexpr const char* kTimeoutHeader = "berylgauge-timeout-ms";
inline constexpr const char* kImportanceHeader = "berylgauge-importance";

/// How bad it is to refuse a request, from least to most.
enum class Importance { kLow, kNormal, kHigh };

inline constexpr auto kImportanceNames = MakeEnumNames<Importance>({
    {Importance::kLow, "low"},
    {Importance::kNormal, "normal"},
    {Importance::kHigh, "high"},
});

/// How a caller's request is treated.
struct RequestPolicy {
  bool is_idempotent = false;
  absl::Duration timeout = absl::ZeroDuration();  ///< from its arrival
  Importance importance = Importance::kNormal;
};

struct RequestPolicyOptions {
  absl::Duration default_timeout = absl::Seconds(10);
  absl::Duration max_timeout = absl::Minutes(5);
};

/// Derives the policy from the method and the headers, with header names in lower case.
///
/// GET, HEAD, PUT and DELETE are idempotent, every other method is not; `Berylgauge-Idempotent: true|false` overrides
/// it. A malformed, repeated or out of range header fails with `kInvalidArgument` and the header's name as field.
Result<RequestPolicy> RequestPolicyOf(const std::string& method,
                                      const std::vector<std::pair<std::string, std::string>>& headers,
                                      const RequestPolicyOptions& options);

}  // namespace berylgauge
