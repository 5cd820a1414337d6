#include "clients/http_endpoint_client.h"

#include <utility>

#include "clients/hop_by_hop_headers.h"

namespace berylgauge {

HttpEndpointClient::HttpEndpointClient(HttpClient& http, const std::string& address)
    : m_http(http), m_url("http://" + address) {}

Result<EndpointResponse> HttpEndpointClient::Send(const EndpointRequest& request, absl::Duration timeout) {
  if (request.path.empty() || request.path.front() != '/') {
    return NotRun(FailureCode::kInvalidArgument, "path must begin with '/'", "path");
  }
  HttpRequest http_request{.method = request.method,
                           .url = m_url + request.path,
                           .headers = WithoutHopByHopHeaders(request.headers),
                           .body = request.body};
  // These two describe how the caller's request was framed; the client frames the message itself.
  std::erase_if(http_request.headers,
                [](const auto& header) { return header.first == "content-length" || header.first == "expect"; });
  Result<HttpResponse> response = m_http.Call(http_request, timeout);
  if (!response) return tl::make_unexpected(response.error());
  return EndpointResponse{.status = response->status,
                          .headers = WithoutHopByHopHeaders(response->headers),
                          .body = std::move(response->body)};
}

}  // namespace berylgauge
