#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "workflow/job_index.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {

/// What is broken on purpose, so that the checks can be shown to notice it.
enum class Breakage {
  kNone,
  kAcknowledgeBeforeDurable,  ///< workers forget ends whose records are not stored
  kStartBeforeDurable,        ///< starts are sent before their placement is stored
  kNoWaitForFormerOwner,      ///< a new owner takes workers that it cannot reach for empty
  kRefusalIsFinal,            ///< a start without an answer counts as refused
  kLeaseTooShort,             ///< the owner takes leases for shorter than they are
  kUnknownIsOtherLife,        ///< an agent that was started again says that it does not know the worker's life
};

/// An owner, its successors and workers with the platform's rules, under faults at random: cuts, restarts, lost owners,
/// lost batches, agents that are started again, orders that are carried out seconds late, clocks that are slow.
///
/// Each step lasts 100 ms. Everything follows from the seed.
class InterleavingWorld {
 public:
  InterleavingWorld(std::uint64_t seed, Breakage breakage);

  /// One step with a fault or an event.
  void Step();
  /// Ends all faults and runs until everything should be done.
  void Heal();

  /// What must never happen, in words; empty if nothing did.
  const std::vector<std::string>& violations() const { return m_violations; }
  int runs_done() const { return m_runs_done; }
  int takeovers() const { return m_takeovers; }
  int late_starts() const { return m_late_starts; }
  int repeated_starts() const { return m_repeated_starts; }

 private:
  struct LateStart {
    StartOrder order;
    std::int64_t epoch = 0;
    std::int64_t until_ms = 0;  ///< on the worker's clock
    MonotonicTime carried_out_at;
  };
  struct Worker {
    std::string agent;
    WorkerLife life;
    double clock_rate = 1;
    Resources capacity = {.cpu_millis = 4000, .memory_mb = 8000};
    MonotonicTime cut_until;
    MonotonicTime agent_unaware_until;  ///< the agent was started again and has not heard of the worker
    Incarnation agent_incarnation = 1;
    MonotonicTime former_owner_until;  ///< a former owner still grants leases until then
    std::int64_t highest_epoch = 0;
    std::int64_t lease_end_ms = 0;
    std::map<std::string, int> runs;
    std::map<std::string, MonotonicTime> begun;
    std::map<std::string, int> settled;  ///< highest run that was stopped or ended here
    std::vector<RunEnd> ends;
    std::int64_t last_end = 0;
    std::int64_t void_ends =
        0;  ///< ends up to this number were not noted before the lease lapsed, so they do not count
  };
  /// A start whose agent has no answer and gives up after a while.
  struct UnansweredStart {
    StartOrder order;
    MonotonicTime given_up_at;
    bool is_repeated = false;  ///< the agent was started again, so the owner sends the order anew
  };

  void Tick();
  void RandomEvent();
  void SubmitJob();
  void CancelJob();
  void EndRun(RunEndKind kind);
  void ReplaceOwner();
  void RestartWorker();
  void RestartAgent();
  void CutWorker();

  void Report(Worker& worker);
  /// The worker forgets its ends up to that number.
  void Acknowledge(Worker& worker, std::int64_t number);
  void Lapse(Worker& worker);
  void CarryOutLateStarts();
  void GiveUpStarts();
  void RepeatStart(const UnansweredStart& start);
  void DeliverStops();
  void StoreBatch();
  void Send(const StartOrder& order);
  /// What the worker does with a start; says whether the task runs.
  bool Begin(Worker& worker, const StartOrder& order, std::int64_t epoch, std::int64_t until_ms);
  void ListEnd(Worker& worker, const std::string& task, RunEndKind kind);

  bool IsConnected(const Worker& worker) const { return m_now >= worker.cut_until; }
  bool IsReporting(const Worker& worker) const { return IsConnected(worker) && m_now >= worker.agent_unaware_until; }
  std::int64_t ClockOf(const Worker& worker) const;
  Worker* Find(const WorkerLife& life);
  Worker& AnyWorker();
  int Random(int below) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(below)); }
  SchedulerOptions Options() const;

  std::mt19937_64 m_random;
  const Breakage m_breakage;
  MonotonicTime m_now{absl::Hours(1)};
  JobIndex m_index;
  std::unique_ptr<Scheduler> m_scheduler;
  std::int64_t m_epoch = 1;
  std::vector<Worker> m_workers;
  std::vector<LateStart> m_late;
  std::vector<UnansweredStart> m_unanswered;
  std::vector<StopOrder> m_stops;
  std::set<std::string> m_jobs;
  std::set<std::string> m_cancelled;
  std::set<std::string> m_done_tasks;   ///< ended as done at a worker
  std::set<std::string> m_noted_tasks;  ///< of these, those whose end was acknowledged
  std::int64_t m_next_born = 1'700'000'000'000;
  int m_lost_answers = 0;  ///< so many of the next starts have no answer
  bool m_lose_batch = false;
  bool m_healed = false;
  int m_runs_done = 0;
  int m_takeovers = 0;
  int m_late_starts = 0;
  int m_repeated_starts = 0;
  std::vector<std::string> m_violations;
};

}  // namespace berylgauge::workflow
