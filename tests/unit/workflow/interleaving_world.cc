#include "interleaving_world.h"

#include <algorithm>
#include <utility>

#include "workflow/job_codec.h"
#include "workflow/record_keys.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr int kWorkers = 3;
constexpr int kFirstStepTasks = 2;
constexpr std::int64_t kTaskCpuMillis = 1000;
/// Length of a lease at the workers, as the owner's options say unless they are broken.
constexpr std::int64_t kLeaseMs = 4500;
/// A former owner that is cut off from the store grants leases for less than this.
constexpr absl::Duration kFormerOwnerGrants = absl::Milliseconds(4400);
/// After this an agent gives a start without an answer up.
constexpr absl::Duration kStartLimit = absl::Milliseconds(1500);
/// An owner sends orders again that had no answer.
constexpr absl::Duration kOrderPause = absl::Milliseconds(200);
/// Longest time until a worker announces itself to an agent that was started again, in steps.
constexpr int kAnnouncementSteps = 15;

JobDefinition TwoStepJob(const std::string& id) {
  JobDefinition job;
  job.id = id;
  job.queue = {.name = "q", .service = "s", .max_attempts = 1000};
  StepDefinition first{.task_count = kFirstStepTasks, .demand = {.cpu_millis = kTaskCpuMillis, .memory_mb = 100}};
  StepDefinition second = first;
  second.task_count = 1;
  second.after = {0};
  job.steps = {first, second};
  return job;
}

}  // namespace

InterleavingWorld::InterleavingWorld(std::uint64_t seed, Breakage breakage) : m_random(seed), m_breakage(breakage) {
  for (int i = 0; i < kWorkers; ++i) {
    Worker worker;
    worker.agent = "agent-" + std::to_string(i);
    worker.life = {.worker = "w" + std::to_string(i), .born = m_next_born++};
    worker.clock_rate = i == 0 ? 0.98 : 1;
    m_workers.push_back(std::move(worker));
  }
  m_scheduler = std::make_unique<Scheduler>(Options(), m_now);
}

SchedulerOptions InterleavingWorld::Options() const {
  SchedulerOptions options;
  if (m_breakage == Breakage::kNoWaitForFormerOwner) {
    options.former_owner_grants = -options.lease * options.clock_tolerance;
  }
  if (m_breakage == Breakage::kLeaseTooShort) options.lease = absl::Seconds(1);
  return options;
}

void InterleavingWorld::Step() {
  RandomEvent();
  Tick();
}

void InterleavingWorld::Heal() {
  m_healed = true;
  m_lost_answers = 0;
  m_lose_batch = false;
  for (int i = 0; i < 400; ++i) {
    // Everything that runs for half a second is done.
    for (Worker& worker : m_workers) {
      for (const auto& [task, begun] : std::map<std::string, MonotonicTime>(worker.begun)) {
        if (m_now - begun >= absl::Milliseconds(500)) ListEnd(worker, task, RunEndKind::kDone);
      }
    }
    Tick();
  }
  for (const std::string& job : m_jobs) {
    const std::optional<JobPhase> phase = m_index.PhaseOf(job);
    const JobPhase wanted = m_cancelled.contains(job) ? JobPhase::kCancelled : JobPhase::kDone;
    // A job that was done before its cancellation keeps its end.
    if (phase == wanted || phase == JobPhase::kDone) continue;
    m_violations.push_back("not finished: " + job);
  }
}

void InterleavingWorld::Tick() {
  m_now = m_now + kTick;
  for (Worker& worker : m_workers) {
    if (m_now < worker.former_owner_until) worker.lease_end_ms = ClockOf(worker) + kLeaseMs;
    Lapse(worker);
  }
  CarryOutLateStarts();
  GiveUpStarts();
  for (Worker& worker : m_workers) {
    if (IsReporting(worker)) Report(worker);
  }
  m_scheduler->Advance(m_now, absl::ToInt64Milliseconds(m_now.SinceBoot()));
  for (StopOrder& order : m_scheduler->TakeStops()) m_stops.push_back(std::move(order));
  DeliverStops();
  StoreBatch();
}

void InterleavingWorld::RandomEvent() {
  const int event = Random(100);
  if (event < 8) {
    SubmitJob();
  } else if (event < 34) {
    EndRun(RunEndKind::kDone);
  } else if (event < 40) {
    EndRun(RunEndKind::kFailed);
  } else if (event < 42) {
    CancelJob();
  } else if (event < 45) {
    ReplaceOwner();
  } else if (event < 49) {
    CutWorker();
  } else if (event < 51) {
    RestartWorker();
  } else if (event < 60) {
    m_lost_answers += 1 + Random(3);
  } else if (event < 62) {
    m_lose_batch = true;
  } else if (event < 66) {
    RestartAgent();
  }
}

