#include "scheduler_world.h"

#include <algorithm>
#include <utility>

#include "workflow/job_codec.h"
#include "workflow/record_keys.h"

namespace berylgauge::workflow {
namespace {

/// More rounds than any chain of decisions in these tests takes.
constexpr int kMaxRounds = 200;
/// As agents count it.
constexpr absl::Duration kLateCallLimit = absl::Seconds(13);

}  // namespace

SchedulerWorld::SchedulerWorld(SchedulerOptions options) : m_scheduler(std::make_unique<Scheduler>(options, m_now)) {}

PlayedWorker& SchedulerWorld::AddWorker(const std::string& name) {
  PlayedWorker& worker = m_workers[name];
  worker.agent = "agent-" + name;
  worker.life = {.worker = name, .born = m_next_born++};
  return worker;
}

void SchedulerWorld::Submit(const JobDefinition& job) { SubmitWithout({}, job); }

void SchedulerWorld::SubmitWithout(const std::string& silent, const JobDefinition& job) {
  m_jobs[job.id] = job;
  m_index.ApplySubmission(job.id, EncodeJob(job));
  m_scheduler->AddJob(job.id, *m_index.Find(job.id), m_now, unix_now_ms());
  SettleWithout(silent);
}

void SchedulerWorld::Cancel(const std::string& job) {
  m_index.ApplySubmission(CancellationKey(job), kCancellationValue);
  m_scheduler->CancelJob(job, m_now);
}

void SchedulerWorld::Settle() { SettleWithout({}); }

void SchedulerWorld::SettleWithout(const std::string& silent) {
  for (int round = 0; round < kMaxRounds && Step(silent); ++round) {
  }
}

bool SchedulerWorld::Step(const std::string& silent) {
  for (auto& [name, worker] : m_workers) {
    if (name != silent) Report(worker);
  }
  m_scheduler->Advance(m_now, unix_now_ms());
  bool changed = false;
  for (const StartOrder& order : m_scheduler->TakeRepeatedStarts()) {
    changed = true;
    m_scheduler->OnStartSent(order, m_now);
    if (order.life.worker != silent) Deliver(order);
  }
  for (const StopOrder& order : m_scheduler->TakeStops()) {
    changed = true;
    if (order.life.worker != silent) Deliver(order);
  }
  return StoreBatch(silent) || changed;
}

bool SchedulerWorld::StoreBatch(const std::string& silent) {
  const Batch* batch = m_scheduler->TakeBatch(m_now);
  if (batch == nullptr) return false;
  std::size_t bytes = 0;
  for (const auto& [key, value] : batch->records) {
    bytes += key.size() + value.size();
    m_index.ApplyProgress(key, value);
  }
  m_largest_batch_bytes = std::max(m_largest_batch_bytes, bytes);
  ++m_batches;
  for (const StartOrder& order : m_scheduler->OnBatchDurable(m_now).starts) {
    if (order.life.worker != silent) Deliver(order);
  }
  return true;
}

void SchedulerWorld::Report(PlayedWorker& worker) {
  const PoolWorker* known = m_scheduler->FindWorker(worker.agent);
  const bool is_known = known != nullptr && known->life == worker.life;
  const std::int64_t acknowledged = is_known ? m_scheduler->NotableEnds(*known, m_now) : 0;
  std::erase_if(worker.ends, [&](const RunEnd& end) { return end.number <= acknowledged; });
  WorkerReport report{.agent_incarnation = worker.agent_incarnation,
                      .life = worker.life,
                      .condition = worker.condition,
                      .service = worker.service,
                      .zone = worker.zone,
                      .labels = worker.labels,
                      .rack = worker.rack,
                      .capacity = worker.capacity,
                      .worker_clock_ms = absl::ToInt64Milliseconds(m_now.SinceBoot()) - worker.clock_zero_ms,
                      .confirmed_ms = absl::ToInt64Milliseconds(m_now - worker.confirmed_at),
                      .has_runs = true,
                      .runs = {},
                      .ends = worker.ends,
                      .has_all_ends = worker.ends.size() <= worker.most_listed_ends,
                      .past_ends = worker.past_ends,
                      .late_calls = {},
                      .calls_known_ms = worker.calls_known_ms,
                      .knows_former_calls = absl::Milliseconds(worker.calls_known_ms) >= kLateCallLimit};
  // A list that is repeated says nothing of what happened since it was read.
  if (report.worker_clock_ms > std::exchange(worker.listed_clock_ms, report.worker_clock_ms)) {
    worker.late_calls.RemoveSentUntil(m_now - kLateCallLimit);
  }
  for (const LateCall& call : worker.late_calls.CallsIf([](const LateCall&) { return true; })) {
    report.late_calls.push_back({.task = call.task,
                                 .run = call.run,
                                 .worker = call.worker,
                                 .age_ms = absl::ToInt64Milliseconds(m_now - call.sent_at)});
  }
  if (!report.has_all_ends) report.ends.resize(worker.most_listed_ends);
  for (const auto& [task, run] : worker.runs) {
    const auto percent = worker.percents.find(task);
    const auto measured = worker.measured.find(task);
    report.runs.push_back({.task = task,
                           .run = run,
                           .checkpoint = {},
                           .percent = percent == worker.percents.end() ? worker.usual_percent : percent->second,
                           .measured = measured == worker.measured.end() ? 0 : measured->second});
  }
  m_scheduler->OnReport(worker.agent, report, m_now);
}

void SchedulerWorld::Deliver(const StartOrder& order) {
  PlayedWorker& worker = m_workers.at(order.life.worker);
  ++worker.ordered_starts;
  if (!worker.answers_starts || !worker.settles_starts) {
    worker.late_calls.Add(
        {.task = order.task, .run = order.run, .agent = {}, .worker = worker.life.worker, .sent_at = m_now});
  }
  if (!worker.answers_starts) return;
  StartAnswer answer{.clock_ms = absl::ToInt64Milliseconds(m_now.SinceBoot()) - worker.clock_zero_ms,
                     .is_settled = worker.settles_starts};
  if (worker.life != order.life) {
    answer.refusal = StartRefusal::kOtherLife;
  } else if (worker.refusal != StartRefusal::kNone) {
    answer.refusal = worker.refusal;
  } else {
    ++m_starts[order.task];
    if (!PlaceOf(order.task).empty()) m_violations.push_back("runs twice: " + order.task);
    worker.runs[order.task] = order.run;
  }
  m_scheduler->OnStartAnswer(order.task, order.run, order.life, answer, m_now);
}

void SchedulerWorld::Deliver(const StopOrder& order) {
  PlayedWorker& worker = m_workers.at(order.life.worker);
  if (!worker.stops_runs) return;
  bool listed = std::any_of(worker.ends.begin(), worker.ends.end(),
                            [&](const RunEnd& end) { return end.task == order.task && end.run == order.run; });
  const auto found = worker.runs.find(order.task);
  if (worker.life == order.life && found != worker.runs.end() && found->second == order.run) {
    worker.runs.erase(found);
    worker.ends.push_back(
        {.number = ++worker.last_end, .task = order.task, .run = order.run, .kind = RunEndKind::kStopped});
    listed = true;
  }
  m_scheduler->OnStopAnswer(order.task, order.run, order.life, listed, m_now);
}

void SchedulerWorld::End(const std::string& task, RunEndKind kind, const std::string& checkpoint) {
  for (auto& [name, worker] : m_workers) {
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end()) continue;
    worker.ends.push_back(
        {.number = ++worker.last_end, .task = task, .run = found->second, .kind = kind, .checkpoint = checkpoint});
    worker.runs.erase(found);
    return;
  }
}

