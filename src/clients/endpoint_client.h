#pragma once

#include <absl/time/time.h>

#include <string>

#include "base/failure.h"
#include "clients/header_list.h"

namespace berylgauge {

/// A caller's request as it travels to an endpoint.
struct EndpointRequest {
  std::string method;  ///< in capitals
  std::string path;    ///< with query, beginning with '/'
  HeaderList headers;
  std::string body;
};

/// An endpoint's whole answer.
struct EndpointResponse {
  int status = 0;  ///< HTTP status
  HeaderList headers;
  std::string body;
};

/// Sends requests to one endpoint over HTTP/1.1. May be used from several threads.
class EndpointClient {
 public:
  virtual ~EndpointClient() = default;

  /// Returns the whole answer, or a failure whose verdict is `kNotRun` only if no connection was made.
  virtual Result<EndpointResponse> Send(const EndpointRequest& request, absl::Duration timeout) = 0;
};

}  // namespace berylgauge
