#pragma once

#include <string>

#include "clients/endpoint_client.h"
#include "clients/http_client.h"

namespace berylgauge {

/// Passes callers' requests to one endpoint over connections that are kept open.
///
/// Method, path, headers and body are passed on unchanged, without the hop-by-hop headers. So is the answer, whatever
/// its status is; a `content-length` in it has been checked against the body.
class HttpEndpointClient final : public EndpointClient {
 public:
  /// `address` is "IP:PORT" of the endpoint; `http` must outlive this object.
  HttpEndpointClient(HttpClient& http, const std::string& address);

  Result<EndpointResponse> Send(const EndpointRequest& request, absl::Duration timeout) override;

 private:
  HttpClient& m_http;
  const std::string m_url;
};

}  // namespace berylgauge
