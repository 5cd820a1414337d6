#pragma once

#include <cstdint>

namespace berylgauge {

/// Amounts of what a worker has or a task needs.
struct Resources {
  std::int64_t cpu_millis = 0;  ///< thousandths of a processor core
  std::int64_t memory_mb = 0;   ///< MB of 10^6 bytes
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;  ///< task slots

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

  /// True if each amount is at most that of `capacity`.
  bool FitsIn(const Resources& capacity) const;
};

}  // namespace berylgauge
