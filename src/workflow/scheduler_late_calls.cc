#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {

void Scheduler::ExpectCall(TaskRef task, const StartOrder& order, MonotonicTime now) {
  TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
  runtime.ordered_at = now;
  runtime.is_order_answered = false;
  m_late_calls.Add({.task = order.task,
                    .run = order.run,
                    .agent = order.agent,
                    .worker = order.life.worker,
                    .sent_at = now,
                    .first_sent_at = now,
                    .demand = HeldDemand(*task.step->definition)});
}

bool Scheduler::RepeatStart(TaskRef task) {
  TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
  StartOrder order = MakeStartOrder(task);
  if (runtime.stage != RunStage::kStarting || runtime.start_repeats >= m_options.most_start_repeats) return false;
  if (!MaySend(order)) return false;
  ++runtime.start_repeats;
  order.was_sent = true;
  m_repeated_starts.push_back(std::move(order));
  return true;
}

std::vector<StartOrder> Scheduler::TakeRepeatedStarts() { return std::exchange(m_repeated_starts, {}); }

void Scheduler::AdoptLateCalls(TaskRef task) {
  const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
  const bool is_placed = progress.state == TaskState::kPlaced;
  const bool is_unsettled = is_placed && progress.bound == RunBound::kNone;
  const bool is_given_up = !is_placed && !progress.late_worker.empty();
  if (!is_unsettled && !is_given_up) return;
  m_late_calls.Add({.task = task.step->TaskNameOf(task.index),
                    .run = progress.run,
                    .agent = is_placed ? progress.agent : progress.late_agent,
                    .worker = is_placed ? progress.worker : progress.late_worker,
                    // A former owner may have ordered the start until then; the agent tells the time more exactly.
                    .sent_at = m_claimed_at + m_options.former_owner_grants,
                    .demand = HeldDemand(*task.step->definition)});
}

bool Scheduler::IsOrderUnderWay(const std::string& task, int run) {
  const std::optional<TaskRef> ref = FindNewestRun(task, run);
  return ref && !ref->step->runtimes[static_cast<std::size_t>(ref->index)].is_order_answered;
}

void Scheduler::NoteLateCalls(const std::string& agent, const WorkerReport& report, MonotonicTime now) {
  for (const ReportedLateCall& reported : report.late_calls) {
    if (IsOrderUnderWay(reported.task, reported.run)) continue;
    const std::optional<TaskRef> ref = FindTask(reported.task);
    const MonotonicTime sent_at = now - absl::Milliseconds(reported.age_ms);
    m_late_calls.Replace({.task = reported.task,
                          .run = reported.run,
                          .agent = agent,
                          .worker = reported.worker,
                          .sent_at = sent_at,
                          .first_sent_at = sent_at,
                          .demand = ref ? HeldDemand(*ref->step->definition) : Resources{}});
  }
}

void Scheduler::SettleAnsweredCalls(const std::string& agent, const WorkerReport& report, MonotonicTime now) {
  const auto is_reported = [&](const LateCall& call) {
    return std::any_of(report.late_calls.begin(), report.late_calls.end(), [&](const ReportedLateCall& reported) {
      return reported.task == call.task && reported.run == call.run;
    });
  };
  const MonotonicTime known_since = now - absl::Milliseconds(report.calls_known_ms);
  const std::vector<LateCall> unreported = m_late_calls.CallsIf([&](const LateCall& call) {
    return call.agent == agent && !is_reported(call) && !IsOrderUnderWay(call.task, call.run);
  });
  for (LateCall call : unreported) {
    if (report.knows_former_calls || call.first_sent_at > known_since) {
      SettleCalls(call, now);
    } else if (call.sent_at > known_since) {
      call.sent_at = known_since;  // made by a former process of the agent
      m_late_calls.Replace(std::move(call));
    }
  }
}

void Scheduler::SettleCalls(const LateCall& call, MonotonicTime now) {
  m_late_calls.Remove(call.task, call.run);
  OnLateCallsOver({call.task});
  const std::optional<TaskRef> ref = FindNewestRun(call.task, call.run);
  if (!ref) return;
  TaskProgress& progress = ref->step->tasks[static_cast<std::size_t>(ref->index)];
  TaskRuntime& runtime = ref->step->runtimes[static_cast<std::size_t>(ref->index)];
  const bool is_in_life = runtime.stage == RunStage::kRunning || runtime.stage == RunStage::kUnknown ||
                          runtime.stage == RunStage::kStopping;
  if (!is_in_life) return;
  if (const PoolWorker* worker = m_workers.FindLife({.worker = progress.worker, .born = progress.worker_born})) {
    SettleStart(worker, *ref, now);
    return;
  }
  // Nothing is known of the leases of a worker that this owner has not met.
  runtime.is_start_settled = true;
  progress.bound = std::max(progress.bound, RunBound::kLongestLease);
}

void Scheduler::OnLateCallsOver(const std::vector<std::string>& tasks) {
  for (const std::string& task : tasks) {
    m_placement_due = true;
    const std::optional<TaskRef> ref = FindTask(task);
    if (!ref) continue;
    TaskProgress& progress = ref->step->tasks[static_cast<std::size_t>(ref->index)];
    if (progress.late_worker.empty()) continue;
    progress.late_worker.clear();
    progress.late_agent.clear();
    MarkChanged(*ref->step);
  }
}

