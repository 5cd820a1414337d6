#pragma once

#include <functional>
#include <optional>
#include <string>

#include "web/web_server.h"

namespace berylgauge {

class MetricsRegistry;

/// Answers /healthz, /readyz and /metrics.
class HealthHandler {
 public:
  /// Why the process is not ready, or nothing if it is; called for each request to /readyz.
  using ReadinessCheck = std::function<std::optional<std::string>()>;

  /// `metrics` must outlive the handler.
  HealthHandler(const MetricsRegistry& metrics, ReadinessCheck readiness);

  /// The answer, or nothing if the path is none of the three. They accept GET and HEAD; others receive 405.
  std::optional<WebResponse> Answer(const WebRequest& request) const;

 private:
  const MetricsRegistry& m_metrics;
  ReadinessCheck m_readiness;
};

}  // namespace berylgauge
