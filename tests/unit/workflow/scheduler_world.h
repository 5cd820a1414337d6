#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workflow/job_definition.h"
#include "workflow/job_index.h"
#include "workflow/late_calls.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {

/// A worker that the test plays.
struct PlayedWorker {
  std::string agent;
  WorkerLife life;
  Incarnation agent_incarnation = 1;
  WorkerCondition condition = WorkerCondition::kReady;
  std::string service = "dispatch";
  std::string zone = "galway-yard";
  std::vector<std::string> labels = {"a", "r1-1"};
  std::string rack = "r1-1";
  Resources capacity = {.cpu_millis = 16000, .memory_mb = 64000};
  std::map<std::string, int> runs;      ///< run by task
  std::map<std::string, int> percents;  ///< of their work, by task; the usual one if absent
  int usual_percent = 0;
  std::vector<RunEnd> ends;
  std::int64_t last_end = 0;
  std::size_t most_listed_ends = 500;
  std::int64_t clock_zero_ms = 0;  ///< reading of the test's clock when the worker's clock began
  std::vector<PastEnds> past_ends;
  LateCalls late_calls;                        ///< that the agent knows
  std::int64_t listed_clock_ms = 0;            ///< worker's clock in the newest report
  std::int64_t calls_known_ms = 3'600'000;     ///< age of the agent's process
  MonotonicTime confirmed_at;                  ///< when the life first answered a call with a token of its own
  bool settles_starts = true;                  ///< otherwise a call of each start has no answer, and another one has
  bool answers_starts = true;                  ///< otherwise starts have no answer and no effect
  StartRefusal refusal = StartRefusal::kNone;  ///< answer to starts
  bool stops_runs = true;                      ///< otherwise stops have no answer and no effect
  int ordered_starts = 0;
  std::map<std::string, std::int64_t> measured;  ///< as in `ActiveRun`, by task; 0 if absent
};

/// A scheduler with workers that exist in the test only. Batches are stored at once; their records outlive the
/// scheduler, so that a successor can take over.
class SchedulerWorld {
 public:
  explicit SchedulerWorld(SchedulerOptions options = {});

  PlayedWorker& AddWorker(const std::string& name);
  PlayedWorker& worker(const std::string& name) { return m_workers.at(name); }

  /// Submits the job and runs until nothing changes.
  void Submit(const JobDefinition& job);
  /// The same without a report of the named worker.
  void SubmitWithout(const std::string& silent, const JobDefinition& job);
  void Cancel(const std::string& job);
  /// Removes the record of the submission from the store.
  void RemoveSubmission(const std::string& job) { m_index.ApplySubmission(job, {}); }
  /// Reports of all workers, decisions, records, starts and stops, until nothing changes.
  void Settle();
  /// The same without a report of the named worker.
  void SettleWithout(const std::string& silent);
  /// The worker's agent reports.
  void Report(const std::string& name) { Report(m_workers.at(name)); }
  /// Stores what is to be stored, and sends what depends on it. Returns whether there was anything.
  bool StoreBatch(const std::string& silent = {});
  void Sleep(absl::Duration duration) { m_now = m_now + duration; }

  /// Ends a run at its worker.
  void End(const std::string& task, RunEndKind kind, const std::string& checkpoint = {});
  /// Another owner takes over with what is recorded. What the former one had not stored is lost.
  void Replace(SchedulerOptions options = {});
  /// The worker starts anew with nothing.
  void Restart(const std::string& name);
  /// The worker of the host is replaced by one with another id.
  void Rename(const std::string& name, const std::string& new_name);

  Scheduler& scheduler() { return *m_scheduler; }
  const JobIndex& index() const { return m_index; }
  std::optional<JobPhase> PhaseOf(const std::string& job) const { return m_index.PhaseOf(job); }
  /// Worker on which the task runs; empty if it runs nowhere.
  std::string PlaceOf(const std::string& task) const;
  std::size_t RunningTasks() const;
  /// Starts that were sent, by task.
  int StartsOf(const std::string& task) const;
  /// Size of the records of the largest batch so far, and the number of batches.
  std::size_t largest_batch_bytes() const { return m_largest_batch_bytes; }
  int batches() const { return m_batches; }
  MonotonicTime now() const { return m_now; }
  std::int64_t unix_now_ms() const;

  /// Tasks that ran at two workers at the same time, or starts beyond a worker's capacity; each is a fault.
  const std::vector<std::string>& violations() const { return m_violations; }

 private:
  bool Step(const std::string& silent);
  void Report(PlayedWorker& worker);
  void Deliver(const StartOrder& order);
  void Deliver(const StopOrder& order);

  MonotonicTime m_now{absl::Hours(1)};
  JobIndex m_index;
  std::map<std::string, JobDefinition> m_jobs;
  std::map<std::string, PlayedWorker> m_workers;
  std::unique_ptr<Scheduler> m_scheduler;
  std::map<std::string, int> m_starts;
  std::vector<std::string> m_violations;
  std::size_t m_largest_batch_bytes = 0;
  int m_batches = 0;
  std::int64_t m_next_born = 1'700'000'000'000;
};

/// Tasks that run for a moment, that fill idle processors, and that last.
StepDefinition ShortStep(int tasks);
StepDefinition FillingStep(int tasks);
StepDefinition LastingStep(int tasks);

/// A job of one step.
JobDefinition SingleStepJob(const std::string& id, const StepDefinition& step);

}  // namespace berylgauge::workflow
