#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "clients/worker_client.h"
#include "schedule/attempt_key.h"
#include "schedule/worker_command.h"

namespace berylgauge {

/// A worker in memory: tasks under leases, without threads or time of its own.
class FakeWorker {
 public:
  struct Run {
    WorkerStartOptions options;
    WorkerTaskState state = WorkerTaskState::kRunning;
    MonotonicTime lease_end;
  };

  explicit FakeWorker(std::string name) : m_name(std::move(name)) { Reboot(); }

  /// Everything ends, and the boot id changes.
  void Reboot() {
    ++m_boots;
    m_runs.clear();
  }

  /// Stops what has outlived its lease.
  void ExpireLeases(MonotonicTime now) {
    for (auto& [key, run] : m_runs) {
      if (run.state == WorkerTaskState::kRunning && now > run.lease_end) run.state = WorkerTaskState::kLeaseExpired;
    }
  }

  /// Carries a command out; returns false if the attempt is not known.
  bool Execute(const WorkerCommand& command, MonotonicTime now);

  void Finish(const AttemptKey& key, WorkerTaskState state) {
    const auto it = m_runs.find(key);
    if (it != m_runs.end() && it->second.state == WorkerTaskState::kRunning) it->second.state = state;
  }

  std::vector<AttemptKey> Running() const {
    std::vector<AttemptKey> keys;
    for (const auto& [key, run] : m_runs) {
      if (run.state == WorkerTaskState::kRunning) keys.push_back(key);
    }
    return keys;
  }

  WorkerReport Report() const;

  /// Starts so far.
  int starts() const { return m_starts; }

  /// Attempts that were started more often than once.
  int repeated_starts() const { return m_repeated_starts; }

 private:
  const std::string m_name;
  int m_boots = 0;
  int m_starts = 0;
  int m_repeated_starts = 0;
  std::map<AttemptKey, Run> m_runs;
  std::set<AttemptKey> m_started;
};

}  // namespace berylgauge
