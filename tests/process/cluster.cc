#include "process/cluster.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace berylgauge {
namespace {

constexpr int kReservationHost = 1;
constexpr int kReservationPort = 7399;
constexpr int kLogHost = 10;
constexpr int kEntryHost = 20;
constexpr int kAgentHost = 50;
constexpr int kWorkerHost = 100;
constexpr int kEndpointHost = 150;
constexpr int kLogRelayHost = 200;
constexpr int kWorkerRelayHost = 220;

constexpr int kLogPort = 7400;
constexpr int kOperatorsPort = 7401;
constexpr int kCallersPort = 7402;
constexpr int kEntryPort = 7403;
constexpr int kLocalPort = 7410;
constexpr int kAgentPort = 7411;
constexpr int kWorkerPort = 7420;
constexpr int kEndpointPort = 7430;

/// Default of the setting `entry.job_shares`.
constexpr int kShares = 8;

/// Longest time for a call; above the 10 s for which an entry waits for the log.
constexpr absl::Duration kCallTimeout = absl::Seconds(20);
constexpr absl::Duration kProbeTimeout = absl::Seconds(1);
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);

/// Time after the confirmation of a drain by which no task starts there any more (guarantee 4).
constexpr std::int64_t kDrainBoundMs = 3'000;

constexpr const char* kToken = "process-test-token";

std::string Name(const char* kind, int i) { return absl::StrCat(kind, "-", i); }

std::string Join(const std::string& ip, int port) { return absl::StrCat(ip, ":", port); }

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options)),
      m_workers(m_options.zones),
      m_endpoints(m_options.zones),
      m_entries(m_options.entries),
      m_agents(m_options.zones) {
  std::string folder = std::filesystem::temp_directory_path() / "berylgauge-process.XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error("cannot create a folder");
  m_folder = folder;
  std::ofstream(m_folder + "/token") << kToken;
  ReserveAddresses();
  std::vector<std::string> arguments = {"--address=" + Ip(kLogHost), absl::StrCat("--port=", kLogPort)};
  arguments.insert(arguments.end(), m_options.log_arguments.begin(), m_options.log_arguments.end());
  m_log = std::make_unique<Standin>("standin_log", arguments);
  for (int i = 0; m_options.has_relays && i < m_options.entries; ++i) {
    m_log_relays.push_back(std::make_unique<TcpRelay>(Ip(kLogRelayHost + i), kLogPort, Ip(kLogHost), kLogPort));
  }
  for (int i = 0; i < m_options.entries; ++i) StartEntry(i);
  for (int i = 0; i < m_options.zones; ++i) {
    StartWorker(i);
    if (m_options.has_relays) {
      m_worker_relays.push_back(
          std::make_unique<TcpRelay>(Ip(kWorkerRelayHost + i), kWorkerPort, Ip(kWorkerHost + i), kWorkerPort));
    }
    StartAgent(i);
    if (m_options.has_endpoints) StartEndpoint(i);
  }
  WaitReady();
  m_watch = std::make_unique<VersionWatch>(m_options.entries, [this](int entry) { return VersionAt(entry); });
}

Cluster::~Cluster() {
  m_watch.reset();
  if (std::uncaught_exceptions() > 0) {
    for (const std::string& end : OwnEnds()) std::cerr << "ended by itself: " << end << "\n";
  }
  m_entries.clear();
  m_agents.clear();
  m_workers.clear();
  m_endpoints.clear();
  m_log.reset();
  if (std::uncaught_exceptions() > 0) {
    std::cerr << "logs and records of the processes: " << m_folder << "\n";
  } else {
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }
  if (m_reservation >= 0) close(m_reservation);
}

void Cluster::ReserveAddresses() {
  // A listener on one port of the range keeps it for this object among all tests that run at the same time.
  absl::BitGen random;
  m_reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  for (int attempt = 0; attempt < 100; ++attempt) {
    m_prefix = absl::StrCat("127.", absl::Uniform(random, 16, 255), ".", absl::Uniform(random, 0, 255), ".");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kReservationPort);
    inet_pton(AF_INET, Ip(kReservationHost).c_str(), &address.sin_addr);
    if (bind(m_reservation, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
        listen(m_reservation, 1) == 0) {
      return;
    }
  }
  throw std::runtime_error("no address range is free");
}

