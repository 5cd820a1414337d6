#include "routing/request_policy.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace berylgauge {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr std::array<std::string_view, 4> kIdempotentMethods{"GET", "HEAD", "PUT", "DELETE"};

/// The value of a header that may occur once; nothing if it is absent.
Result<std::optional<std::string>> FindOnce(const Headers& headers, std::string_view name) {
  std::optional<std::string> found;
  for (const auto& [key, value] : headers) {
    if (key != name) continue;
    if (found) return NotRun(FailureCode::kInvalidArgument, "must occur once", std::string(name));
    found = value;
  }
  return found;
}

Result<bool> IdempotentOf(const std::string& method, const Headers& headers) {
  const auto header = FindOnce(headers, kIdempotentHeader);
  if (!header) return tl::make_unexpected(header.error());
  if (!*header) {
    return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(), method) != kIdempotentMethods.end();
  }
  if (**header == "true") return true;
  if (**header == "false") return false;
  return NotRun(FailureCode::kInvalidArgument, "must be true or false", kIdempotentHeader);
}

Result<absl::Duration> TimeoutOf(const Headers& headers, const RequestPolicyOptions& options) {
  const auto header = FindOnce(headers, kTimeoutHeader);
  if (!header) return tl::make_unexpected(header.error());
  if (!*header) return options.default_timeout;
  const std::int64_t max_ms = absl::ToInt64Milliseconds(options.max_timeout);
  const std::string& text = **header;
  const bool is_digits =
      !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
  std::int64_t ms = 0;
  if (!is_digits || !absl::SimpleAtoi(text, &ms) || ms < 1 || ms > max_ms) {
    return NotRun(FailureCode::kInvalidArgument, "must be a whole number from 1 to " + std::to_string(max_ms),
                  kTimeoutHeader);
  }
  return absl::Milliseconds(ms);
}

Result<Importance> ImportanceOf(const Headers& headers) {
  const auto header = FindOnce(headers, kImportanceHeader);
  if (!header) return tl::make_unexpected(header.error());
  if (!*header) return Importance::kNormal;
  const std::optional<Importance> importance = kImportanceNames.ValueOf(**header);
  if (!importance) return NotRun(FailureCode::kInvalidArgument, "must be low, normal or high", kImportanceHeader);
  return *importance;
}

}  // namespace

Result<RequestPolicy> RequestPolicyOf(const std::string& method, const Headers& headers,
                                      const RequestPolicyOptions& options) {
  const Result<bool> idempotent = IdempotentOf(method, headers);
  if (!idempotent) return tl::make_unexpected(idempotent.error());
  const Result<absl::Duration> timeout = TimeoutOf(headers, options);
  if (!timeout) return tl::make_unexpected(timeout.error());
  const Result<Importance> importance = ImportanceOf(headers);
  if (!importance) return tl::make_unexpected(importance.error());
  return RequestPolicy{.is_idempotent = *idempotent, .timeout = *timeout, .importance = *importance};
}

}  // namespace berylgauge
