#include "base/json_number.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <vector>

namespace berylgauge {
namespace {

using nlohmann::json;

template <typename T>
std::optional<T> TryRead(const json& value, T min, T max) {
  try {
    return ReadInteger<T>(value, min, max);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

struct NumberRow {
  json value;
  std::optional<int> number;
};

// Guards against numbers that are cut down to the bits of their target, and conversions with undefined behaviour.
TEST_CASE("a number is read within its bounds or not at all", "[json]") {
  const NumberRow row = GENERATE(
      NumberRow{7, 7}, NumberRow{7U, 7}, NumberRow{-7, -7}, NumberRow{7.9, 7}, NumberRow{-7.9, -7}, NumberRow{100, 100},
      NumberRow{101, {}}, NumberRow{-8, {}}, NumberRow{(std::int64_t{1} << 32) + 7, {}}, NumberRow{INT64_MIN, {}},
      NumberRow{UINT64_MAX, {}}, NumberRow{1e19, {}}, NumberRow{1e300, {}}, NumberRow{-1e300, {}},
      NumberRow{INFINITY, {}}, NumberRow{NAN, {}}, NumberRow{true, {}}, NumberRow{"7", {}}, NumberRow{nullptr, {}},
      NumberRow{json::array({7}), {}}, NumberRow{json::object(), {}});
  CAPTURE(row.value.dump());
  CHECK(TryRead<int>(row.value, -7, 100) == row.number);
  CHECK(TryRead<std::int64_t>(row.value, -7, 100) == row.number);
}

TEST_CASE("the bounds of the widest types are read", "[json]") {
  CHECK(TryRead<std::int64_t>(INT64_MIN, INT64_MIN, INT64_MAX) == INT64_MIN);
  CHECK(TryRead<std::int64_t>(INT64_MAX, INT64_MIN, INT64_MAX) == INT64_MAX);
  CHECK(TryRead<std::uint64_t>(UINT64_MAX, 0, UINT64_MAX) == UINT64_MAX);
  CHECK(!TryRead<std::uint64_t>(-1, 0, UINT64_MAX));
  CHECK(!TryRead<std::int64_t>(UINT64_MAX, INT64_MIN, INT64_MAX));
}

}  // namespace
}  // namespace berylgauge