// ---- Events

void InterleavingWorld::SubmitJob() {
  const std::string id = "j" + std::to_string(m_jobs.size());
  m_jobs.insert(id);
  m_index.ApplySubmission(id, EncodeJob(TwoStepJob(id)));
  m_scheduler->AddJob(id, *m_index.Find(id), m_now, absl::ToInt64Milliseconds(m_now.SinceBoot()));
}

void InterleavingWorld::CancelJob() {
  if (m_jobs.empty()) return;
  const std::string id = *std::next(m_jobs.begin(), Random(static_cast<int>(m_jobs.size())));
  m_cancelled.insert(id);
  m_index.ApplySubmission(CancellationKey(id), kCancellationValue);
  m_scheduler->CancelJob(id, m_now);
}

void InterleavingWorld::EndRun(RunEndKind kind) {
  Worker& worker = AnyWorker();
  if (worker.runs.empty()) return;
  const auto run = std::next(worker.runs.begin(), Random(static_cast<int>(worker.runs.size())));
  ListEnd(worker, std::string(run->first), kind);
}

void InterleavingWorld::ReplaceOwner() {
  ++m_takeovers;
  ++m_epoch;
  m_stops.clear();
  m_unanswered.clear();
  m_scheduler = std::make_unique<Scheduler>(Options(), m_now);
  const std::int64_t unix_now_ms = absl::ToInt64Milliseconds(m_now.SinceBoot());
  m_index.ForEachJob(
      [&](const std::string& id, const JobIndex::Job& job) { m_scheduler->AddJob(id, job, m_now, unix_now_ms); });
  for (Worker& worker : m_workers) {
    if (Random(3) > 0) continue;
    // Only the former owner reaches it; it does not know of its successor.
    worker.former_owner_until = m_now + kFormerOwnerGrants;
    worker.cut_until = std::max(worker.cut_until, m_now + absl::Seconds(5 + Random(8)));
  }
}

void InterleavingWorld::RestartWorker() {
  Worker& worker = AnyWorker();
  worker.life.born = m_next_born++;
  worker.runs.clear();
  worker.begun.clear();
  worker.settled.clear();
  worker.ends.clear();
  worker.last_end = 0;
  worker.void_ends = 0;
  worker.lease_end_ms = 0;
  worker.highest_epoch = 0;
}

void InterleavingWorld::RestartAgent() {
  Worker& worker = AnyWorker();
  ++worker.agent_incarnation;
  worker.agent_unaware_until = m_now + (1 + Random(kAnnouncementSteps)) * kTick;
  for (UnansweredStart& start : m_unanswered) {
    if (start.order.life != worker.life) continue;
    start.is_repeated = true;
    start.given_up_at = m_now + kOrderPause;
  }
}

void InterleavingWorld::CutWorker() { AnyWorker().cut_until = m_now + absl::Milliseconds(500 + 100 * Random(80)); }

// ---- Workers

void InterleavingWorld::Report(Worker& worker) {
  worker.highest_epoch = m_epoch;
  const PoolWorker* known = m_scheduler->FindWorker(worker.agent);
  if (known != nullptr && known->life == worker.life) Acknowledge(worker, known->ends_durable);
  WorkerReport report;
  report.agent_incarnation = worker.agent_incarnation;
  report.life = worker.life;
  report.service = "s";
  report.zone = "z";
  report.capacity = worker.capacity;
  report.worker_clock_ms = ClockOf(worker);
  report.has_runs = true;
  for (const auto& [task, run] : worker.runs) report.runs.push_back({.task = task, .run = run, .checkpoint = {}});
  report.ends = worker.ends;
  m_scheduler->OnReport(worker.agent, report, m_now);
  worker.lease_end_ms = std::max(worker.lease_end_ms, report.worker_clock_ms + kLeaseMs);
  if (m_breakage != Breakage::kAcknowledgeBeforeDurable) return;
  Acknowledge(worker, m_scheduler->FindWorker(worker.agent)->ends_applied);
}

void InterleavingWorld::Acknowledge(Worker& worker, std::int64_t number) {
  std::erase_if(worker.ends, [&](const RunEnd& end) {
    if (end.number > number) return false;
    if (end.kind == RunEndKind::kDone && end.number > worker.void_ends) m_noted_tasks.insert(end.task);
    return true;
  });
}

