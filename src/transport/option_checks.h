#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace berylgauge {

inline constexpr std::int64_t kMaxPort = 65'535;
inline constexpr std::int64_t kMaxConnectionsPerClient = 64;
inline constexpr std::int64_t kMaxStreamsPerConnection = 100'000;

/// The window that every HTTP/2 connection has at first; it cannot be made smaller for the connection.
inline constexpr std::int64_t kMinWindowBytes = 65'535;
inline constexpr std::int64_t kMaxWindowBytes = 2'147'483'647;

/// Collects the first option that is out of range.
class OptionChecks {
 public:
  void Positive(std::string_view name, absl::Duration value) {
    if (value <= absl::ZeroDuration()) Report(name, "must be positive");
  }
  void AtLeast(std::string_view name, absl::Duration value, absl::Duration min) {
    if (value < min) Report(name, "must be at least " + absl::FormatDuration(min));
  }
  void InRange(std::string_view name, std::int64_t value, std::int64_t min, std::int64_t max) {
    if (value < min || value > max) {
      Report(name, std::to_string(value) + " is not in " + std::to_string(min) + ".." + std::to_string(max));
    }
  }

  const Result<void>& result() const { return m_result; }

 private:
  void Report(std::string_view name, const std::string& message) {
    if (m_result) m_result = NotRun(FailureCode::kInvalidArgument, message, std::string(name));
  }

  Result<void> m_result;
};

}  // namespace berylgauge
