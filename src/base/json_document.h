#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "base/failure.h"

namespace berylgauge {

/// Parses one JSON document of another party; fails with `kInvalidArgument` and the field "$".
///
/// A list takes some 60 bytes of memory for each level, for one byte of text. Nesting deeper than `kMaxJsonDepth` is
/// therefore refused in a pass before the parser.
Result<nlohmann::json> ParseJsonDocument(std::string_view text);

inline constexpr int kMaxJsonDepth = 16;

}  // namespace berylgauge
