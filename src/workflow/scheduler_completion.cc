#include <algorithm>
#include <tuple>
#include <utility>

#include "base/event_log.h"
#include "base/ids.h"
#include "workflow/scheduler.h"
#include "workflow/work_order.h"

namespace berylgauge::workflow {
namespace {

/// Until a stopped task may be placed: its stop takes one or two reports of its worker, 0.9 s apart at most. Beyond
/// that the state of the destination has changed.
constexpr absl::Duration kPlanValidity = absl::Seconds(2);

double ShareOfDemand(std::int64_t cpu_millis, const StepDefinition& definition) {
  return static_cast<double>(cpu_millis) / static_cast<double>(std::max<std::int64_t>(definition.demand.cpu_millis, 1));
}

/// Whether slow runs of the step are moved. A gang works only together, wherever its members are.
bool MayMoveRunsOf(const WorkflowStep& step) {
  return step.definition->fills_idle_cpu && !step.definition->gang && step.job->TakesRuns();
}

}  // namespace

void Scheduler::MoveSlowFillers(MonotonicTime now) {
  if (now < m_next_move) return;
  m_next_move = now + m_options.move_interval;
  absl::erase_if(m_planned_moves, [&](const auto& planned) { return planned.second.valid_until < now; });
  ObserveFillers();
  const auto share =
      static_cast<std::size_t>(m_options.moves_per_worker * static_cast<double>(m_workers.workers().size()));
  const std::size_t most = std::max(m_options.least_moves, share);
  std::vector<WorkflowStep*> steps;
  absl::flat_hash_set<const WorkflowStep*> seen;
  for (const PoolWorker* worker : m_workers.workers()) {
    if (worker->filling.empty()) continue;
    for (const auto& [task, held] : worker->runs) {
      if (MayMoveRunsOf(*task.step) && seen.insert(task.step).second) steps.push_back(task.step);
    }
  }
  SortByUrgency(steps, AgedFirst::kNo, now);
  // One move to each destination in an interval, because each changes the figures of the next.
  absl::flat_hash_set<const PoolWorker*> excluded = SlowWorkers();
  std::size_t moved = 0;
  for (WorkflowStep* step : steps) {
    if (moved >= most) return;
    MoveStragglersOf(*step, most, excluded, moved, now);
  }
}

void Scheduler::ObserveFillers() {
  for (const PoolWorker* worker : m_workers.workers()) {
    if (worker->filling.empty()) continue;
    for (const auto& [task, held] : worker->runs) {
      const StepDefinition& definition = *task.step->definition;
      const TaskProgress& progress = task.step->tasks[static_cast<std::size_t>(task.index)];
      TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
      // A list as of the start may not have the run yet.
      const bool is_listed = runtime.stage == RunStage::kRunning && worker->clock_ms > runtime.started_clock_ms;
      if (!definition.fills_idle_cpu || !is_listed) continue;
      runtime.pace.Observe({.run = progress.run,
                            .is_resumed = !progress.checkpoint.empty(),
                            .percent = runtime.percent,
                            .speed = ShareOfDemand(runtime.measured, definition),
                            .clock_ms = worker->clock_ms,
                            .started_clock_ms = runtime.started_clock_ms});
    }
  }
}

absl::Duration Scheduler::ExpectedWork(const WorkflowStep& step, MonotonicTime now) const {
  return m_durations.WorkOf(step, now).expected;
}

std::vector<OpenTask> Scheduler::OpenTasksOf(const WorkflowStep& step) {
  std::vector<OpenTask> open;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state == TaskState::kDone) continue;
    const TaskRuntime& runtime = step.runtimes[i];
    const bool is_running = step.tasks[i].state == TaskState::kPlaced && runtime.stage == RunStage::kRunning &&
                            runtime.pace.run == step.tasks[i].run;
    open.push_back({.index = static_cast<int>(i), .is_running = is_running, .pace = runtime.pace});
  }
  return open;
}

StepCompletion Scheduler::CompletionOf(const WorkflowStep& step, double destination_speed, MonotonicTime now) const {
  std::vector<double> measured;
  for (const TaskRuntime& runtime : step.runtimes) {
    if (runtime.pace.task_work_ms > 0) measured.push_back(runtime.pace.task_work_ms);
  }
  return StepCompletion(m_options.completion, step.definition->saves_progress, ExpectedWork(step, now),
                        std::move(measured), OpenTasksOf(step), destination_speed);
}

absl::flat_hash_set<const PoolWorker*> Scheduler::SlowWorkers() const {
  absl::flat_hash_set<const PoolWorker*> slow;
  for (const PoolWorker* worker : m_workers.workers()) {
    for (const auto& [task, held] : worker->runs) {
      const TaskRuntime& runtime = task.step->runtimes[static_cast<std::size_t>(task.index)];
      const bool is_judged = task.step->definition->fills_idle_cpu && runtime.stage == RunStage::kRunning &&
                             (runtime.pace.IsSettled() || runtime.pace.StandsStill());
      if (is_judged && runtime.pace.speed < m_options.slow_filling_speed) slow.insert(worker);
    }
  }
  return slow;
}

