#include "daemon/entry/entry_node.h"

#include <utility>
#include <vector>

#include "base/event_log.h"
#include "clients/http_log_client.h"
#include "daemon/common/authority_of.h"
#include "daemon/common/await_drained.h"
#include "daemon/common/random_incarnation.h"
#include "daemon/common/stream_clients.h"
#include "daemon/entry/worker_view_of.h"
#include "daemon/messages/heartbeat_path.h"
#include "daemon/messages/members_records.h"
#include "transport/make_stream_server.h"

namespace berylgauge {
namespace {

constexpr const char* kMembersStream = "members";

/// Heartbeat records read at the start: more than the live entries write within a share lease.
constexpr Offset kMembersTail = 200;

constexpr absl::Duration kAnnounceInterval = absl::Seconds(1);
constexpr absl::Duration kTickInterval = absl::Milliseconds(100);

/// Bounds how late a waiting request learns that its deadline has passed.
constexpr absl::Duration kRequestTickInterval = absl::Milliseconds(10);

constexpr absl::Duration kOutlierSweepInterval = absl::Seconds(1);

WorkerRegistry::Options RegistryOptions(const DaemonSettings& settings) {
  return {.own_region = settings.region,
          .suspect_after = 3 * settings.timing.heartbeat,
          .remove_after = settings.timing.endpoint_silent};
}

RoutingTable::Options TableOptions(const DaemonSettings& settings) {
  return {.own_availability_zone = settings.availability_zone,
          .own_region = settings.region,
          .suspect_after = 3 * settings.timing.heartbeat,
          .remove_after = settings.timing.endpoint_silent};
}

RequestRouterOptions RouterOptions(const DaemonSettings& settings, Incarnation incarnation) {
  const EntrySettings& entry = *settings.entry;
  return {.incarnation = incarnation,
          .policy = {.default_timeout = entry.request_timeout},
          .budget = {.percent = entry.retry_budget_percent}};
}

}  // namespace

EntryNode::EntryNode(const DaemonSettings& settings)
    : m_settings(settings),
      m_entry(settings.node_id),
      m_incarnation(RandomIncarnation()),
      m_started(m_clock.Now()),
      m_request_memory(std::make_shared<RequestMemory>(settings.entry->request_memory_bytes, &m_metrics)),
      m_log(std::make_unique<HttpLogClient>(m_log_http, AuthorityOf(settings.entry->log_url))),
      m_loop("entry-clients"),
      m_agents(StreamClientFactory(m_loop, &m_metrics)),
      m_workers(RegistryOptions(settings), TableOptions(settings)),
      m_entries(m_clock, EntryRegistry::Options{.live_for = settings.timing.share_lease}),
      m_router(RouterOptions(settings, m_incarnation), m_clock, m_workers, m_agents, m_claims, m_metrics) {}

EntryNode::~EntryNode() {
  m_ticker.reset();
  m_request_ticker.reset();
  m_outlier_sweep.reset();
  m_announcer.reset();
  if (m_callers) m_callers->Stop();
  if (m_operators) m_operators->Stop();
  if (m_internal) m_internal->Stop();
  m_shares.reset();
  m_claims.Stop();
  m_agents.Close();
}

Result<void> EntryNode::Start() {
  MakeStreams();
  MakeShares();
  m_heartbeats =
      std::make_unique<HeartbeatService>(m_entry, m_incarnation, m_clock, m_workers, *m_config, m_entries, *m_shares,
                                         [this](const Heartbeat& heartbeat, const HeartbeatOutcome& /*outcome*/,
                                                MonotonicTime now) { OnHeartbeat(heartbeat, now); });
  if (const Result<void> started = StartInternal(); !started) return started;
  if (const Result<void> started = StartOperators(); !started) return started;
  if (const Result<void> started = StartCallers(); !started) return started;
  m_announcer = std::make_unique<PeriodicThread>(kAnnounceInterval, [this] { Announce(); });
  m_ticker = std::make_unique<PeriodicThread>(kTickInterval, [this] { Tick(); });
  m_request_ticker = std::make_unique<PeriodicThread>(kRequestTickInterval, [this] { m_router.Advance(); });
  m_outlier_sweep = std::make_unique<PeriodicThread>(kOutlierSweepInterval, [this] { m_router.SweepOutliers(); });
  const EntrySettings& entry = *m_settings.entry;
  LogEvent(LogLevel::kInfo, "entry_started",
           {{"entry", m_entry.value()},
            {"incarnation", m_incarnation},
            {"callers", entry.callers.ToString()},
            {"operators", entry.operators.ToString()},
            {"internal", entry.internal.ToString()}});
  return {};
}

void EntryNode::MakeStreams() {
  m_config = std::make_unique<ConfigStream>(*m_log, m_clock, m_entry.value(), m_incarnation,
                                            [this](const ConfigState& config) { OnConfigChange(config); });
  m_members = std::make_unique<StreamFollower>(
      *m_log, m_clock, m_entries, StreamFollowerOptions{.stream = kMembersStream, .tail_records = kMembersTail});
  m_members_writer = std::make_unique<StreamWriter>(
      *m_log, StreamWriterOptions{.stream = kMembersStream, .writer = m_entry.value(), .incarnation = m_incarnation},
      [this] { return m_entries.Position(); });
  m_claims.Start(*m_log, m_clock, ClaimCoordinatorOptions{.entry = m_entry, .incarnation = m_incarnation},
                 [this](const EntryId& entry, Incarnation incarnation, MonotonicTime now) {
                   return m_entries.IsLive(entry, incarnation, now);
                 });
}

void EntryNode::MakeShares() {
  const ShareRunnerContext context{.log = *m_log,
                                   .clock = m_clock,
                                   .config = *m_config,
                                   .entries = m_entries,
                                   .members = *m_members,
                                   .workers = m_workers,
                                   .agents = m_agents,
                                   .placer = m_placer,
                                   .failures = m_failures,
                                   .placer_mutex = m_placer_mutex};
  const TimingSettings& timing = m_settings.timing;
  std::vector<std::unique_ptr<ShareRunner>> runners;
  for (int share = 0; share < m_settings.entry->job_shares; ++share) {
    runners.push_back(std::make_unique<ShareRunner>(
        context, ShareRunnerOptions{.controller = {.entry = m_entry,
                                                   .incarnation = m_incarnation,
                                                   .share = share,
                                                   .share_lease = timing.share_lease,
                                                   .task_lease = timing.task_lease,
                                                   .worker_silent = timing.worker_silent,
                                                   .outage_grace = timing.outage_grace}}));
  }
  m_shares = std::make_unique<ShareMap>(std::move(runners));
}

Result<void> EntryNode::StartInternal() {
  Result<std::unique_ptr<StreamServer>> server = MakeStreamServer({.metrics = &m_metrics});
  if (!server) return tl::make_unexpected(server.error());
  m_internal = std::move(*server);
  const IpPort& address = m_settings.entry->internal;
  const Result<int> port = m_internal->Start(
      address.address, address.port, [this](const StreamRequest& message, const StreamServer::Responder& responder) {
        if (message.path == kHeartbeatPath) {
          m_heartbeats->Handle(message, responder);
        } else {
          responder({.status = 404, .headers = {}, .body = {}});
        }
      });
  if (!port) return tl::make_unexpected(port.error());
  return {};
}

Result<void> EntryNode::StartOperators() {
  const EntrySettings& entry = *m_settings.entry;
  Result<BearerTokenCheck> token = BearerTokenCheck::FromFile(entry.operator_token_file);
  if (!token) return tl::make_unexpected(token.error());
  const OperatorApiContext context{.entry = m_entry,
                                   .clock = m_clock,
                                   .config = *m_config,
                                   .entries = m_entries,
                                   .shares = *m_shares,
                                   .workers = m_workers};
  m_operator_api = std::make_unique<OperatorApi>(context, std::move(*token),
                                                 HealthHandler(m_metrics, [this] { return WhyNotReady(); }));
  m_operators = MakeWebServer();
  const Result<int> port = m_operators->Start({.address = entry.operators.address,
                                               .port = entry.operators.port,
                                               .threads = 1,
                                               .max_connections = 200,
                                               .memory = m_request_memory},
                                              [this](WebRequest request, const WebServer::Responder& responder) {
                                                m_operator_api->Handle(std::move(request), responder);
                                              });
  if (!port) return tl::make_unexpected(port.error());
  return {};
}

Result<void> EntryNode::StartCallers() {
  const EntrySettings& entry = *m_settings.entry;
  m_callers = MakeWebServer();
  const Result<int> port = m_callers->Start({.address = entry.callers.address,
                                             .port = entry.callers.port,
                                             .max_connections = entry.max_callers_connections,
                                             .max_body_bytes = entry.max_request_bytes,
                                             .memory = m_request_memory},
                                            [this](WebRequest request, const WebServer::Responder& responder) {
                                              m_router.Handle(std::move(request), responder);
                                            });
  if (!port) return tl::make_unexpected(port.error());
  return {};
}

void EntryNode::Announce() {
  // While the log is down one announcement waits in the writer; more would only make the next batch longer.
  if (m_announcement_pending.exchange(true)) return;
  const EntryAnnouncement announcement{.entry = m_entry,
                                       .incarnation = m_incarnation,
                                       .internal_address = m_settings.entry->internal.ToString(),
                                       .caller_address = m_settings.entry->callers.ToString(),
                                       .availability_zone = m_settings.availability_zone,
                                       // An entry that lacks records cannot own a share, so none may prefer it.
                                       .leaving = m_leaving.load() || HasGap()};
  m_members_writer->Append({EncodeEntryAnnouncement(announcement)},
                           [this](const Result<Offset>&) { m_announcement_pending.store(false); });
}

void EntryNode::Tick() {
  const MonotonicTime now = m_clock.Now();
  for (const WorkerId& worker : m_workers.Expire(now)) {
    LogEvent(LogLevel::kWarning, "worker_silent", {{"worker", worker.value()}});
    const absl::MutexLock lock(&m_placer_mutex);
    m_placer.RemoveWorker(worker);
    m_failures.RecordAvailable(worker, false);
  }
}

void EntryNode::OnHeartbeat(const Heartbeat& heartbeat, MonotonicTime now) {
  const WorkerDirectory::Entry entry{.last = heartbeat, .liveness = WorkerLiveness::kLive, .last_heard = now};
  WorkerView view = m_config->state().Read([&](const ConfigState& config) { return WorkerViewOf(entry, config); });
  {
    const absl::MutexLock lock(&m_placer_mutex);
    m_failures.RecordAvailable(heartbeat.worker, !view.drained && !view.suspected);
    view.quarantined = !m_failures.MayPlace(heartbeat.worker, now);
    m_placer.UpsertWorker(view);
  }
  RegisterAgent(heartbeat);
  m_shares->Deliver(heartbeat);
  // The report or a new table may leave room for requests that wait.
  m_router.Advance();
}

void EntryNode::RegisterAgent(const Heartbeat& heartbeat) {
  const bool registered = m_config->state().Read(
      [&](const ConfigState& config) { return config.AgentsOf(heartbeat.worker).Current() == heartbeat.incarnation; });
  const absl::MutexLock lock(&m_registration_mutex);
  if (registered) {
    m_registrations.erase(heartbeat.incarnation);
    return;
  }
  if (!m_registrations.insert(heartbeat.incarnation).second) return;
  const AgentRegistered record{.worker = heartbeat.worker, .agent_incarnation = heartbeat.incarnation};
  m_config->Append({record});
}

void EntryNode::OnConfigChange(const ConfigState& config) {
  m_router.UpdateServices(config);
  UpdateQuotas(config);
}

void EntryNode::UpdateQuotas(const ConfigState& config) {
  const absl::MutexLock lock(&m_placer_mutex);
  std::set<TeamId> teams;
  for (const auto& [team, quota] : config.quotas()) {
    teams.insert(team);
    m_placer.SetTeamQuota(team, {.cpu_millis = quota.cpu_millis,
                                 .memory_mb = quota.memory_mb,
                                 .accelerators = quota.accelerators,
                                 .slots = -1});
  }
  for (const TeamId& team : m_quota_teams) {
    if (!teams.contains(team)) m_placer.RemoveTeamQuota(team);
  }
  m_quota_teams = std::move(teams);
}

std::optional<std::string> EntryNode::WhyNotReady() const {
  if (m_leaving.load()) return "shutting down";
  const TailProof proof = m_config->TailProofNow();
  if (proof.at == InfinitePast()) return "the configuration was not read yet";
  // By then every live agent has reported; before, requests would be refused for services that have endpoints.
  if (m_clock.Now() - m_started < m_settings.timing.endpoint_silent) return "waiting for the heartbeats of the agents";
  if (HasGap()) return "records that were not read yet are no longer retained";
  // A log outage must not take every entry out of the balancer: requests need no log once the configuration is known.
  return std::nullopt;
}

bool EntryNode::HasGap() const { return m_config->HasGap() || m_shares->HasGap(); }

bool EntryNode::Shutdown() {
  LogEvent(LogLevel::kInfo, "entry_leaving", {{"entry", m_entry.value()}});
  m_leaving.store(true);
  m_announcer->Wake();
  for (const std::unique_ptr<ShareRunner>& runner : m_shares->runners()) runner->BeginLeaving();
  const absl::Duration limit = m_settings.timing.shutdown_limit;
  // The balancer sees /readyz turn before new connections are refused.
  constexpr absl::Duration kBalancerNotice = absl::Seconds(1);
  bool finished = AwaitDrained(m_clock, kBalancerNotice, kBalancerNotice, [] { return true; });
  m_callers->BeginShutdown();
  finished = AwaitDrained(m_clock, limit, absl::ZeroDuration(),
                          [this] { return m_router.Outstanding() == 0 && m_callers->OpenRequests() == 0; }) &&
             finished;
  // Repeats through other entries find the outcomes only if they are in the log.
  finished =
      AwaitDrained(m_clock, absl::Seconds(3), absl::ZeroDuration(), [this] { return m_claims.IsIdle(); }) && finished;
  const auto owns_nothing = [this] {
    for (const std::unique_ptr<ShareRunner>& runner : m_shares->runners()) {
      if (runner->IsOwner()) return false;
    }
    return true;
  };
  finished = AwaitDrained(m_clock, absl::Seconds(3), absl::ZeroDuration(), owns_nothing) && finished;
  m_operators->BeginShutdown();
  m_internal->BeginShutdown();
  return AwaitDrained(m_clock, absl::Seconds(5), absl::ZeroDuration(),
                      [this] { return m_operators->OpenRequests() == 0 && m_internal->OpenStreams() == 0; }) &&
         finished;
}

}  // namespace berylgauge
