#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/metrics.h"
#include "clients/http_client.h"
#include "clients/log_client.h"
#include "daemon/common/node.h"
#include "daemon/common/periodic_thread.h"
#include "daemon/entry/agent_clients.h"
#include "daemon/entry/claims_streams.h"
#include "daemon/entry/config_stream.h"
#include "daemon/entry/entry_directory.h"
#include "daemon/entry/failure_monitor.h"
#include "daemon/entry/heartbeat_service.h"
#include "daemon/entry/operator_api.h"
#include "daemon/entry/request_router.h"
#include "daemon/entry/share_map.h"
#include "daemon/entry/worker_directory.h"
#include "schedule/placer.h"
#include "settings/daemon_settings.h"
#include "transport/event_loop.h"
#include "transport/stream_server.h"
#include "web/web_server.h"

namespace berylgauge {

/// The process on an entry host: callers' requests, operators' interface and shares of the jobs.
class EntryNode final : public Node {
 public:
  explicit EntryNode(const DaemonSettings& settings);
  ~EntryNode() override;

  Result<void> Start() override;
  bool Shutdown() override;

 private:
  void MakeStreams();
  void MakeShares();
  Result<void> StartInternal();
  Result<void> StartOperators();
  Result<void> StartCallers();
  void Announce();
  void Tick();
  void OnConfigChange(const ConfigState& config);
  void OnHeartbeat(const Heartbeat& heartbeat, MonotonicTime now);
  void RegisterAgent(const Heartbeat& heartbeat);
  void UpdateQuotas(const ConfigState& config);
  std::optional<std::string> WhyNotReady() const;

  /// True if records that this entry has not read are no longer retained.
  bool HasGap() const;

  const DaemonSettings m_settings;
  const EntryId m_entry;
  const Incarnation m_incarnation;
  const SystemClock m_clock;
  const MonotonicTime m_started;
  MetricsRegistry m_metrics;
  std::shared_ptr<RequestMemory> m_request_memory;
  HttpClient m_log_http;
  std::unique_ptr<LogClient> m_log;
  EventLoop m_loop;
  AgentClients m_agents;
  WorkerDirectory m_workers;
  EntryDirectory m_entries;
  ClaimsStreams m_claims;
  RequestRouter m_router;
  absl::Mutex m_placer_mutex;
  Placer m_placer ABSL_GUARDED_BY(m_placer_mutex);
  FailureMonitor m_failures ABSL_GUARDED_BY(m_placer_mutex);
  std::set<TeamId> m_quota_teams ABSL_GUARDED_BY(m_placer_mutex);
  std::unique_ptr<ConfigStream> m_config;
  std::unique_ptr<StreamFollower> m_members;
  std::unique_ptr<StreamWriter> m_members_writer;
  std::unique_ptr<ShareMap> m_shares;
  std::unique_ptr<HeartbeatService> m_heartbeats;
  std::unique_ptr<OperatorApi> m_operator_api;
  std::unique_ptr<StreamServer> m_internal;
  std::unique_ptr<WebServer> m_operators;
  std::unique_ptr<WebServer> m_callers;
  std::unique_ptr<PeriodicThread> m_announcer;
  std::unique_ptr<PeriodicThread> m_ticker;
  absl::Mutex m_registration_mutex;
  std::set<Incarnation> m_registrations ABSL_GUARDED_BY(m_registration_mutex);  ///< not folded yet
  std::unique_ptr<PeriodicThread> m_request_ticker;
  std::unique_ptr<PeriodicThread> m_outlier_sweep;
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_announcement_pending{false};
};

}  // namespace berylgauge
