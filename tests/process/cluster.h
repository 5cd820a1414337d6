#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "clients/http_client.h"
#include "process/order_load.h"
#include "process/tcp_relay.h"
#include "process/truth.h"
#include "process/version_watch.h"
#include "support/child_process.h"
#include "support/standin.h"

namespace berylgauge {

/// Size and settings of an installation; each availability zone has one worker with its agent and endpoint.
struct ClusterOptions {
  int entries = 3;
  int zones = 3;
  nlohmann::json timing = nlohmann::json::object();  ///< overrides of the section `timing`
  nlohmann::json entry = nlohmann::json::object();   ///< overrides of the section `entry`
  nlohmann::json agent = nlohmann::json::object();   ///< overrides of the section `agent`
  bool has_endpoints = true;
  bool has_relays = false;  ///< a relay between each entry and the log, and between each agent and its worker
  std::vector<std::string> log_arguments;
};

/// An installation of real processes on an address range of its own in 127.0.0.0/8.
///
/// What is true is read from the stand-ins' records, never from the system's own answers.
class Cluster {
 public:
  /// Starts all processes and waits until each is ready.
  explicit Cluster(ClusterOptions options = {});

  /// Kills all processes. The folder with their logs and records is kept if the test has failed.
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  Standin& log() { return *m_log; }
  ChildProcess& entry(int i) { return *m_entries[i]; }
  ChildProcess& agent(int i) { return *m_agents[i]; }
  Standin& worker(int i) { return *m_workers[i]; }
  Standin& endpoint(int i) { return *m_endpoints[i]; }
  TcpRelay& log_relay(int entry) { return *m_log_relays[entry]; }
  TcpRelay& worker_relay(int worker) { return *m_worker_relays[worker]; }

  static std::string ZoneOf(int worker) { return "zone-" + std::to_string(worker); }

  /// Starts a process, after its predecessor at the same address was killed if it still runs.
  void StartEntry(int i);
  void StartAgent(int i);
  void StartWorker(int i);
  void StartEndpoint(int i);

  /// The worker's own list of its tasks.
  nlohmann::json WorkerReport(int i);

  /// Makes the log remove all records but the newest of each stream; those to come are retained again.
  void RemoveOldRecords();

  /// Stops an endpoint by SIGTERM; its record stays part of the truth.
  int StopEndpoint(int i) { return m_endpoints[i]->process().Stop(); }

  bool IsEntryAlive(int i);
  bool IsEntryReady(int i);
  bool IsAgentReady(int i);

  /// Waits until all processes are ready, each entry knows all entries and workers, and every share has a live owner.
  void WaitReady(absl::Duration timeout = absl::Seconds(30));

  /// Waits until every entry may place tasks on every worker, which is seconds after their agents are ready.
  void WaitTakesTasks(absl::Duration timeout = absl::Seconds(30));

  /// Callers that order through all entries.
  std::unique_ptr<OrderLoad> StartLoad(int callers = 3);

  /// Sends a request to the operators' API; throws if there is no answer.
  HttpResponse Operate(int entry, const std::string& method, const std::string& path, const nlohmann::json& body = {},
                       const std::string& key = "");

  /// The same, but throws if the status is not the expected one, and returns the document.
  nlohmann::json Expect(int status, int entry, const std::string& method, const std::string& path,
                        const nlohmann::json& body = {}, const std::string& key = "");

  nlohmann::json Status(int entry) { return Expect(200, entry, "GET", "/v1/status"); }

  /// Submits a job and returns its id.
  std::string Submit(int entry, int tasks, const nlohmann::json& command, const std::string& key = "");

  /// Makes a plan and returns its id.
  std::string Plan(int entry, const std::string& kind, const std::string& target);

  /// Confirms a plan of one operator.
  HttpResponse Confirm(int entry, const std::string& plan, const std::string& operator_name = "ada");

  /// Takes an availability zone out of service; from 3 s after the answer on, no task may start there.
  void Drain(int entry, const std::string& zone);

  /// Puts it back into service.
  void Restore(int entry, const std::string& zone);

  /// No task may start between these times, in milliseconds on CLOCK_MONOTONIC.
  void ForbidStarts(std::int64_t from_ms, std::int64_t until_ms) { m_closed.push_back({{}, from_ms, until_ms}); }

  /// Number of events of the tasks of a job in the workers' records; `state` selects among those of kind "end".
  int Count(const std::string& job, const std::string& kind, const std::string& state = "");

  /// Tasks of a job that run at one worker now, or at all of them.
  int Running(const std::string& job, int worker = -1);

  /// Waits until the workers' records show that many different tasks of the job with success.
  void WaitSucceeded(const std::string& job, int tasks, absl::Duration timeout);

  /// Waits until that many tasks of the job run.
  void WaitRunning(const std::string& job, int tasks, absl::Duration timeout = absl::Seconds(20));

  /// The first violation of a guarantee by the records, or "none". Call it at the end of each test.
  std::string Violation(const OrderLoad* load = nullptr);

  /// Processes that ended although no test stopped or killed them, for example "agent-0: signal SEGV".
  std::vector<std::string> OwnEnds();

  /// Waits for a state; throws with `what` after `timeout`.
  static void WaitFor(const std::string& what, absl::Duration timeout, const std::function<bool()>& reached);

  static std::int64_t NowMillis();

  /// Listeners for callers and operators of an entry and for endpoints of an agent, "IP:PORT".
  std::string CallersListener(int entry) const;
  std::string OperatorsListener(int entry) const;
  std::string EndpointsListener(int agent) const;
  /// Listener of an agent for the entries.
  std::string AgentInternalListener(int agent) const;

  /// What a process has logged so far, for example of "entry-0".
  std::string LogOf(const std::string& process) const;

 private:
  void ReserveAddresses();

  /// `WaitFor`, with the processes that ended by themselves in its message.
  void Await(const std::string& what, absl::Duration timeout, const std::function<bool()>& reached);

  /// Keeps how a process ended by itself, before another one takes its place.
  void NoteOwnEnd(const std::string& name, ChildProcess* process);
  std::string Ip(int host) const { return m_prefix + std::to_string(host); }
  void WriteSettings(const std::string& name, nlohmann::json settings);
  std::string NewRecord(std::vector<RecordFile>& files, std::unique_ptr<Standin>* predecessor, const std::string& name,
                        const std::string& zone);
  bool IsOk(const std::string& address, const std::string& path);
  int VersionAt(int entry);

  const ClusterOptions m_options;
  std::string m_folder;
  std::string m_prefix;
  int m_reservation = -1;
  HttpClient m_http;
  std::vector<RecordFile> m_worker_records;
  std::vector<RecordFile> m_endpoint_records;
  std::vector<ClosedTime> m_closed;
  std::vector<std::string> m_own_ends;  ///< of processes that were replaced
  std::unique_ptr<Standin> m_log;
  std::vector<std::unique_ptr<TcpRelay>> m_log_relays;
  std::vector<std::unique_ptr<TcpRelay>> m_worker_relays;
  std::vector<std::unique_ptr<Standin>> m_workers;
  std::vector<std::unique_ptr<Standin>> m_endpoints;
  std::vector<std::unique_ptr<ChildProcess>> m_entries;
  std::vector<std::unique_ptr<ChildProcess>> m_agents;
  std::unique_ptr<VersionWatch> m_watch;
};

}  // namespace berylgauge
