#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/metrics.h"
#include "clients/http_client.h"
#include "clients/worker_client.h"
#include "daemon/agent/agent_core.h"
#include "daemon/agent/attempt_service.h"
#include "daemon/agent/heartbeat_sender.h"
#include "daemon/agent/request_forwarder.h"
#include "daemon/agent/worker_driver.h"
#include "daemon/common/node.h"
#include "daemon/common/periodic_thread.h"
#include "settings/daemon_settings.h"
#include "transport/event_loop.h"
#include "transport/stream_server.h"
#include "web/health_handler.h"
#include "web/web_server.h"

namespace berylgauge {

/// The process beside a worker and its endpoints.
class AgentNode final : public Node {
 public:
  explicit AgentNode(const DaemonSettings& settings);
  ~AgentNode() override;

  Result<void> Start() override;
  bool Shutdown() override;

 private:
  void HandleLocal(const WebRequest& request, const WebServer::Responder& responder);
  void HandleInternal(StreamRequest message, const StreamServer::Responder& responder);
  std::optional<std::string> WhyNotReady() const;
  void RenewIncarnation();

  const DaemonSettings m_settings;
  const SystemClock m_clock;
  MetricsRegistry m_metrics;
  std::shared_ptr<RequestMemory> m_request_memory;
  HttpClient m_worker_http;
  HttpClient m_endpoint_http;
  std::unique_ptr<WorkerClient> m_worker;
  std::unique_ptr<AgentCore> m_core;
  std::unique_ptr<WorkerDriver> m_driver;
  std::unique_ptr<AttemptService> m_attempts;
  std::unique_ptr<RequestForwarder> m_forwarder;
  std::unique_ptr<HealthHandler> m_health;
  EventLoop m_loop;
  std::unique_ptr<HeartbeatSender> m_heartbeats;
  std::unique_ptr<PeriodicThread> m_renewal;
  std::unique_ptr<StreamServer> m_internal;
  std::unique_ptr<WebServer> m_local;
};

}  // namespace berylgauge