void Scheduler::HoldEnd(PoolWorker& worker, const RunEnd& end, const WorkerReport& report, MonotonicTime now) {
  if (end.kind != RunEndKind::kDone) return;
  const std::optional<TaskName> name = TaskName::Parse(end.task);
  const WorkflowStep* step = name ? FindStep(name->step) : nullptr;
  if (step != nullptr && step->definition->speculative) return;
  const bool is_recorded_before = step == nullptr || name->index >= static_cast<int>(step->tasks.size()) ||
                                  step->tasks[static_cast<std::size_t>(name->index)].state == TaskState::kDone;
  // Former processes of both the owner and the agent may have known of a call that neither remembers.
  const bool is_owner_young = now - m_claimed_at <= m_options.former_owner_grants + m_options.late_call_limit;
  if (is_recorded_before && is_owner_young && !report.knows_former_calls) {
    m_late_calls.Add({.task = end.task,
                      .run = end.run,
                      .agent = worker.agent,
                      .worker = worker.life.worker,
                      .sent_at = now - absl::Milliseconds(report.calls_known_ms)});
  }
  // The end of one member of a gang stands for all of them. A job that is no longer known may have had one.
  const bool stands_for_others = step == nullptr || step->definition->gang;
  const std::string others = name ? name->step.ToString() + "." : end.task;
  std::vector<std::string> tasks;
  for (LateCall& call : m_late_calls.CallsIf([&](const LateCall& call) {
         return call.task == end.task || (stands_for_others && call.task.starts_with(others));
       })) {
    tasks.push_back(std::move(call.task));
  }
  if (tasks.empty()) return;
  LogEvent(LogLevel::kInfo, "end_held",
           {{"task", end.task}, {"run", end.run}, {"worker", worker.life.worker}, {"number", end.number}});
  worker.held_ends.emplace(end.number, std::move(tasks));
}

std::int64_t Scheduler::NotableEnds(const PoolWorker& worker, MonotonicTime now) const {
  for (const auto& [number, tasks] : worker.held_ends) {
    if (number > worker.ends_durable) break;
    const bool is_held = std::any_of(tasks.begin(), tasks.end(), [&](const std::string& task) {
      return m_late_calls.HasAny(task, now - m_options.late_call_limit);
    });
    if (is_held) return number - 1;
  }
  return worker.ends_durable;
}

void Scheduler::ExpireLateCalls(MonotonicTime now) {
  if (m_late_calls.empty()) return;
  const MonotonicTime expired = now - LongestRunAfterOrder(RunBound::kNone);
  OnLateCallsOver(m_late_calls.RemoveSentUntil(expired));
  for (PoolWorker* worker : m_workers.workers()) {
    while (!worker->held_ends.empty() && worker->held_ends.begin()->first <= NotableEnds(*worker, now)) {
      worker->held_ends.erase(worker->held_ends.begin());
    }
  }
}

bool Scheduler::HasLateCall(const WorkflowStep& step, int index) const {
  return !m_late_calls.empty() && !step.definition->speculative && m_late_calls.HasAny(step.TaskNameOf(index));
}

void Scheduler::ReserveForLateCalls() {
  for (PoolWorker* worker : m_workers.workers()) worker->late_reserved = {};
  if (m_late_calls.empty()) return;
  for (const LateCall& call : m_late_calls.CallsIf([](const LateCall&) { return true; })) {
    PoolWorker* worker = m_workers.Find(call.agent);
    const bool is_counted = FindNewestRun(call.task, call.run).has_value();
    if (worker != nullptr && worker->life.worker == call.worker && !is_counted) worker->late_reserved += call.demand;
  }
}

bool Scheduler::AdoptRun(PoolWorker& worker, const ActiveRun& run, MonotonicTime now) {
  const std::optional<TaskRef> task = FindTask(run.task);
  if (!task) return false;
  WorkflowStep& step = *task->step;
  const TaskProgress& progress = step.tasks[static_cast<std::size_t>(task->index)];
  const bool is_newest = progress.state == TaskState::kWaiting && progress.run == run.run;
  if (!is_newest || !step.job->TakesRuns() || step.definition->gang) return false;
  LogEvent(LogLevel::kWarning, "late_run_adopted",
           {{"task", run.task}, {"run", run.run}, {"worker", worker.life.worker}, {"born", worker.life.born}});
  Assign(*task, worker, run.run);
  TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(task->index)];
  runtime.stage = RunStage::kRunning;
  runtime.is_start_settled = false;
  runtime.is_order_answered = true;
  runtime.ordered_at = now;
  runtime.started_at = now;
  runtime.started_clock_ms = worker.clock_ms;
  runtime.percent = run.percent;
  NoteBegun(&worker, *task);
  NoteAtWork(*step.job, now);
  UpdateWaiting(step);
  MarkChanged(step);
  return true;
}

}  // namespace berylgauge::workflow
