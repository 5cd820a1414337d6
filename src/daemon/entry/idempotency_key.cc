#include "daemon/entry/idempotency_key.h"

#include "base/stable_hash.h"
#include "web/json_error_response.h"

namespace berylgauge {

Result<std::optional<std::string>> IdempotencyKeyOf(const HeaderList& headers) {
  std::optional<std::string> key;
  for (const auto& [name, value] : headers) {
    if (name != kIdempotencyKeyHeader) continue;
    if (key) return NotRun(FailureCode::kInvalidArgument, "must occur once", kIdempotencyKeyHeader);
    key = value;
  }
  if (key && (key->empty() || key->size() > kMaxIdempotencyKeyBytes)) {
    return NotRun(FailureCode::kInvalidArgument,
                  "must have 1 to " + std::to_string(kMaxIdempotencyKeyBytes) + " characters", kIdempotencyKeyHeader);
  }
  return key;
}

std::string KeyDigest(const std::string& key) { return StableDigest128(key); }

std::string RequestDigest(const EndpointRequest& request) {
  // Method and path contain no line break, so different requests have different texts.
  return StableDigest128(request.method + "\n" + request.path + "\n" + request.body);
}

std::optional<KeptAnswer> KeptAnswerOf(const WebResponse& response) {
  KeptAnswer answer;
  std::size_t bytes = response.body.size();
  for (const auto& header : response.headers) {
    // The verdict is added to each answer anew.
    if (header.first == kVerdictHeader) continue;
    bytes += header.first.size() + header.second.size();
    answer.headers.push_back(header);
  }
  if (bytes > kMaxKeptAnswerBytes || answer.headers.size() > kMaxKeptHeaders) return std::nullopt;
  answer.body = response.body;
  return answer;
}

}  // namespace berylgauge
