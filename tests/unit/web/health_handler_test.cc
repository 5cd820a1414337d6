#include "web/health_handler.h"

#include <catch2/catch.hpp>

#include "base/metrics.h"

namespace berylgauge {
namespace {

struct HealthCase {
  std::string method;
  std::string path;
  int status;  ///< 0 if the handler leaves the path to others
  std::string text;
};

// Guards against a process that reports ready while it is leaving, and against health answers on other paths.
TEST_CASE("health, readiness and metrics are answered", "[web]") {
  const auto test = GENERATE(values<HealthCase>({
      {"GET", "/healthz", 200, "ok"},
      {"HEAD", "/healthz", 200, "ok"},
      {"POST", "/healthz", 405, "method"},
      {"GET", "/readyz", 503, "leaving"},
      {"GET", "/metrics", 200, "requests_total 3\n"},
      {"DELETE", "/metrics", 405, "method"},
      {"GET", "/healthz/", 0, ""},
      {"GET", "/", 0, ""},
      {"GET", "/v1/jobs", 0, ""},
  }));
  CAPTURE(test.method, test.path);
  MetricsRegistry metrics;
  metrics.GetCounter("requests_total", "Requests.").Add(3);
  const HealthHandler handler(metrics, [] { return std::optional<std::string>("leaving"); });
  const std::optional<WebResponse> response = handler.Answer({.method = test.method, .path = test.path});
  REQUIRE(response.has_value() == (test.status != 0));
  if (!response) return;
  CHECK(response->status == test.status);
  CHECK(response->body.find(test.text) != std::string::npos);
}

TEST_CASE("a ready process answers 200", "[web]") {
  const MetricsRegistry metrics;
  const HealthHandler handler(metrics, [] { return std::optional<std::string>(); });
  CHECK(handler.Answer({.method = "GET", .path = "/readyz"}).value().status == 200);
}

}  // namespace
}  // namespace berylgauge