void Cluster::WriteSettings(const std::string& name, nlohmann::json settings) {
  // Leases near their lower bounds, so that a test waits for seconds and not for minutes.
  settings["timing"] = {{"heartbeat_ms", 200},
                        {"share_lease_ms", 2000},
                        {"worker_silent_ms", 2000},
                        {"task_lease_ms", 10000},
                        {"endpoint_silent_ms", 3000}};
  settings["timing"].update(m_options.timing);
  settings["node_id"] = name;
  settings["region"] = "ie-west";
  std::ofstream(absl::StrCat(m_folder, "/", name, ".json")) << settings;
}

void Cluster::StartEntry(int i) {
  const std::string name = Name("entry", i);
  const std::string ip = Ip(kEntryHost + i);
  const std::string log = Ip(m_options.has_relays ? kLogRelayHost + i : kLogHost);
  nlohmann::json entry = {{"callers_address", ip},
                          {"callers_port", kCallersPort},
                          {"operators_address", ip},
                          {"operators_port", kOperatorsPort},
                          {"internal_address", ip},
                          {"internal_port", kEntryPort},
                          {"operator_token_file", m_folder + "/token"},
                          {"log_url", "http://" + Join(log, kLogPort)}};
  entry.update(m_options.entry);
  WriteSettings(name,
                {{"role", "entry"}, {"availability_zone", ZoneOf(i % m_options.zones)}, {"entry", std::move(entry)}});
  NoteOwnEnd(name, m_entries[i].get());
  m_entries[i].reset();
  if (m_watch) m_watch->Forget(i);
  const std::string path = absl::StrCat(m_folder, "/", name);
  m_entries[i] =
      std::make_unique<ChildProcess>(DAEMON_PROGRAM, std::vector<std::string>{path + ".json"}, path + ".log");
}

void Cluster::StartAgent(int i) {
  const std::string name = Name("agent", i);
  const std::string ip = Ip(kAgentHost + i);
  const std::string worker = Ip((m_options.has_relays ? kWorkerRelayHost : kWorkerHost) + i);
  nlohmann::json entries = nlohmann::json::array();
  for (int entry = 0; entry < m_options.entries; ++entry) entries.push_back(Join(Ip(kEntryHost + entry), kEntryPort));
  nlohmann::json agent = {{"worker_id", Name("worker", i)},
                          {"rack", ZoneOf(i) + "-rack"},
                          {"local_address", ip},
                          {"local_port", kLocalPort},
                          {"internal_address", ip},
                          {"internal_port", kAgentPort},
                          {"worker_url", "http://" + Join(worker, kWorkerPort)},
                          {"entries", std::move(entries)}};
  agent.update(m_options.agent);
  WriteSettings(name, {{"role", "agent"}, {"availability_zone", ZoneOf(i)}, {"agent", std::move(agent)}});
  NoteOwnEnd(name, m_agents[i].get());
  m_agents[i].reset();
  const std::string path = absl::StrCat(m_folder, "/", name);
  m_agents[i] = std::make_unique<ChildProcess>(DAEMON_PROGRAM, std::vector<std::string>{path + ".json"}, path + ".log");
}

std::string Cluster::NewRecord(std::vector<RecordFile>& files, std::unique_ptr<Standin>* predecessor,
                               const std::string& name, const std::string& zone) {
  if (*predecessor != nullptr) {
    NoteOwnEnd(name, &(*predecessor)->process());
    predecessor->reset();
    for (RecordFile& file : files) {
      if (file.availability_zone == zone && file.ended_ms == 0) file.ended_ms = NowMillis();
    }
  }
  files.push_back({.path = absl::StrCat(m_folder, "/", name, "-", files.size(), ".record"), .availability_zone = zone});
  return "--record=" + files.back().path;
}

