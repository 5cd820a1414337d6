#pragma once

#include <optional>
#include <string>

#include "base/failure.h"
#include "clients/endpoint_client.h"
#include "clients/header_list.h"
#include "state/claims_records.h"
#include "web/web_server.h"

namespace berylgauge {

inline constexpr const char* kIdempotencyKeyHeader = "idempotency-key";
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/// The key in the headers, whose names are in lower case; nothing without the header. A repeated, empty or too long one
/// fails with `kInvalidArgument`.
Result<std::optional<std::string>> IdempotencyKeyOf(const HeaderList& headers);

std::string KeyDigest(const std::string& key);

/// Digest of method, path, query and body. Other headers are not part of it, because clients and proxies change them
/// between a request and its repeat (dates, trace ids).
std::string RequestDigest(const EndpointRequest& request);

/// The part of an answer that repeats receive; nothing if it is longer than `kMaxKeptAnswerBytes`.
std::optional<KeptAnswer> KeptAnswerOf(const WebResponse& response);

}  // namespace berylgauge
