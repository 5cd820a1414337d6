#include "base/stable_hash.h"

#include <xxhash.h>

namespace berylgauge {

std::uint64_t StableHash64(std::string_view data, std::uint64_t seed) { return XXH64(data.data(), data.size(), seed); }

}  // namespace berylgauge