void Cluster::StartWorker(int i) {
  const std::string record = NewRecord(m_worker_records, &m_workers[i], Name("worker", i), ZoneOf(i));
  m_workers[i] = std::make_unique<Standin>(
      "standin_worker",
      std::vector<std::string>{"--address=" + Ip(kWorkerHost + i), absl::StrCat("--port=", kWorkerPort), record});
}

void Cluster::StartEndpoint(int i) {
  const std::string record = NewRecord(m_endpoint_records, &m_endpoints[i], Name("endpoint", i), ZoneOf(i));
  m_endpoints[i] = std::make_unique<Standin>(
      "standin_endpoint",
      std::vector<std::string>{"--address=" + Ip(kEndpointHost + i), absl::StrCat("--port=", kEndpointPort),
                               "--agent=" + Join(Ip(kAgentHost + i), kLocalPort), "--slots=8", "--service-ms=5",
                               record});
}

nlohmann::json Cluster::WorkerReport(int i) {
  const Result<HttpResponse> response =
      m_http.Call({.method = "GET", .url = "http://" + worker(i).Address() + "/v1/report"}, kProbeTimeout);
  if (!response) throw std::runtime_error("the worker does not report: " + response.error().message);
  return nlohmann::json::parse(response->body);
}

void Cluster::RemoveOldRecords() {
  m_log->Control("retention", {{"max_records", 1}});
  std::vector<std::string> streams = {"config"};
  for (int share = 0; share < kShares; ++share) streams.push_back(absl::StrCat("jobs-", share));
  // The log removes records when a stream is used.
  for (const std::string& stream : streams) {
    const std::string url = absl::StrCat("http://", m_log->Address(), "/v1/streams/", stream);
    if (!m_http.Call({.method = "GET", .url = url}, kProbeTimeout)) throw std::runtime_error("no answer: " + url);
  }
  m_log->Control("retention", {{"max_records", 0}});
}

bool Cluster::IsOk(const std::string& address, const std::string& path) {
  const Result<HttpResponse> response =
      m_http.Call({.method = "GET", .url = "http://" + address + path}, kProbeTimeout);
  return response && response->status == 200;
}

bool Cluster::IsEntryAlive(int i) { return IsOk(Join(Ip(kEntryHost + i), kOperatorsPort), "/healthz"); }

bool Cluster::IsEntryReady(int i) { return IsOk(Join(Ip(kEntryHost + i), kOperatorsPort), "/readyz"); }

bool Cluster::IsAgentReady(int i) { return IsOk(Join(Ip(kAgentHost + i), kLocalPort), "/readyz"); }

void Cluster::WaitReady(absl::Duration timeout) {
  Await("all processes to be ready", timeout, [this] {
    for (int i = 0; i < m_options.entries; ++i) {
      if (!IsEntryReady(i)) return false;
    }
    for (int i = 0; i < m_options.zones; ++i) {
      if (!IsAgentReady(i)) return false;
    }
    for (int i = 0; i < m_options.entries; ++i) {
      const nlohmann::json status = Status(i);
      if (static_cast<int>(status["entries"].size()) != m_options.entries) return false;
      if (static_cast<int>(status["workers"].size()) != m_options.zones) return false;
      for (const nlohmann::json& worker : status["workers"]) {
        if (worker["liveness"] != "live" || worker["endpoints"].empty() == m_options.has_endpoints) return false;
      }
      for (const nlohmann::json& share : status["shares"]) {
        if (share["epoch"] == 0 || share["released"]) return false;
      }
    }
    return true;
  });
}

void Cluster::WaitTakesTasks(absl::Duration timeout) {
  Await("all workers to take tasks", timeout, [this] {
    for (int i = 0; i < m_options.entries; ++i) {
      const nlohmann::json status = Status(i);
      for (const nlohmann::json& worker : status["workers"]) {
        if (!worker["takes_tasks"].get<bool>()) return false;
      }
    }
    return true;
  });
}

std::unique_ptr<OrderLoad> Cluster::StartLoad(int callers) {
  std::vector<OrderLoad::Entry> entries;
  for (int i = 0; i < m_options.entries; ++i) {
    const std::string ip = Ip(kEntryHost + i);
    entries.push_back({.callers = Join(ip, kCallersPort), .operators = Join(ip, kOperatorsPort)});
  }
  return std::make_unique<OrderLoad>(std::move(entries), callers);
}

