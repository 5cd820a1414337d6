#pragma once

#include <absl/time/time.h>

#include "base/clock.h"
#include "base/failure.h"
#include "clients/curl_handle_pool.h"
#include "clients/http_exchange.h"
#include "clients/http_message.h"

namespace berylgauge {

/// Limits of a client; an answer that exceeds one is a failure with `Verdict::kMayHaveRun`.
struct HttpClientOptions {
  std::size_t max_body_bytes = std::size_t{8} << 20;
  std::size_t max_header_bytes = std::size_t{64} << 10;
  /// Upper bound for establishing a connection, so that a host that is down is reported while there is time to retry.
  absl::Duration connect_timeout = absl::Seconds(1);
  CurlHandlePoolOptions pool;
};

/// Client for HTTP/1.1 without TLS on connections that are kept open. May be used from several threads.
///
/// It sends each request at most once, uses no proxy, follows no redirect and raises no signal.
class HttpClient {
 public:
  explicit HttpClient(const HttpClientOptions& options = {});

  /// Sends a request and returns the whole answer, whatever its status is.
  ///
  /// The verdict of a failure is `kNotRun` only if no byte of the request was sent. It is `kMayHaveRun` for everything
  /// later: a deadline, a connection closed before the answer, or an answer that is truncated, malformed, too large, or
  /// of unknown length.
  Result<HttpResponse> Call(const HttpRequest& request, absl::Duration timeout);

  std::size_t IdleConnections() const { return m_pool.IdleCount(); }

 private:
  const HttpExchangeOptions m_exchange_options;
  const SystemClock m_clock;
  CurlHandlePool m_pool;
};

}  // namespace berylgauge
