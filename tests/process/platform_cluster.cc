#include "process/platform_cluster.h"

#include <absl/time/clock.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "process/run_truth.h"

namespace berylgauge {
namespace {

constexpr int kEntryGroup = 1;
constexpr int kAgentGroup = 2;
constexpr const char* kClientPort = "8161";
constexpr const char* kReadyPort = "8167";
constexpr const char* kHeartbeatPort = "8166";
constexpr const char* kMetricsPort = "9464";
constexpr const char* kInternalPort = "7720";
constexpr int kWorkerPort = 8165;

/// The operators' configuration, with one queue.
std::string ConfigOf(const PlatformClusterOptions& options) {
  const nlohmann::json route = {{"name", "checks"},      {"host", "h.example"},     {"path_prefix", "/q/"},
                                {"service", "dispatch"}, {"priority", 0},           {"attempts", options.attempts},
                                {"stretch", 1.5},        {"target_latency_ms", 250}};
  const nlohmann::json config = {{"version", 1},
                                 {"routes", nlohmann::json::array({route})},
                                 {"services", nlohmann::json::array()},
                                 {"limits", nlohmann::json::object()}};
  return config.dump();
}

}  // namespace

PlatformCluster::PlatformCluster(int entries, int workers, const PlatformClusterOptions& options)
    : m_options(options),
      m_folder(std::filesystem::temp_directory_path() / ("berylgauge-platform-" + std::to_string(getpid()))) {
  std::filesystem::create_directories(m_folder);
  m_store = std::make_unique<Standin>("standin_keyed_log", std::vector<std::string>{"--address=" + AddressOf(0, 1)});
  m_store->Control("put", {{"topic", "keyed.op"}, {"key", "config"}, {"value", ConfigOf(m_options)}});
  m_entries.resize(static_cast<std::size_t>(entries));
  m_agents.resize(static_cast<std::size_t>(workers));
  for (int i = 0; i < entries; ++i) StartEntry(i);
  for (int i = 0; i < workers; ++i) {
    StartAgent(i);
    const std::string agent = AddressOf(kAgentGroup, i);
    m_workers.push_back(std::make_unique<Standin>(
        "standin_leased_worker",
        std::vector<std::string>{"--id=w" + std::to_string(i), "--agent=" + agent + ":" + kHeartbeatPort,
                                 "--address=" + agent, "--port=" + std::to_string(kWorkerPort),
                                 "--work-ms=" + std::to_string(m_options.work_ms),
                                 "--hold-max-ms=" + std::to_string(m_options.hold_max_ms),
                                 "--clock-ms=" + std::to_string(m_options.worker_clock_ms)}));
  }
  const absl::Time limit = absl::Now() + absl::Seconds(20);
  for (int i = 0; i < entries; ++i) {
    const HttpRequest ready{
        .method = "GET", .url = "http://" + AddressOf(kEntryGroup, i) + ":" + kReadyPort + "/v1/readyz", .headers = {}};
    for (;;) {
      const Result<HttpResponse> answer = m_http.Call(ready, absl::Seconds(1));
      if (answer && answer->status == 200) break;
      if (absl::Now() > limit) throw std::runtime_error("entry " + std::to_string(i) + " is not ready");
      absl::SleepFor(absl::Milliseconds(20));
    }
  }
}

PlatformCluster::~PlatformCluster() {
  m_entries.clear();
  m_agents.clear();
  m_workers.clear();
  m_store.reset();
  std::error_code ignored;  // a folder that is left behind does no harm
  std::filesystem::remove_all(m_folder, ignored);
}

std::string PlatformCluster::AddressOf(int group, int i) const {
  return "127." + std::to_string(m_addresses.number()) + "." + std::to_string(group) + "." + std::to_string(i + 1);
}

std::string PlatformCluster::ClientListener(int entry) const {
  return AddressOf(kEntryGroup, entry) + ":" + kClientPort;
}

std::string PlatformCluster::ReadinessListener(int entry) const {
  return AddressOf(kEntryGroup, entry) + ":" + kReadyPort;
}

std::string PlatformCluster::HeartbeatListener(int agent) const {
  return AddressOf(kAgentGroup, agent) + ":" + kHeartbeatPort;
}

std::string PlatformCluster::MetricsListener(int entry) const { return EntryIp(entry) + ":" + kMetricsPort; }

std::string PlatformCluster::EntryInternalListener(int entry) const { return EntryIp(entry) + ":" + kInternalPort; }

std::string PlatformCluster::AgentInternalListener(int agent) const { return AgentIp(agent) + ":" + kInternalPort; }

std::string PlatformCluster::EntryIp(int entry) const { return AddressOf(kEntryGroup, entry); }

std::string PlatformCluster::AgentIp(int agent) const { return AddressOf(kAgentGroup, agent); }

std::string PlatformCluster::WriteSettings(const std::string& host, bool is_agent, int i) {
  const std::string address = AddressOf(is_agent ? kAgentGroup : kEntryGroup, i);
  nlohmann::json settings = {{"node", host},
                             {"ip", address},
                             {"zone", "zone-0"},
                             {"serves", {is_agent ? "side" : "edge"}},
                             {"port_range", {7720, 7735}},
                             {"platform", {{"addr", m_store->Address()}}},
                             {"bounds", {{"grace_s", 6}, {"hold_max_ms", m_options.hold_max_ms}}}};
  if (m_options.memory_mb > 0) settings["limits"] = {{"memory_mb", m_options.memory_mb}};
  if (is_agent) {
    settings["listen"] = {{"control", address + ":" + kHeartbeatPort}};
    settings["app"] = address + ":" + std::to_string(kWorkerPort);
  } else {
    settings["listen"] = {{"front", address + ":" + kClientPort}, {"ready", address + ":" + kReadyPort}};
  }
  const std::string path = m_folder + "/" + host + ".json";
  std::ofstream(path) << settings.dump();
  return path;
}

void PlatformCluster::StartEntry(int i) {
  const std::string host = "edge-" + std::to_string(i);
  const std::string path = WriteSettings(host, false, i);
  std::unique_ptr<ChildProcess>& process = m_entries[static_cast<std::size_t>(i)];
  process.reset();
  process = std::make_unique<ChildProcess>(DAEMON_PROGRAM, std::vector<std::string>{"--platform", path}, path + ".log");
}

void PlatformCluster::StartAgent(int i) {
  const std::string host = "side-" + std::to_string(i);
  const std::string path = WriteSettings(host, true, i);
  std::unique_ptr<ChildProcess>& process = m_agents[static_cast<std::size_t>(i)];
  process.reset();
  process = std::make_unique<ChildProcess>(DAEMON_PROGRAM, std::vector<std::string>{"--platform", path}, path + ".log");
}

int PlatformCluster::LoggedByEntry(int i, const std::string& event) const {
  std::ifstream log(m_folder + "/edge-" + std::to_string(i) + ".json.log");
  int count = 0;
  for (std::string line; std::getline(log, line);) count += line.find(event) != std::string::npos ? 1 : 0;
  return count;
}

HttpResponse PlatformCluster::Call(int entry, const std::string& method, const std::string& path,
                                   const std::string& body) {
  const Result<HttpResponse> answer =
      m_http.Call({.method = method,
                   .url = "http://" + AddressOf(kEntryGroup, entry) + ":" + kClientPort + path,
                   .headers = {{"host", "h.example"}, {"deadline-ms", "3000"}},
                   .body = body},
                  absl::Seconds(4));
  return answer ? *answer : HttpResponse{};
}

std::string PlatformCluster::StateOf(int entry, const std::string& job) {
  const HttpResponse answer = Call(entry, "GET", "/q/" + job);
  const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

bool PlatformCluster::WaitForState(int entry, const std::string& job, const std::string& state, absl::Duration limit) {
  const absl::Time end = absl::Now() + limit;
  while (StateOf(entry, job) != state) {
    if (absl::Now() > end) return false;
    absl::SleepFor(absl::Milliseconds(20));
  }
  return true;
}

std::vector<std::vector<nlohmann::json>> PlatformCluster::Records() {
  std::vector<std::vector<nlohmann::json>> records;
  for (const std::unique_ptr<Standin>& worker : m_workers) records.push_back(worker->Events());
  return records;
}

std::string PlatformCluster::Violation() { return FindDoubleRun(Records()); }

int PlatformCluster::DoneRuns() {
  int count = 0;
  for (const std::unique_ptr<Standin>& worker : m_workers) {
    for (const nlohmann::json& event : worker->Events("run-end")) count += event.at("how") == "done" ? 1 : 0;
  }
  return count;
}

}  // namespace berylgauge
