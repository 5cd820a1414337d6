#include "base/stable_hash.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace berylgauge {

std::uint64_t StableHash64(std::string_view data, std::uint64_t seed) { return XXH64(data.data(), data.size(), seed); }

std::string StableDigest128(std::string_view data) {
  const XXH128_hash_t digest = XXH3_128bits(data.data(), data.size());
  return absl::StrFormat("%016x%016x", digest.high64, digest.low64);
}

}  // namespace berylgauge
