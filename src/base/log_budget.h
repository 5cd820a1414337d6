#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"

namespace berylgauge {

/// Bounds the lines of each kind of event a second, so that logs stay small under load. Not thread-safe.
class LogBudget {
 public:
  explicit LogBudget(std::uint32_t lines_per_second) : m_lines_per_second(lines_per_second) {}

  /// Whether a line of this kind may be written now.
  bool Allow(std::string_view event, MonotonicTime now);

  /// Kinds and numbers of lines that were left out in seconds that have ended; each is returned once.
  std::vector<std::pair<std::string, std::uint64_t>> TakeOmitted(MonotonicTime now);

 private:
  struct Window {
    MonotonicTime begun = InfinitePast();
    std::uint32_t written = 0;
    std::uint64_t omitted = 0;
  };

  const std::uint32_t m_lines_per_second;
  absl::flat_hash_map<std::string, Window> m_windows;
  std::uint64_t m_omitted = 0;  ///< in all windows; spares the search when it is 0
};

}  // namespace berylgauge
