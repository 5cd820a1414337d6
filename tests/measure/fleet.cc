#include "fleet.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "daemon/common/random_incarnation.h"
#include "daemon/messages/attempt_messages.h"
#include "daemon/messages/heartbeat_path.h"
#include "settings/ip_port.h"
#include "transport/make_stream_client.h"
#include "transport/socket_address.h"

namespace berylgauge {
namespace {

constexpr int kZones = 7;
constexpr int kWorkersPerRack = 3;
constexpr int kServices = 200;
constexpr int kSlotsOfAnEndpoint = 8;
constexpr absl::Duration kHeartbeatTimeout = absl::Milliseconds(1500);

/// Room for more tasks than the 17 of the design target, so that measurements of starts find free workers.
constexpr Resources kCapacity{.cpu_millis = 16'000, .memory_mb = 60'000, .accelerators = 0, .slots = 64};
constexpr Resources kAnnouncedAttempt{.cpu_millis = 300, .memory_mb = 1'000, .accelerators = 0, .slots = 1};

std::string AddressOf(int index) {
  return "127.32." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
}

std::int64_t UnixMicros(const Clock& clock) { return absl::ToUnixMicros(clock.WallNow()); }

}  // namespace

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options)), m_server(StreamServerOptions{}), m_shard("fleet", m_server) {}

Fleet::~Fleet() {
  m_shard.loop().RunSync([this] {
    m_stopping = true;
    for (const std::unique_ptr<Worker>& worker : m_workers) {
      if (worker->listener) worker->listener->Stop();
    }
  });
  for (const std::unique_ptr<Worker>& worker : m_workers) worker->clients.clear();
  m_shard.loop().RunSync([this] { m_shard.Stop(); });
  m_shard.WaitUntilClosed();
}

Result<void> Fleet::Start() {
  m_server.handler = [this](const StreamRequest& message, const StreamServer::Responder& responder) {
    responder(Handle(message));
  };
  for (int i = 0; i < m_options.workers; ++i) {
    MakeWorker(i);
    Worker& worker = *m_workers.back();
    const Result<SocketAddress> address = SocketAddress::Parse(AddressOf(i), m_options.port);
    if (!address) return tl::make_unexpected(address.error());
    Result<std::unique_ptr<Listener>> listener = Listener::Open(m_shard.loop(), *address);
    if (!listener) return tl::make_unexpected(listener.error());
    worker.listener = std::move(*listener);
    for (const std::string& entry : m_options.entries) {
      const std::optional<IpPort> parsed = IpPort::Parse(entry);
      if (!parsed) return NotRun(FailureCode::kInvalidArgument, "not an address: " + entry);
      auto client = MakeStreamClient(m_shard.loop(),
                                     {.address = parsed->address, .port = parsed->port, .metrics = &m_client_metrics});
      if (!client) return tl::make_unexpected(client.error());
      worker.clients.push_back(std::move(*client));
      worker.in_flight.push_back(false);
    }
  }
  m_shard.loop().RunSync([this] {
    m_workers_by_version[0] = m_options.workers;
    const MonotonicTime now = m_clock.Now();
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      m_workers[i]->listener->Start([this](UniqueFd fd) {
        m_server.connections.fetch_add(1);
        m_shard.Add(std::move(fd));
      });
      // Agents that started at different times send at different times.
      ScheduleRound(i, now + m_options.heartbeat * static_cast<double>(i) / m_options.workers);
    }
  });
  return {};
}

void Fleet::MakeWorker(int index) {
  auto worker = std::make_unique<Worker>();
  Heartbeat& heartbeat = worker->heartbeat;
  const std::string number = std::to_string(index);
  heartbeat.worker = WorkerId("worker-" + number);
  heartbeat.rack = RackId("rack-" + std::to_string(index / kWorkersPerRack));
  heartbeat.availability_zone = AvailabilityZoneId("zone-" + std::to_string(index / kWorkersPerRack % kZones));
  heartbeat.region = "ie-west";
  heartbeat.incarnation = RandomIncarnation();
  heartbeat.boot_id = "boot-of-worker-" + number;
  heartbeat.address = AddressOf(index) + ":" + std::to_string(m_options.port);
  heartbeat.capacity = kCapacity;
  heartbeat.reconciled = true;
  for (int i = 0; i < m_options.attempts; ++i) {
    heartbeat.running.push_back({.task = TaskId("announced-job-" + number + "/" + std::to_string(i)), .attempt = 1});
    heartbeat.booked += kAnnouncedAttempt;
  }
  for (int i = 0; i < m_options.endpoints; ++i) {
    heartbeat.endpoints.push_back(
        {.service = ServiceId("service-" + std::to_string((index * m_options.endpoints + i) % kServices)),
         .address = AddressOf(index) + ":" + std::to_string(m_options.port + 1 + i),
         .incarnation = RandomIncarnation(),
         .slots = kSlotsOfAnEndpoint});
  }
  m_workers_by_id[heartbeat.worker] = worker.get();
  m_workers.push_back(std::move(worker));
}

void Fleet::ScheduleRound(std::size_t worker, MonotonicTime at) {
  m_shard.loop().AddTimer(at, [this, worker, at] {
    if (m_stopping) return;
    const MonotonicTime now = m_clock.Now();
    m_totals.latest_lag_us = std::max(m_totals.latest_lag_us, absl::ToInt64Microseconds(now - at));
    SendHeartbeats(*m_workers[worker]);
    // A late round is not made up for, as in the agent.
    ScheduleRound(worker, std::max(at + m_options.heartbeat, now));
  });
}