void InterleavingWorld::Lapse(Worker& worker) {
  if (ClockOf(worker) <= worker.lease_end_ms) return;
  for (const auto& [task, run] : std::map<std::string, int>(worker.runs)) ListEnd(worker, task, RunEndKind::kLapsed);
  worker.void_ends = worker.last_end;
}

void InterleavingWorld::ListEnd(Worker& worker, const std::string& task, RunEndKind kind) {
  const int run = worker.runs.at(task);
  worker.runs.erase(task);
  worker.begun.erase(task);
  worker.settled[task] = run;
  worker.ends.push_back({.number = ++worker.last_end, .task = task, .run = run, .kind = kind});
  if (kind != RunEndKind::kDone) return;
  m_done_tasks.insert(task);
  ++m_runs_done;
}

bool InterleavingWorld::Begin(Worker& worker, const StartOrder& order, std::int64_t epoch, std::int64_t until_ms) {
  if (worker.life != order.life || epoch < worker.highest_epoch || ClockOf(worker) > until_ms) return false;
  worker.highest_epoch = epoch;
  const auto present = worker.runs.find(order.task);
  if (present != worker.runs.end()) return present->second == order.run;
  const auto settled = worker.settled.find(order.task);
  if (settled != worker.settled.end() && order.run <= settled->second) return false;
  for (const Worker& other : m_workers) {
    if (other.runs.contains(order.task)) m_violations.push_back("runs twice: " + order.task);
  }
  if (m_noted_tasks.contains(order.task)) m_violations.push_back("runs after its end was noted: " + order.task);
  const std::string job = order.task.substr(0, order.task.find('.'));
  const bool is_second_step = order.task.find(".0.1.") != std::string::npos;
  for (int i = 0; is_second_step && i < kFirstStepTasks; ++i) {
    if (!m_done_tasks.contains(job + ".0.0." + std::to_string(i))) m_violations.push_back("too early: " + order.task);
  }
  worker.runs[order.task] = order.run;
  worker.begun[order.task] = m_now;
  worker.lease_end_ms = std::max(worker.lease_end_ms, until_ms);
  if (static_cast<std::int64_t>(worker.runs.size()) * kTaskCpuMillis > worker.capacity.cpu_millis) {
    m_violations.push_back("over capacity: " + worker.agent);
  }
  return true;
}

void InterleavingWorld::CarryOutLateStarts() {
  std::vector<LateStart> due;
  std::erase_if(m_late, [&](const LateStart& late) {
    if (late.carried_out_at > m_now) return false;
    due.push_back(late);
    return true;
  });
  for (const LateStart& late : due) {
    Worker* worker = Find(late.order.life);
    if (worker != nullptr && Begin(*worker, late.order, late.epoch, late.until_ms)) ++m_late_starts;
  }
}

// ---- The owner's messages

void InterleavingWorld::GiveUpStarts() {
  std::vector<UnansweredStart> given_up;
  std::erase_if(m_unanswered, [&](const UnansweredStart& start) {
    if (start.given_up_at > m_now) return false;
    given_up.push_back(start);
    return true;
  });
  const StartRefusal refusal =
      m_breakage == Breakage::kRefusalIsFinal ? StartRefusal::kUnhealthy : StartRefusal::kEnded;
  for (const UnansweredStart& start : given_up) {
    if (start.is_repeated) {
      RepeatStart(start);
      continue;
    }
    const StartOrder& order = start.order;
    m_scheduler->OnStartAnswer(order.task, order.run, order.life, {.refusal = refusal}, m_now);
  }
}

void InterleavingWorld::RepeatStart(const UnansweredStart& start) {
  const StartOrder& order = start.order;
  if (!m_scheduler->IsStarting(order)) return;
  Worker* worker = Find(order.life);
  const bool is_unaware = worker != nullptr && !IsReporting(*worker);
  if (is_unaware && m_breakage != Breakage::kUnknownIsOtherLife) {
    if (IsConnected(*worker)) m_scheduler->OnWorkerUnknown(order.life);
    m_unanswered.push_back({.order = order, .given_up_at = m_now + kOrderPause, .is_repeated = true});
    return;
  }
  ++m_repeated_starts;
  if (worker == nullptr || is_unaware) {
    m_scheduler->OnStartAnswer(order.task, order.run, order.life, {.refusal = StartRefusal::kOtherLife}, m_now);
    return;
  }
  const PoolWorker* known = m_scheduler->FindWorker(worker->agent);
  StartAnswer answer{.clock_ms = ClockOf(*worker)};
  const std::int64_t until_ms = known == nullptr ? 0 : m_scheduler->LeaseEndFor(*known);
  if (!Begin(*worker, order, m_epoch, until_ms)) answer.refusal = StartRefusal::kEnded;
  m_scheduler->OnStartAnswer(order.task, order.run, order.life, answer, m_now);
}

