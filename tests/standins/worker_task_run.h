#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "base/json_object_reader.h"
#include "clients/worker_client.h"

namespace berylgauge {

/// How a task behaves, from the JSON object in its command.
struct TaskBehaviour {
  std::int64_t run_ms = 0;               ///< 0 means that it runs until it is stopped
  bool fail = false;                     ///< outcome at the end of the run time
  std::int64_t checkpoint_ms = 0;        ///< time that a checkpoint takes before a stop
  std::int64_t checkpoint_every_ms = 0;  ///< progress between periodic checkpoints; 0 means none
  std::int64_t use_cpu_millis = 0;       ///< actual use, by default the declared amount
  std::int64_t use_memory_mb = 0;
};

/// One attempt on the stand-in worker. All times are milliseconds on the worker's monotonic clock.
class WorkerTaskRun {
 public:
  WorkerTaskRun(const WorkerStartOptions& options, const TaskBehaviour& behaviour, std::int64_t progress_ms,
                std::int64_t now_ms);

  bool IsRunning() const { return m_state == WorkerTaskState::kRunning; }
  const TaskId& task() const { return m_options.task; }
  AttemptNumber attempt() const { return m_options.attempt; }
  WorkerTaskState state() const { return m_state; }
  const Resources& declared() const { return m_options.resources; }
  const std::string& checkpoint() const { return m_checkpoint; }
  const std::string& detail() const { return m_detail; }

  void Renew(std::int64_t lease_ms, std::int64_t now_ms) { m_lease_end_ms = now_ms + lease_ms; }
  void Stop(bool with_checkpoint, std::int64_t now_ms);
  void Throttle(int percent, std::int64_t now_ms);
  void Fail(std::string detail, std::int64_t now_ms);

  /// Updates progress, and ends the run if its lease, its run time or its stop is due.
  void Advance(std::int64_t now_ms);

  /// Time of the next change; INT64_MAX if there is none.
  std::int64_t NextChangeMs() const;

  /// Use of resources as it was at `time_ms`.
  Resources UseAt(std::int64_t time_ms) const;

  /// Progress that a checkpoint id stands for, or nothing if it is not an id of this kind.
  static std::optional<std::int64_t> ProgressOf(const std::string& checkpoint);

 private:
  std::int64_t RunEndMs() const;
  std::string CheckpointAt(std::int64_t progress_ms) const;
  void UpdateProgress(std::int64_t now_ms);
  void NoteUse(std::int64_t now_ms);
  void End(WorkerTaskState state, std::string detail, std::int64_t now_ms);

  const WorkerStartOptions m_options;
  const TaskBehaviour m_behaviour;
  WorkerTaskState m_state = WorkerTaskState::kRunning;
  std::string m_checkpoint;
  std::string m_detail;
  double m_progress_ms;
  std::int64_t m_updated_ms;
  std::int64_t m_lease_end_ms;
  std::int64_t m_stop_end_ms;
  bool m_stop_with_checkpoint = false;
  int m_percent = 100;
  std::deque<std::pair<std::int64_t, Resources>> m_use;  ///< changes of the use, oldest first
};

}  // namespace berylgauge
