#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace berylgauge {

/// Hash (XXH64) that is equal in every process; Abseil's differs from run to run.
std::uint64_t StableHash64(std::string_view data, std::uint64_t seed = 0);

/// Digest (XXH3, 128 bits) as 32 hexadecimal digits. Accidental collisions are out of the question; a caller that
/// constructs them is not kept out.
std::string StableDigest128(std::string_view data);

}  // namespace berylgauge
