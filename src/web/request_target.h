#pragma once

#include <string>
#include <string_view>

#include "base/failure.h"

namespace berylgauge {

/// Path and query of a request line.
struct RequestTarget {
  std::string path;   ///< percent-decoded
  std::string query;  ///< without '?', as received

  /// Splits and decodes `raw`. Refused: anything that does not start with '/', incomplete escapes, control characters
  /// and NUL (also as escapes), and the path segments "." and "..", which endpoints could resolve differently.
  static Result<RequestTarget> Parse(std::string_view raw);
};

}  // namespace berylgauge
