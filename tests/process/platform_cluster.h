#pragma once

#include <absl/time/time.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "clients/http_client.h"
#include "process/address_range.h"
#include "support/child_process.h"
#include "support/standin.h"

namespace berylgauge {

struct PlatformClusterOptions {
  int work_ms = 300;        ///< run time of each task
  int hold_max_ms = 6000;   ///< longest lease of a worker
  int worker_clock_ms = 0;  ///< clocks of the workers at their start
  int attempts = 2;         ///< failed runs of a task after which its job has failed
  int memory_mb = 0;        ///< memory of each host in its settings; 0 leaves it out
};

/// Entries and agents as on the shared platform, with stand-ins for its store and workers, on an address range of their
/// own in 127.0.0.0/8.
class PlatformCluster {
 public:
  PlatformCluster(int entries, int workers, const PlatformClusterOptions& options = {});
  ~PlatformCluster();

  void StartEntry(int i);
  void StartAgent(int i);
  ChildProcess& entry(int i) { return *m_entries[static_cast<std::size_t>(i)]; }
  ChildProcess& agent(int i) { return *m_agents[static_cast<std::size_t>(i)]; }
  Standin& store() { return *m_store; }
  Standin& worker(int i) { return *m_workers[static_cast<std::size_t>(i)]; }

  /// Address and port of listeners, "IP:PORT".
  std::string ClientListener(int entry) const;
  std::string ReadinessListener(int entry) const;
  std::string HeartbeatListener(int agent) const;
  std::string MetricsListener(int entry) const;
  /// Listeners for the other processes of the system.
  std::string EntryInternalListener(int entry) const;
  std::string AgentInternalListener(int agent) const;
  /// The IP address that only this entry or agent uses.
  std::string EntryIp(int entry) const;
  std::string AgentIp(int agent) const;

  /// Events of this name that an entry has logged.
  int LoggedByEntry(int i, const std::string& event) const;

  /// Sends a client's request to an entry; status 0 if there is no answer.
  HttpResponse Call(int entry, const std::string& method, const std::string& path, const std::string& body = {});
  std::string StateOf(int entry, const std::string& job);
  bool WaitForState(int entry, const std::string& job, const std::string& state, absl::Duration limit);

  /// Events of each worker so far.
  std::vector<std::vector<nlohmann::json>> Records();

  /// Tasks that ran twice at the same time or after an end as done, from what the workers recorded; empty if none.
  ///
  /// Where workers died or left, an end as done counts if it was taken note of (run_truth.h).
  std::string Violation();
  /// Runs that ended as done.
  int DoneRuns();

 private:
  std::string AddressOf(int group, int i) const;
  std::string WriteSettings(const std::string& host, bool is_agent, int i);

  const PlatformClusterOptions m_options;
  HttpClient m_http;
  AddressRange m_addresses;
  std::string m_folder;
  std::unique_ptr<Standin> m_store;
  std::vector<std::unique_ptr<Standin>> m_workers;
  std::vector<std::unique_ptr<ChildProcess>> m_entries;
  std::vector<std::unique_ptr<ChildProcess>> m_agents;
};

}  // namespace berylgauge
