#pragma once

#include <string>

#include "clients/http_client.h"
#include "clients/log_client.h"

namespace berylgauge {

/// The platform's log over HTTP. Makes one request for each call and retries nothing.
///
/// A failure answered with a 5xx has `Verdict::kMayHaveRun`.
class HttpLogClient final : public LogClient {
 public:
  /// `address` is "IP:PORT" of the log; `http` must outlive this object.
  HttpLogClient(HttpClient& http, const std::string& address);

  Result<Offset> Append(const std::string& stream, const std::string& payload, absl::Duration timeout) override;

  /// Shortens `wait` so that the answer to a read without records arrives within `timeout`. `max_records` is from 1 to
  /// 10,000.
  Result<LogPage> Read(const std::string& stream, Offset from, int max_records, absl::Duration wait,
                       absl::Duration timeout) override;

  Result<LogBounds> Bounds(const std::string& stream, absl::Duration timeout) override;

 private:
  HttpClient& m_http;
  const std::string m_url;
};

}  // namespace berylgauge
