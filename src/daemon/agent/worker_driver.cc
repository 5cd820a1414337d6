#include "daemon/agent/worker_driver.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "clients/worker_client.h"
#include "daemon/agent/agent_core.h"

namespace berylgauge {

WorkerDriver::WorkerDriver(AgentCore& core, WorkerClient& worker, const Clock& clock, WorkerDriverOptions options)
    : m_core(core), m_worker(worker), m_clock(clock), m_options(options), m_pool(options.threads) {
  m_reports = std::make_unique<PeriodicThread>(options.report_interval, [this] { ReadReport(); });
  m_commands = std::make_unique<PeriodicThread>(absl::Milliseconds(100), [this] { PostCommands(); });
}

WorkerDriver::~WorkerDriver() {
  m_reports.reset();
  m_commands.reset();
}

void WorkerDriver::Wake() { m_commands->Wake(); }

void WorkerDriver::ReadReport() {
  const MonotonicTime requested_at = m_clock.Now();
  const Result<WorkerReport> report = m_worker.Report(m_options.call_timeout);
  if (!report) {
    if (!m_failure_reported) LogEvent(LogLevel::kWarning, "worker_report_failed", {{"reason", report.error().message}});
    m_failure_reported = true;
    return;
  }
  m_failure_reported = false;
  m_core.Reconcile(*report, requested_at, m_clock.Now());
}

void WorkerDriver::PostCommands() {
  const Incarnation incarnation = m_core.incarnation();
  for (const WorkerCommand& command : m_core.TakeCommands(m_clock.Now())) {
    m_pool.Post([this, incarnation, command] { Execute(incarnation, command); });
  }
}

void WorkerDriver::Execute(Incarnation incarnation, const WorkerCommand& command) {
  const Result<void> result = Call(command);
  if (command.kind == WorkerCommandKind::kStart || command.kind == WorkerCommandKind::kStop) {
    LogEvent(LogLevel::kInfo, "worker_command",
             {{"kind", kWorkerCommandKindNames.NameOf(command.kind)},
              {"task", command.key.task.value()},
              {"attempt", command.key.attempt},
              {"result", result ? std::string("ok") : result.error().message}});
  }
  m_core.HandleResult(incarnation, command, result, m_clock.Now());
  m_commands->Wake();
}

Result<void> WorkerDriver::Call(const WorkerCommand& command) {
  const AttemptKey& key = command.key;
  switch (command.kind) {
    case WorkerCommandKind::kStart:
      if (m_clock.Now() > command.start_by) return NotRun(FailureCode::kDeadlineExceeded, "proof is too old");
      return m_worker.Start(command.start, m_options.call_timeout);
    case WorkerCommandKind::kRenew:
      return m_worker.Renew(key.task, key.attempt, command.lease, m_options.call_timeout);
    case WorkerCommandKind::kStop:
      return m_worker.Stop(key.task, key.attempt, command.with_checkpoint, m_options.call_timeout);
    case WorkerCommandKind::kThrottle:
      return m_worker.Throttle(key.task, key.attempt, command.percent, m_options.call_timeout);
    case WorkerCommandKind::kForget:
      return m_worker.Forget(key.task, key.attempt, m_options.call_timeout);
  }
  return NotRun(FailureCode::kInternal, "unknown worker command");
}

}  // namespace berylgauge