HttpResponse Cluster::Operate(int entry, const std::string& method, const std::string& path, const nlohmann::json& body,
                              const std::string& key) {
  const std::string text = body.is_null() ? "" : body.dump();
  HttpRequest request{.method = method,
                      .url = absl::StrCat("http://", Join(Ip(kEntryHost + entry), kOperatorsPort), path),
                      .headers = {{"authorization", absl::StrCat("Bearer ", kToken)}},
                      .body = text};
  if (!key.empty()) request.headers.emplace_back("idempotency-key", key);
  Result<HttpResponse> response = m_http.Call(request, kCallTimeout);
  if (!response) throw std::runtime_error(absl::StrCat(method, " ", request.url, ": ", response.error().message));
  return std::move(*response);
}

nlohmann::json Cluster::Expect(int status, int entry, const std::string& method, const std::string& path,
                               const nlohmann::json& body, const std::string& key) {
  const HttpResponse response = Operate(entry, method, path, body, key);
  if (response.status != status) {
    throw std::runtime_error(absl::StrCat(method, " ", path, ": ", response.status, " ", response.body));
  }
  return nlohmann::json::parse(response.body);
}

std::string Cluster::Submit(int entry, int tasks, const nlohmann::json& command, const std::string& key) {
  const nlohmann::json job = {{"name", "stock-reconciliation"},
                              {"team", "stock"},
                              {"task_count", tasks},
                              {"resources", {{"cpu_millis", 1000}, {"memory_mb", 500}}},
                              {"command", command.dump()}};
  return Expect(201, entry, "POST", "/v1/jobs", job, key)["id"];
}

std::string Cluster::Plan(int entry, const std::string& kind, const std::string& target) {
  return Expect(201, entry, "POST", "/v1/plans", {{"kind", kind}, {"target", target}, {"operator", "ada"}})["id"];
}

HttpResponse Cluster::Confirm(int entry, const std::string& plan, const std::string& operator_name) {
  return Operate(entry, "POST", absl::StrCat("/v1/plans/", plan, "/confirm"), {{"operator", operator_name}});
}

void Cluster::Drain(int entry, const std::string& zone) {
  const HttpResponse response = Confirm(entry, Plan(entry, "drain-zone", zone));
  if (response.status != 200) throw std::runtime_error("drain: " + response.body);
  m_closed.push_back({.availability_zone = zone, .from_ms = NowMillis() + kDrainBoundMs, .until_ms = INT64_MAX});
}

void Cluster::Restore(int entry, const std::string& zone) {
  const std::string plan = Plan(entry, "restore-zone", zone);
  for (ClosedTime& time : m_closed) {
    if (time.availability_zone == zone && time.until_ms == INT64_MAX) time.until_ms = NowMillis();
  }
  const HttpResponse response = Confirm(entry, plan);
  if (response.status != 200) throw std::runtime_error("restore: " + response.body);
}

int Cluster::Count(const std::string& job, const std::string& kind, const std::string& state) {
  int count = 0;
  for (const RecordFile& file : m_worker_records) {
    for (const nlohmann::json& event : file.Events()) {
      if (event["kind"] != kind || !event["task"].get<std::string>().starts_with(job + "/")) continue;
      if (state.empty() || event["state"] == state) ++count;
    }
  }
  return count;
}

int Cluster::Running(const std::string& job, int worker) {
  int running = 0;
  for (const RecordFile& file : m_worker_records) {
    if (file.ended_ms > 0 || (worker >= 0 && file.availability_zone != ZoneOf(worker))) continue;
    for (const nlohmann::json& event : file.Events()) {
      if (!event.contains("task") || !event["task"].get<std::string>().starts_with(job + "/")) continue;
      if (event["kind"] == "start") ++running;
      if (event["kind"] == "end") --running;
    }
  }
  return running;
}

void Cluster::WaitSucceeded(const std::string& job, int tasks, absl::Duration timeout) {
  Await(absl::StrCat(tasks, " tasks of ", job, " to succeed"), timeout,
        [&] { return Count(job, "end", "succeeded") >= tasks; });
}

