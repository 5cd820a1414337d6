#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace berylgauge {

/// Largest whole number that every writer of JSON keeps exact.
inline constexpr std::int64_t kMaxExactInteger = std::int64_t{1} << 53;

/// Reads a number of at least `min` and at most `max`; a fraction is cut off.
///
/// nlohmann's `get` cuts an integer down to the bits of its target, and converts a float outside of the target's range
/// with undefined behaviour. Here both throw `nlohmann::json::exception`, as a value of another type does.
template <std::integral T>
T ReadInteger(const nlohmann::json& value, T min, T max = std::numeric_limits<T>::max()) {
  using nlohmann::json;
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (std::cmp_greater_equal(number, min) && std::cmp_less_equal(number, max)) return static_cast<T>(number);
  } else if (value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    if (std::cmp_greater_equal(number, min) && std::cmp_less_equal(number, max)) return static_cast<T>(number);
  } else if (value.is_number_float()) {
    const double number = std::trunc(value.get<double>());
    // Within these bounds a double is exact, so that the comparisons and the conversion are.
    constexpr auto kExact = static_cast<double>(kMaxExactInteger);
    if (number >= -kExact && number <= kExact) {
      const auto whole = static_cast<std::int64_t>(number);
      if (std::cmp_greater_equal(whole, min) && std::cmp_less_equal(whole, max)) return static_cast<T>(whole);
    }
  } else {
    throw json::type_error::create(302, std::string("must be a number, but is ") + value.type_name(), nullptr);
  }
  throw json::out_of_range::create(401, "number must be from " + std::to_string(min) + " to " + std::to_string(max),
                                   nullptr);
}

/// The member `key` of an object read as above, or `fallback` if it has none.
template <std::integral T>
T ReadIntegerOr(const nlohmann::json& object, const char* key, T fallback, T min,
                T max = std::numeric_limits<T>::max()) {
  const auto found = object.find(key);
  return found == object.end() ? fallback : ReadInteger<T>(*found, min, max);
}

/// Reads a finite number from `min` to `max`; throws as `ReadInteger` does.
inline double ReadFinite(const nlohmann::json& value, double min, double max) {
  using nlohmann::json;
  if (!value.is_number()) {
    throw json::type_error::create(302, std::string("must be a number, but is ") + value.type_name(), nullptr);
  }
  const auto number = value.get<double>();
  if (number >= min && number <= max) return number;
  throw json::out_of_range::create(401, "number must be from " + std::to_string(min) + " to " + std::to_string(max),
                                   nullptr);
}

}  // namespace berylgauge
