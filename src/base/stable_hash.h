#pragma once

#include <cstdint>
#include <string_view>

namespace berylgauge {

/// Hash (XXH64) that is equal in every process; Abseil's differs from run to run.
std::uint64_t StableHash64(std::string_view data, std::uint64_t seed = 0);

}  // namespace berylgauge
