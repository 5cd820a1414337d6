#pragma once

#include <string>

#include "base/failure.h"
#include "clients/http_message.h"

namespace berylgauge {

struct UrlParts {
  std::string origin;
  std::string target;
};

/// Splits a URL into the part that names the peer and the part that is sent in the request line.
Result<UrlParts> SplitUrl(const std::string& url);

/// Fails with `kInvalidArgument` for a method or header that must not be sent as it is.
Result<void> CheckRequest(const HttpRequest& request);

}  // namespace berylgauge
