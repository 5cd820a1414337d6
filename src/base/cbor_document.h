#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace berylgauge {

/// Parses one CBOR document of at most `max_bytes`.
///
/// nlohmann's CBOR parser recurses for each level, also of strings in parts, and reserves what a length prefix claims.
/// So nesting deeper than `kMaxCborDepth`, parts within parts, tags and lengths above the input's are refused in a pass
/// before it.
Result<nlohmann::json> ParseCborDocument(std::string_view bytes, std::size_t max_bytes);

inline constexpr int kMaxCborDepth = 8;

/// The document as CBOR.
std::string ToCbor(const nlohmann::json& document);

/// Parses `bytes` and returns what `read` makes of the document.
///
/// `read` is called with the document; it may return a failure, or let nlohmann's exceptions for missing elements and
/// wrong types pass. These and malformed bytes become failures with `kCorrupt` whose message begins with `what`.
template <typename T, typename Read>
Result<T> ReadCbor(std::string_view bytes, const std::string& what, Read read) {
  const Result<nlohmann::json> document = ParseCborDocument(bytes, bytes.size());
  if (!document) return NotRun(FailureCode::kCorrupt, what + ": " + document.error().message);
  try {
    return read(*document);
  } catch (const nlohmann::json::exception& error) {
    return NotRun(FailureCode::kCorrupt, what + ": " + error.what());
  }
}

}  // namespace berylgauge