void Cluster::WaitRunning(const std::string& job, int tasks, absl::Duration timeout) {
  Await(absl::StrCat(tasks, " tasks of ", job, " to run"), timeout, [&] { return Running(job) == tasks; });
}

std::string Cluster::Violation(const OrderLoad* load) {
  std::vector<std::string> violations = CheckTasks(m_worker_records, m_closed);
  for (const std::string& end : OwnEnds()) violations.push_back("ended by itself: " + end);
  const std::vector<std::string> versions = m_watch->Violations();
  violations.insert(violations.end(), versions.begin(), versions.end());
  if (load != nullptr) {
    const std::vector<std::string> orders = CheckOrders(m_endpoint_records, load->Outcomes());
    violations.insert(violations.end(), orders.begin(), orders.end());
  }
  return violations.empty() ? "none" : absl::StrCat(violations.front(), " (", violations.size(), " violations)");
}

void Cluster::NoteOwnEnd(const std::string& name, ChildProcess* process) {
  if (process != nullptr && !process->OwnEnd().empty()) m_own_ends.push_back(name + ": " + process->OwnEnd());
}

std::vector<std::string> Cluster::OwnEnds() {
  std::vector<std::string> ends = m_own_ends;
  const auto add = [&ends](const std::string& name, ChildProcess& process) {
    if (!process.OwnEnd().empty()) ends.push_back(name + ": " + process.OwnEnd());
  };
  if (m_log) add("log", m_log->process());
  for (int i = 0; i < m_options.entries; ++i) {
    if (m_entries[i]) add(Name("entry", i), *m_entries[i]);
  }
  for (int i = 0; i < m_options.zones; ++i) {
    if (m_agents[i]) add(Name("agent", i), *m_agents[i]);
    if (m_workers[i]) add(Name("worker", i), m_workers[i]->process());
    if (m_endpoints[i]) add(Name("endpoint", i), m_endpoints[i]->process());
  }
  return ends;
}

void Cluster::Await(const std::string& what, absl::Duration timeout, const std::function<bool()>& reached) {
  try {
    WaitFor(what, timeout, reached);
  } catch (const std::runtime_error& error) {
    const std::vector<std::string> ends = OwnEnds();
    if (ends.empty()) throw;
    throw std::runtime_error(absl::StrCat(error.what(), "; ended by itself: ", absl::StrJoin(ends, ", ")));
  }
}

void Cluster::WaitFor(const std::string& what, absl::Duration timeout, const std::function<bool()>& reached) {
  const absl::Time deadline = absl::Now() + timeout;
  while (!reached()) {
    if (absl::Now() >= deadline)
      throw std::runtime_error(absl::StrCat("waited ", absl::FormatDuration(timeout), " for ", what));
    absl::SleepFor(kPollInterval);
  }
}

std::int64_t Cluster::NowMillis() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string Cluster::CallersListener(int entry) const { return Join(Ip(kEntryHost + entry), kCallersPort); }

std::string Cluster::OperatorsListener(int entry) const { return Join(Ip(kEntryHost + entry), kOperatorsPort); }

std::string Cluster::EndpointsListener(int agent) const { return Join(Ip(kAgentHost + agent), kLocalPort); }

std::string Cluster::AgentInternalListener(int agent) const { return Join(Ip(kAgentHost + agent), kAgentPort); }

std::string Cluster::LogOf(const std::string& process) const {
  std::ifstream file(absl::StrCat(m_folder, "/", process, ".log"));
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

int Cluster::VersionAt(int entry) {
  const Result<HttpResponse> response =
      m_http.Call({.method = "GET",
                   .url = absl::StrCat("http://", Join(Ip(kEntryHost + entry), kOperatorsPort), "/v1/status"),
                   .headers = {{"authorization", absl::StrCat("Bearer ", kToken)}}},
                  kProbeTimeout);
  if (!response || response->status != 200) return -1;
  return nlohmann::json::parse(response->body)["config"]["version"];
}

}  // namespace berylgauge