std::vector<Scheduler::Destination> Scheduler::DestinationsFor(const WorkflowStep& step,
                                                               const absl::flat_hash_set<const PoolWorker*>& excluded,
                                                               MonotonicTime now) const {
  const StepDefinition& definition = *step.definition;
  std::vector<Destination> destinations;
  for (PoolWorker* worker : m_workers.workers()) {
    if (excluded.contains(worker) || !m_policy.IsEligible(step, *worker, m_limits, now)) continue;
    if (m_quarantine.OutSince(WorkerId(worker->life.worker)) != InfiniteFuture()) continue;
    const bool is_silent =
        worker->HasStartSince(now - m_options.placement.late_start) || now - worker->clock_read_at > kListValidity;
    const bool is_near = definition.data_rack.empty() || std::find(worker->labels.begin(), worker->labels.end(),
                                                                   definition.data_rack) != worker->labels.end();
    if (is_silent || !is_near || !m_policy.HasRoom(step, 0, *worker, now)) continue;
    const Destination destination{.worker = worker,
                                  .speed = m_policy.FillingSpeed(definition, *worker),
                                  .harm = m_policy.FillingHarm(definition, *worker)};
    if (destination.speed < m_options.least_destination_speed) continue;
    if (destination.harm <= m_options.most_destination_harm) destinations.push_back(destination);
  }
  // Idle processors beyond the need are what keeps the speed if the load of the serving tasks rises.
  std::stable_sort(destinations.begin(), destinations.end(), [&](const Destination& a, const Destination& b) {
    const auto key = [&](const Destination& destination) {
      const double idle = m_policy.IdleCpu(*destination.worker) - static_cast<double>(destination.worker->filling_cpu);
      return std::tuple(destination.harm, -idle);
    };
    return key(a) < key(b);
  });
  return destinations;
}

void Scheduler::MoveStragglersOf(WorkflowStep& step, std::size_t most, absl::flat_hash_set<const PoolWorker*>& excluded,
                                 std::size_t& moved, MonotonicTime now) {
  // Most steps have no straggler even if full speed could be had.
  if (CompletionOf(step, 1, now).Deciding().empty()) return;
  const std::vector<Destination> destinations = DestinationsFor(step, excluded, now);
  const StepCompletion completion = CompletionOf(step, destinations.empty() ? 1 : destinations.back().speed, now);
  for (const OpenTask& straggler : completion.Deciding()) {
    if (moved >= most) return;
    const StragglerDecision decision = completion.Decide(straggler);
    if (decision.action == StragglerAction::kLeave) continue;
    const TaskRef task{.step = &step, .index = straggler.index};
    TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(task.index)];
    const TaskProgress& progress = step.tasks[static_cast<std::size_t>(task.index)];
    const std::string source = progress.worker;
    const PoolWorker* present = m_workers.FindLife({.worker = source, .born = progress.worker_born});
    // A silent worker would not answer the stop, so the task would wait for its lease.
    if (present == nullptr || now - present->clock_read_at > kListValidity) continue;
    const auto destination = std::find_if(destinations.begin(), destinations.end(), [&](const Destination& other) {
      const bool is_avoided =
          std::find(runtime.avoid.begin(), runtime.avoid.end(), other.worker->life.worker) != runtime.avoid.end();
      return !excluded.contains(other.worker) && other.worker->life.worker != source && !is_avoided;
    });
    if (destination == destinations.end()) {
      ++m_counts.stragglers_left;
      continue;
    }
    excluded.insert(destination->worker);
    ++moved;
    ++m_counts.moves;
    if (decision.action == StragglerAction::kRestart) ++m_counts.restarts;
    LogEvent(LogLevel::kInfo, "run_moved",
             {{"task", step.TaskNameOf(task.index)},
              {"run", runtime.pace.run},
              {"action", kStragglerActionNames.NameOf(decision.action)},
              {"worker", source},
              {"to", destination->worker->life.worker},
              {"cpu", runtime.measured},
              {"demand", step.definition->demand.cpu_millis},
              {"percent", runtime.percent},
              {"age_ms", runtime.pace.age_ms},
              {"moves", runtime.pace.moves},
              {"remaining_ms", absl::ToInt64Milliseconds(decision.remaining)},
              {"elsewhere_ms", absl::ToInt64Milliseconds(decision.elsewhere)},
              {"gain_ms", absl::ToInt64Milliseconds(decision.gain)},
              {"required_ms", absl::ToInt64Milliseconds(decision.required)},
              {"typical_ms", absl::ToInt64Milliseconds(completion.TypicalWork())},
              {"estimate_ms", step.definition->estimate_ms}});
    ++runtime.pace.moves;
    runtime.avoid.push_back(source);
    m_planned_moves[step.TaskNameOf(task.index)] = {.destination = destination->worker->life,
                                                    .valid_until = now + kPlanValidity};
    OrderStop(task);
  }
}

void Scheduler::PlaceMovedTasks(WorkflowStep& step, QuarantineFilter& filter, MonotonicTime now) {
  if (m_planned_moves.empty() || !MayMoveRunsOf(step)) return;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state != TaskState::kWaiting || now < step.runtimes[i].not_before) continue;
    const auto planned = m_planned_moves.find(step.TaskNameOf(static_cast<int>(i)));
    if (planned == m_planned_moves.end()) continue;
    const PlannedMove plan = planned->second;
    m_planned_moves.erase(planned);
    PoolWorker* worker = m_workers.FindLife(plan.destination);
    if (worker == nullptr || plan.valid_until < now) continue;
    const int index = static_cast<int>(i);
    const bool is_fit = m_policy.IsEligible(step, *worker, m_limits, now) &&
                        m_policy.HasRoom(step, index, *worker, now) &&
                        m_quarantine.OutSince(WorkerId(worker->life.worker)) == InfiniteFuture() &&
                        m_policy.FillingSpeed(*step.definition, *worker) >= m_options.least_destination_speed;
    if (!is_fit) continue;
    ++m_counts.destinations_used;
    Place(step, index, *worker, step.tasks[i].run + 1, now);
    filter.OnPlaced(*worker);
  }
  UpdateWaiting(step);
}

}  // namespace berylgauge::workflow
