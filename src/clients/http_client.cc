#include "clients/http_client.h"

#include <utility>

#include "clients/http_request_check.h"

namespace berylgauge {

HttpClient::HttpClient(const HttpClientOptions& options)
    : m_exchange_options{.max_body_bytes = options.max_body_bytes,
                         .max_header_bytes = options.max_header_bytes,
                         .connect_timeout = options.connect_timeout},
      m_pool(options.pool) {}

Result<HttpResponse> HttpClient::Call(const HttpRequest& request, absl::Duration timeout) {
  if (timeout <= absl::ZeroDuration()) {
    return NotRun(FailureCode::kDeadlineExceeded, "no time left before the request was sent");
  }
  if (const Result<void> checked = CheckRequest(request); !checked) return tl::make_unexpected(checked.error());
  const Result<UrlParts> url = SplitUrl(request.url);
  if (!url) return tl::make_unexpected(url.error());
  CurlHandle handle = m_pool.Acquire(url->origin, m_clock.Now());
  if (handle == nullptr) return NotRun(FailureCode::kInternal, "libcurl could not create a handle");
  HttpExchange exchange(request, m_exchange_options);
  Result<HttpResponse> response = exchange.Run(handle.get(), url->origin, url->target, timeout);
  m_pool.Release(url->origin, std::move(handle), m_clock.Now());
  // Callers of this client choose another peer either way.
  if (!response && response.error().code == FailureCode::kConnectionRefused) {
    response.error().code = FailureCode::kUnavailable;
  }
  return response;
}

}  // namespace berylgauge
