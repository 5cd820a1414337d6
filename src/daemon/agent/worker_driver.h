#pragma once

#include <absl/time/time.h>

#include <memory>

#include "daemon/common/periodic_thread.h"
#include "daemon/common/thread_pool.h"
#include "schedule/worker_command.h"

namespace berylgauge {

class AgentCore;
class Clock;
class WorkerClient;

struct WorkerDriverOptions {
  absl::Duration report_interval = absl::Milliseconds(250);
  /// Not above `AttemptTableOptions::predecessor_settle`.
  absl::Duration call_timeout = absl::Seconds(2);
  std::size_t threads = 4;
};

/// Carries out the agent's commands at the worker and reads the worker's reports.
class WorkerDriver {
 public:
  WorkerDriver(AgentCore& core, WorkerClient& worker, const Clock& clock, WorkerDriverOptions options);
  ~WorkerDriver();

  /// Carries out new commands without waiting for the next interval.
  void Wake();

 private:
  void ReadReport();
  void PostCommands();
  void Execute(Incarnation incarnation, const WorkerCommand& command);
  Result<void> Call(const WorkerCommand& command);

  AgentCore& m_core;
  WorkerClient& m_worker;
  const Clock& m_clock;
  const WorkerDriverOptions m_options;
  bool m_failure_reported = false;
  ThreadPool m_pool;
  std::unique_ptr<PeriodicThread> m_reports;
  std::unique_ptr<PeriodicThread> m_commands;
};

}  // namespace berylgauge
