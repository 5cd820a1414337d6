#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/failure.h"

namespace berylgauge {

/// Parses one CBOR document of at most `max_bytes`.
///
/// nlohmann's CBOR parser recurses for each level and reserves what a length prefix claims, so nesting deeper than
/// `kMaxCborDepth` and lengths above the input's are refused in a pass before it.
Result<nlohmann::json> ParseCborDocument(std::string_view bytes, std::size_t max_bytes);

inline constexpr int kMaxCborDepth = 8;

}  // namespace berylgauge
