#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/failure.h"

namespace berylgauge {

/// One header line in the memory of the HTTP library, which has overwritten the colon and the line end with NUL.
struct RawHeader {
  std::string_view name;
  std::string_view value;
};

/// Verifies that the lines of a request head were separated by CR LF only and contain no NUL.
///
/// libmicrohttpd 0.9.75 accepts a bare CR or a bare LF as line end, joins folded lines and cuts values at NUL, without
/// telling the application. A proxy in front that reads the same bytes differently would let a caller smuggle
/// headers. The library parses in place, so each line end that it found is visible: CR LF became two NUL bytes, a bare
/// CR or LF became one, and a folded line was moved elsewhere.
///
/// `lines` is the memory after the HTTP version up to the end of the head; `headers` point into it.
bool HasStrictLineEnds(std::string_view lines, const std::vector<RawHeader>& headers);

/// Why a request head is refused, with the HTTP status to answer.
struct HeadRefusal {
  int status = 400;
  Failure failure;
};

/// Checks the method, the version, names and values, `Host` and the headers that determine the length of the body.
std::optional<HeadRefusal> CheckHead(std::string_view method, std::string_view version,
                                     const std::vector<std::pair<std::string, std::string>>& headers);

}  // namespace berylgauge
