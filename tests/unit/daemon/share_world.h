#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "daemon/agent/agent_core.h"
#include "daemon/entry/failure_monitor.h"
#include "daemon/entry/share_controller.h"
#include "fake_worker.h"
#include "schedule/placer.h"
#include "state/config_state.h"
#include "state/jobs_state.h"

namespace berylgauge {

/// One share, two entries, two workers with their agents, and a log, all in memory. A test chooses what happens next.
///
/// Controllers, agents and folds are the real ones. Messages may be delivered late, twice or never, worker calls may
/// lose their answers, and a paused entry carries out old decisions.
class ShareWorld {
 public:
  static constexpr int kEntries = 2;
  static constexpr int kWorkers = 2;
  static constexpr int kTasks = 3;  ///< of the first job; the others have one each
  static constexpr int kJobs = 4;

  struct Options {
    /// Broken variant: an agent forgets that it was given an incarnation and accepts commands for any.
    bool ignore_agent_incarnation = false;
    /// Broken variant: the entries do not tell agents that their worker was revoked.
    bool hide_revocations = false;
  };

  ShareWorld(Options options, std::uint64_t seed);
  ~ShareWorld();

  // What can happen.
  void StepEntry(int entry);
  void WatchEntry(int entry);  ///< reads the log and loses its decisions
  void PauseEntry(int entry);  ///< decides now, carries out on `ResumeEntry`
  void ResumeEntry(int entry);
  void RestartEntry(int entry);
  void DeliverMessage(std::size_t index, bool keep);
  void DropMessage(std::size_t index);
  /// The heartbeat reaches `entry`, or every entry if it is negative.
  void SendHeartbeat(int worker, int entry, bool reply_arrives);
  void ReadReport(int worker);
  void RunCommands(int worker, bool lose_answers);
  void FinishTask(int worker, std::size_t index, bool success);
  void FailAllTasks(int worker);  ///< as a faulty worker does
  void RestartAgent(int worker);
  void WakeFormerAgent(int worker);  ///< the agent that was replaced goes on as if it had only been paused
  void RebootWorker(int worker);
  void SetZone(int worker, AvailabilityState state);
  void Cancel();
  void Advance(absl::Duration duration);

  static JobId IdOfJob(int job) { return JobId(job == 0 ? "job" : "job-" + std::to_string(job)); }

  /// True if the entry has taken the worker out.
  bool IsQuarantined(int entry, int worker) const;

  /// Starts at the workers so far.
  int starts() const;

  std::size_t message_count() const { return m_messages.size(); }
  const JobsState& jobs() const { return m_jobs; }

  /// What happened so far, one line for each event; for reports of failed tests.
  const std::string& trace() const { return m_trace; }

  /// What is wrong now; empty if nothing is.
  std::string Problem() const;

 private:
  struct EntryModel;
  struct WorkerModel;
  struct Message {
    int entry = 0;
    WorkerId worker;
    std::optional<StartCommand> start;
    std::optional<StopMessage> stop;
    std::optional<TermsMessage> terms;
  };

  void Trace(const std::string& line);
  ShareDecisions Decide(int entry);
  void CheckUsage(const Placer& placer);
  void CarryOut(int entry, const ShareDecisions& decisions);
  void AppendJobs(const std::string& writer, std::uint64_t* sequence, const std::vector<JobsRecord>& records);
  void AppendConfig(const std::vector<ConfigRecord>& records);
  void MakeController(int entry);
  std::unique_ptr<AgentCore> MakeAgent(int worker);
  void Exchange(WorkerModel& model, AgentCore& agent, int target, bool reply_arrives);
  void Receive(EntryModel& entry, const WorkerModel& model, const Heartbeat& heartbeat);
  void TraceHeartbeat(const WorkerModel& model, const Heartbeat& heartbeat, int target, bool reply_arrives);
  HeartbeatReply MakeReply(const WorkerModel& model, const Heartbeat& heartbeat) const;
  void Execute(WorkerModel& model, AgentCore& agent, bool lose_answers);
  int IndexOf(const WorkerId& worker) const;

  const Options m_options;
  std::string m_trace;
  std::string m_usage_problem;
  MonotonicTime m_now;
  std::mt19937_64 m_random;
  Incarnation m_next_incarnation = 1;
  JobsState m_jobs;
  ConfigState m_config;
  Offset m_jobs_offset = kNoOffset;
  Offset m_config_offset = kNoOffset;
  std::uint64_t m_config_sequence = 0;
  std::uint64_t m_caller_sequence = 0;
  std::vector<std::unique_ptr<EntryModel>> m_entries;
  std::vector<std::unique_ptr<WorkerModel>> m_workers;
  std::deque<Message> m_messages;
};

}  // namespace berylgauge
