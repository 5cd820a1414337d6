#include "fake_worker.h"

namespace berylgauge {

bool FakeWorker::Execute(const WorkerCommand& command, MonotonicTime now) {
  if (command.kind == WorkerCommandKind::kStart) {
    if (m_runs.contains(command.key)) return true;
    ++m_starts;
    if (!m_started.insert(command.key).second) ++m_repeated_starts;
    m_runs[command.key] = {.options = command.start, .lease_end = now + command.start.lease};
    return true;
  }
  const auto it = m_runs.find(command.key);
  if (it == m_runs.end()) return false;
  Run& run = it->second;
  switch (command.kind) {
    case WorkerCommandKind::kRenew:
      if (run.state == WorkerTaskState::kRunning) run.lease_end = now + command.lease;
      return true;
    case WorkerCommandKind::kStop:
      if (run.state == WorkerTaskState::kRunning) run.state = WorkerTaskState::kStopped;
      return true;
    case WorkerCommandKind::kForget:
      if (run.state != WorkerTaskState::kRunning) m_runs.erase(it);
      return true;
    default:
      return true;
  }
}

WorkerReport FakeWorker::Report() const {
  WorkerReport report{.boot_id = m_name + "-boot-" + std::to_string(m_boots),
                      .capacity = {.cpu_millis = 4000, .memory_mb = 4000, .accelerators = 0, .slots = 4},
                      .tasks = {}};
  for (const auto& [key, run] : m_runs) {
    report.tasks.push_back({.task = key.task,
                            .attempt = key.attempt,
                            .state = run.state,
                            .declared = run.options.resources,
                            .observed = run.options.resources,
                            .checkpoint = run.state == WorkerTaskState::kStopped ? "checkpoint" : "",
                            .detail = ""});
  }
  return report;
}

}  // namespace berylgauge
