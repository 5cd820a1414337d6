#pragma once

#include <string>
#include <utility>
#include <vector>

namespace berylgauge {

/// A request on one HTTP/2 stream between two processes of the system.
///
/// The transport sends the content-length of each body itself and checks it, so received headers don't contain it.
struct StreamRequest {
  std::string path;                                          ///< "/internal/..."
  std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case, without pseudo-headers
  std::string body;
};

/// The whole answer on that stream.
struct StreamResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

}  // namespace berylgauge
