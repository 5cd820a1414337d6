#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "state/batch_deduplicator.h"
#include "state/fold_outcome.h"
#include "state/job.h"
#include "state/jobs_records.h"
#include "state/task_event.h"

namespace berylgauge {

struct Batch;

/// Fold of one `jobs-K` stream: the jobs of a share and its owner.
///
/// Depends on the records and their order alone, never on a clock, so that every reader holds the same state at the
/// same offset.
class JobsState {
 public:
  /// Folds the batch at `offset` and returns the outcome of each of its records.
  std::vector<FoldOutcome> Apply(const Batch& batch, Offset offset);

  Offset offset() const { return m_offset; }
  ShareEpoch epoch() const { return m_epoch; }
  const EntryId& owner() const { return m_owner; }
  Incarnation owner_incarnation() const { return m_owner_incarnation; }
  bool released() const { return m_released; }
  const std::map<JobId, Job>& jobs() const { return m_jobs; }

  /// Tasks in state `kWaiting`, kept as an index so that the owner need not scan all jobs.
  const std::set<TaskId>& waiting() const { return m_waiting; }

  /// Tasks with an attempt that may run.
  const std::set<TaskId>& live() const { return m_live; }

  /// The newest accepted changes of tasks, oldest first. Not part of a snapshot: a reader that started from one sees
  /// only what was folded since.
  const std::deque<TaskEvent>& recent_events() const { return m_recent_events; }

  /// Newest offset of which events may be missing in `recent_events`; a reader that has not looked since has to read
  /// the whole state again.
  Offset events_lost_until() const { return m_events_lost_until; }

  /// Returns nothing for an unknown job or task.
  const Job* FindJob(const JobId& job) const;
  const Task* FindTask(const TaskId& task) const;
  const Job* FindJobOf(const TaskId& task) const;

  /// True if the attempt is known to have ended, so that its agent may forget it. False for an unknown task, which may
  /// be one that was not read yet.
  bool IsEndRecorded(const TaskId& task, AttemptNumber attempt) const;

  nlohmann::json ToJson() const;

  /// Replaces the state by that of a snapshot; fails with `FailureCode::kCorrupt`.
  Result<void> Restore(const nlohmann::json& document);

 private:
  FoldOutcome ApplyRecord(const JobsRecord& record, Offset offset);
  FoldOutcome Fold(const JobSubmitted& record, Offset offset);
  FoldOutcome Fold(const JobCancelled& record, Offset offset);
  FoldOutcome Fold(const ShareClaimed& record, Offset offset);
  FoldOutcome Fold(const ShareReleased& record, Offset offset);
  FoldOutcome Fold(const TaskPlaced& record, Offset offset);
  FoldOutcome Fold(const TaskStarted& record, Offset offset);
  FoldOutcome Fold(const TaskEnded& record, Offset offset);
  FoldOutcome Fold(const TaskParked& record, Offset offset);

  Task* MutableTask(const TaskId& task, Job** job);
  void SetState(const TaskId& id, Task& task, TaskState state);
  void NoteIfFinal(const TaskId& task, const Job& job);
  void NoteEvent(TaskEvent event);

  Offset m_offset = kNoOffset;
  ShareEpoch m_epoch = 0;
  EntryId m_owner;
  Incarnation m_owner_incarnation = 0;
  bool m_released = false;
  BatchDeduplicator m_writers;
  std::map<JobId, Job> m_jobs;
  std::set<TaskId> m_waiting;
  std::set<TaskId> m_live;
  std::deque<TaskEvent> m_recent_events;
  Offset m_events_lost_until = kNoOffset;
  std::deque<JobId> m_final_jobs;  ///< in order of their end; the oldest are forgotten
};

}  // namespace berylgauge
