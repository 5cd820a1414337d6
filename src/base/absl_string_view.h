#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace berylgauge {

/// Debian builds Abseil with a string view type of its own.
inline absl::string_view ToAbsl(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace berylgauge