void SchedulerWorld::Replace(SchedulerOptions options) {
  m_scheduler = std::make_unique<Scheduler>(options, m_now);
  m_index.ForEachJob(
      [&](const std::string& id, const JobIndex::Job& job) { m_scheduler->AddJob(id, job, m_now, unix_now_ms()); });
}

void SchedulerWorld::Restart(const std::string& name) {
  PlayedWorker& worker = m_workers.at(name);
  worker.life.born = m_next_born++;
  worker.confirmed_at = m_now;
  worker.runs.clear();
  worker.ends.clear();
  worker.last_end = 0;
}

void SchedulerWorld::Rename(const std::string& name, const std::string& new_name) {
  const std::string agent = m_workers.at(name).agent;
  m_workers.erase(name);
  AddWorker(new_name).agent = agent;
}

std::string SchedulerWorld::PlaceOf(const std::string& task) const {
  for (const auto& [name, worker] : m_workers) {
    if (worker.runs.contains(task)) return name;
  }
  return {};
}

std::size_t SchedulerWorld::RunningTasks() const {
  std::size_t count = 0;
  for (const auto& [name, worker] : m_workers) count += worker.runs.size();
  return count;
}

int SchedulerWorld::StartsOf(const std::string& task) const {
  const auto found = m_starts.find(task);
  return found == m_starts.end() ? 0 : found->second;
}

std::int64_t SchedulerWorld::unix_now_ms() const { return absl::ToInt64Milliseconds(m_now.SinceBoot()); }

StepDefinition ShortStep(int tasks) {
  return {.task_count = tasks, .demand = {.cpu_millis = 240, .memory_mb = 480}, .estimate_ms = 600};
}

StepDefinition FillingStep(int tasks) {
  return {.task_count = tasks,
          .demand = {.cpu_millis = 4000, .memory_mb = 1000},
          .estimate_ms = 1000,
          .saves_progress = true,
          .fills_idle_cpu = true};
}

StepDefinition LastingStep(int tasks) {
  return {.task_count = tasks, .demand = {.cpu_millis = 3200, .memory_mb = 6400}, .long_running = true};
}

JobDefinition SingleStepJob(const std::string& id, const StepDefinition& step) {
  JobDefinition job;
  job.id = id;
  job.queue = {.name = "checks", .service = "dispatch", .max_attempts = 2};
  job.steps = {step};
  return job;
}

}  // namespace berylgauge::workflow