void InterleavingWorld::DeliverStops() {
  std::vector<StopOrder> later;
  for (const StopOrder& order : std::exchange(m_stops, {})) {
    Worker* worker = Find(order.life);
    if (worker != nullptr && (!IsReporting(*worker) || (!m_healed && Random(4) == 0))) {
      later.push_back(order);
      continue;
    }
    bool listed = false;
    if (worker != nullptr) {
      const auto running = worker->runs.find(order.task);
      if (running != worker->runs.end() && running->second == order.run) {
        ListEnd(*worker, order.task, RunEndKind::kStopped);
      }
      int& settled = worker->settled[order.task];
      settled = std::max(settled, order.run);
      listed = std::any_of(worker->ends.begin(), worker->ends.end(),
                           [&](const RunEnd& end) { return end.task == order.task && end.run == order.run; });
    }
    m_scheduler->OnStopAnswer(order.task, order.run, order.life, listed, m_now);
  }
  for (StopOrder& order : later) m_stops.push_back(std::move(order));
}

void InterleavingWorld::StoreBatch() {
  const Batch* batch = m_scheduler->TakeBatch(m_now);
  if (batch == nullptr) return;
  if (m_breakage == Breakage::kStartBeforeDurable) {
    for (const StartOrder& order : std::vector<StartOrder>(batch->starts)) Send(order);
  }
  const bool is_lost = std::exchange(m_lose_batch, false);
  // A batch whose owner is lost may be stored all the same.
  if (!is_lost || Random(2) == 0) {
    for (const auto& [key, value] : batch->records) m_index.ApplyProgress(key, value);
  }
  if (is_lost) {
    ReplaceOwner();
    return;
  }
  const Batch stored = m_scheduler->OnBatchDurable(m_now);
  if (m_breakage == Breakage::kStartBeforeDurable) return;
  for (const StartOrder& order : stored.starts) Send(order);
}

void InterleavingWorld::Send(const StartOrder& order) {
  Worker* worker = Find(order.life);
  if (worker == nullptr) {
    m_scheduler->OnStartAnswer(order.task, order.run, order.life, {.refusal = StartRefusal::kOtherLife}, m_now);
    return;
  }
  const PoolWorker* known = m_scheduler->FindWorker(worker->agent);
  const std::int64_t until_ms = known == nullptr ? 0 : m_scheduler->LeaseEndFor(*known);
  if (IsConnected(*worker) && !IsReporting(*worker)) {
    // The first message with this start, so the owner knows that it had no effect.
    m_scheduler->OnWorkerUnknown(order.life);
    m_scheduler->OnStartAnswer(order.task, order.run, order.life, {.refusal = StartRefusal::kLate}, m_now);
    return;
  }
  if (!IsConnected(*worker) || m_lost_answers > 0) {
    m_lost_answers = std::max(0, m_lost_answers - 1);
    m_unanswered.push_back({.order = order, .given_up_at = m_now + kStartLimit});
    const absl::Duration delay = absl::Milliseconds(100 * Random(60));
    m_late.push_back({.order = order, .epoch = m_epoch, .until_ms = until_ms, .carried_out_at = m_now + delay});
    return;
  }
  StartAnswer answer{.clock_ms = ClockOf(*worker)};
  if (!Begin(*worker, order, m_epoch, until_ms)) answer.refusal = StartRefusal::kEnded;
  m_scheduler->OnStartAnswer(order.task, order.run, order.life, answer, m_now);
}

std::int64_t InterleavingWorld::ClockOf(const Worker& worker) const {
  return static_cast<std::int64_t>(worker.clock_rate *
                                   static_cast<double>(absl::ToInt64Milliseconds(m_now.SinceBoot())));
}

InterleavingWorld::Worker* InterleavingWorld::Find(const WorkerLife& life) {
  for (Worker& worker : m_workers) {
    if (worker.life == life) return &worker;
  }
  return nullptr;
}

InterleavingWorld::Worker& InterleavingWorld::AnyWorker() {
  return m_workers[static_cast<std::size_t>(Random(kWorkers))];
}

}  // namespace berylgauge::workflow
