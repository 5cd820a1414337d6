#include "web/health_handler.h"

#include <utility>

#include "base/metrics.h"
#include "web/json_error_response.h"

namespace berylgauge {
namespace {

constexpr int kMethodNotAllowed = 405;

WebResponse Text(std::string body, std::string content_type = "text/plain; charset=utf-8") {
  return {.status = 200, .headers = {{"Content-Type", std::move(content_type)}}, .body = std::move(body)};
}

}  // namespace

HealthHandler::HealthHandler(const MetricsRegistry& metrics, ReadinessCheck readiness)
    : m_metrics(metrics), m_readiness(std::move(readiness)) {}

std::optional<WebResponse> HealthHandler::Answer(const WebRequest& request) const {
  const bool is_known = request.path == "/healthz" || request.path == "/readyz" || request.path == "/metrics";
  if (!is_known) return std::nullopt;
  if (request.method != "GET" && request.method != "HEAD") {
    WebResponse response = JsonErrorResponse(
        {.code = FailureCode::kInvalidArgument, .message = "only GET and HEAD are allowed", .field = "method"},
        kMethodNotAllowed);
    response.headers.emplace_back("Allow", "GET, HEAD");
    return response;
  }
  if (request.path == "/metrics") return Text(m_metrics.Render(), "text/plain; version=0.0.4; charset=utf-8");
  if (request.path == "/healthz") return Text("ok\n");
  if (const std::optional<std::string> reason = m_readiness()) {
    return JsonErrorResponse({.code = FailureCode::kUnavailable, .message = *reason, .field = {}});
  }
  return Text("ready\n");
}

}  // namespace berylgauge