void Fleet::SendHeartbeats(Worker& worker) {
  for (std::size_t i = 0; i < worker.clients.size(); ++i) {
    if (!worker.in_flight[i]) Send(worker, i);
  }
}

void Fleet::Send(Worker& worker, std::size_t entry) {
  ++worker.heartbeat.sequence;
  worker.heartbeat.config_version = worker.config_version;
  const Result<std::string> body = EncodeHeartbeat(worker.heartbeat);
  if (!body) {
    ++m_totals.failures;
    return;
  }
  ++m_totals.heartbeats;
  worker.in_flight[entry] = true;
  worker.clients[entry]->Send({.path = kHeartbeatPath, .headers = {}, .body = *body}, kHeartbeatTimeout,
                              [this, &worker, entry](const Result<StreamResponse>& response) {
                                worker.in_flight[entry] = false;
                                if (m_stopping) return;
                                if (!response || response->status != 200) {
                                  ++m_totals.failures;
                                  return;
                                }
                                const Result<HeartbeatReply> reply = DecodeHeartbeatReply(response->body);
                                if (!reply) {
                                  ++m_totals.failures;
                                  return;
                                }
                                ++m_totals.replies;
                                ApplyReply(worker, *reply);
                              });
}

void Fleet::ApplyReply(Worker& worker, const HeartbeatReply& reply) {
  NoteConfigVersion(worker, reply.config_version);
  for (const AttemptAcknowledgement& acknowledged : reply.acknowledged) {
    m_totals.acknowledged += std::erase_if(worker.heartbeat.ended, [&](const EndedAttemptReport& ended) {
      return ended.task == acknowledged.task && ended.attempt == acknowledged.attempt;
    });
  }
}

void Fleet::NoteConfigVersion(Worker& worker, ConfigVersion version) {
  if (version <= worker.config_version) return;
  const ConfigVersion before = m_workers_by_version.begin()->first;
  const auto former = m_workers_by_version.find(worker.config_version);
  if (--former->second == 0) m_workers_by_version.erase(former);
  ++m_workers_by_version[version];
  worker.config_version = version;
  const ConfigVersion after = m_workers_by_version.begin()->first;
  if (after == before) return;
  std::printf("config_everywhere version=%lld unix_us=%lld\n", static_cast<long long>(after),
              static_cast<long long>(UnixMicros(m_clock)));
  std::fflush(stdout);
}

StreamResponse Fleet::Handle(const StreamRequest& message) {
  if (message.path == kStartPath) return HandleStart(message);
  if (message.path == kStopPath || message.path == kWithdrawPath) return HandleEnd(message);
  return {.status = 200, .headers = {}, .body = {}};
}

StreamResponse Fleet::HandleStart(const StreamRequest& message) {
  const Result<StartCommand> command = DecodeStartCommand(message.body);
  if (!command) return {.status = 400, .headers = {}, .body = command.error().message};
  const auto found = m_workers_by_id.find(command->worker);
  if (found == m_workers_by_id.end()) return {.status = 404, .headers = {}, .body = {}};
  Worker& worker = *found->second;
  if (!worker.started.emplace(command->key, command->resources).second) {
    return {.status = 200, .headers = {}, .body = EncodeAttemptAnswer({.kind = AnswerKind::kRunning})};
  }
  ++m_totals.starts;
  if (m_options.print_starts) {
    std::printf("start task=%s unix_us=%lld\n", command->key.task.value().c_str(),
                static_cast<long long>(UnixMicros(m_clock)));
    std::fflush(stdout);
  }
  m_places[command->key] = &worker;
  worker.heartbeat.booked += command->resources;
  worker.heartbeat.running.push_back({.task = command->key.task, .attempt = command->key.attempt});
  m_shard.loop().AddTimer(m_clock.Now() + m_options.run_time, [this, &worker, key = command->key] {
    End(worker, key, ReportedAttemptOutcome::kSucceeded);
  });
  return {.status = 200, .headers = {}, .body = EncodeAttemptAnswer({.kind = AnswerKind::kStarted})};
}

StreamResponse Fleet::HandleEnd(const StreamRequest& message) {
  const Result<StopMessage> stop = DecodeStopMessage(message.body);
  if (!stop) return {.status = 400, .headers = {}, .body = stop.error().message};
  const auto place = m_places.find(stop->end.key);
  if (place != m_places.end()) End(*place->second, stop->end.key, ReportedAttemptOutcome::kStopped);
  return {.status = 200, .headers = {}, .body = EncodeAttemptAnswer({.kind = AnswerKind::kEnded})};
}

void Fleet::End(Worker& worker, const AttemptKey& key, ReportedAttemptOutcome outcome) {
  const auto place = m_places.find(key);
  if (place == m_places.end()) return;
  m_places.erase(place);
  worker.heartbeat.booked -= worker.started.at(key);
  std::erase_if(worker.heartbeat.running, [&](const RunningAttemptReport& running) {
    return running.task == key.task && running.attempt == key.attempt;
  });
  worker.heartbeat.ended.push_back({.task = key.task,
                                    .attempt = key.attempt,
                                    .agent_incarnation = worker.heartbeat.incarnation,
                                    .outcome = outcome});
}

Fleet::Totals Fleet::Count() {
  Totals totals;
  m_shard.loop().RunSync([this, &totals] {
    totals = m_totals;
    totals.running = m_places.size();
    m_totals.latest_lag_us = 0;
  });
  const TransportCounters counters(m_client_metrics, "client");
  totals.bytes_out = counters.bytes_out.value();
  totals.bytes_in = counters.bytes_in.value();
  return totals;
}

}  // namespace berylgauge
