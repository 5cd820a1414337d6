#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "base/ids.h"
#include "workflow/scheduler.h"
#include "workflow/work_order.h"

namespace berylgauge::workflow {
namespace {

/// A task that has waited this long is logged, as often as the second figure says.
constexpr absl::Duration kLongWait = absl::Seconds(3);
constexpr absl::Duration kWaitLogInterval = absl::Seconds(2);
/// Steps that are logged at most in one interval, the most urgent first.
constexpr std::size_t kMaxLoggedWaits = 20;

/// Whether a step finds no worker either because another one found none: it competes for the same workers by the same
/// conditions and needs at least as much. Says no where the failed one was restricted to some workers, or waits for
/// more room than it takes (tasks that last).
bool FailsLike(const WorkflowStep& step, const WorkflowStep& failed) {
  const StepDefinition& needed = *step.definition;
  const StepDefinition& refused = *failed.definition;
  if (refused.long_running || !refused.required_label.empty() || refused.max_per_worker > 0) return false;
  if (step.job->definition.queue.service != failed.job->definition.queue.service) return false;
  if (refused.fills_idle_cpu != needed.fills_idle_cpu || refused.long_running != needed.long_running) return false;
  // Images disturb serving tasks to a different degree, so each has its own expected speed.
  if (refused.fills_idle_cpu && refused.image != needed.image) return false;
  return refused.demand.FitsIn(needed.demand);
}

}  // namespace

void Scheduler::PlaceWaiting(MonotonicTime now) {
  m_next_retry = InfiniteFuture();
  std::vector<PoolWorker*> candidates;
  for (PoolWorker* worker : m_workers.workers()) {
    if (worker->avoid_until > now) m_next_retry = std::min(m_next_retry, worker->avoid_until);
    const WorkerId id(worker->life.worker);
    m_next_retry = std::min(m_next_retry, m_quarantine.TrialAt(id, now));
    if (m_quarantine.MayPlace(id, now)) candidates.push_back(worker);
  }
  std::vector<WorkflowStep*> waiting(m_waiting.begin(), m_waiting.end());
  SortByUrgency(waiting, now);
  std::vector<const WorkflowStep*> failed;
  for (WorkflowStep* step : waiting) {
    const MonotonicTime any_speed_from = m_policy.AnySpeedFrom(*step);
    if (any_speed_from > now) m_next_retry = std::min(m_next_retry, any_speed_from);
    const bool is_hopeless =
        any_speed_from > now &&
        std::any_of(failed.begin(), failed.end(), [&](const WorkflowStep* other) { return FailsLike(*step, *other); });
    if (is_hopeless) continue;
    if (step->definition->gang) {
      PlaceGang(*step, candidates, now);
      continue;
    }
    for (std::size_t i = 0; i < step->tasks.size(); ++i) {
      TaskRuntime& runtime = step->runtimes[i];
      if (step->tasks[i].state != TaskState::kWaiting) continue;
      if (now < runtime.not_before) {
        m_next_retry = std::min(m_next_retry, runtime.not_before);
        continue;
      }
      PoolWorker* worker = m_policy.Choose(*step, static_cast<int>(i), candidates, m_limits, now);
      if (worker == nullptr) {
        if (step->definition->long_running) {
          m_next_retry = std::min(m_next_retry, now + m_options.placement.reserve_patience);
        }
        failed.push_back(step);
        break;
      }
      Place(*step, static_cast<int>(i), *worker, step->tasks[i].run + 1, now);
    }
    UpdateWaiting(*step);
  }
  m_placement_due = false;
}

void Scheduler::LogLongWaits(MonotonicTime now) {
  if (now < m_next_wait_check) return;
  m_next_wait_check = now + kWaitLogInterval;
  std::vector<WorkflowStep*> waiting(m_waiting.begin(), m_waiting.end());
  std::erase_if(waiting, [&](const WorkflowStep* step) {
    return now - step->runtimes[step->LongestWaitingTask()].waiting_since < kLongWait;
  });
  SortByUrgency(waiting, now);
  if (waiting.size() > kMaxLoggedWaits) waiting.resize(kMaxLoggedWaits);
  for (const WorkflowStep* step : waiting) {
    const std::size_t i = step->LongestWaitingTask();
    std::map<std::string, int> workers;
    for (const PoolWorker* worker : m_workers.workers()) {
      if (!m_quarantine.MayPlace(WorkerId(worker->life.worker), now)) {
        ++workers["quarantined"];
        continue;
      }
      PlacementObstacle obstacle = m_policy.EligibilityObstacle(*step, *worker, m_limits, now);
      if (obstacle == PlacementObstacle::kNone) {
        obstacle = m_policy.RoomObstacle(*step, static_cast<int>(i), *worker, now);
      }
      ++workers[std::string(kPlacementObstacleNames.NameOf(obstacle))];
    }
    LogEvent(LogLevel::kInfo, "task_waiting",
             {{"task", step->TaskNameOf(static_cast<int>(i))},
              {"waited_ms", absl::ToInt64Milliseconds(now - step->runtimes[i].waiting_since)},
              {"paused_ms", std::max<std::int64_t>(0, absl::ToInt64Milliseconds(step->runtimes[i].not_before - now))},
              {"prospect", kProspectNames.NameOf(ProspectOf(*step, now))},
              {"placed_of_job", step->job->placed},
              {"cpu", step->definition->demand.cpu_millis},
              {"memory", step->definition->demand.memory_mb},
              {"fills", step->definition->fills_idle_cpu},
              {"workers", absl::StrJoin(workers, ",", absl::PairFormatter(":"))}});
  }
}

bool Scheduler::PlaceGang(WorkflowStep& step, const std::vector<PoolWorker*>& candidates, MonotonicTime now) {
  int run = 0;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state != TaskState::kWaiting) return false;
    if (now < step.runtimes[i].not_before) {
      m_next_retry = std::min(m_next_retry, step.runtimes[i].not_before);
      return false;
    }
    run = std::max(run, step.tasks[i].run + 1);
  }
  std::vector<std::vector<PoolWorker*>> groups;
  if (step.definition->same_rack) {
    std::map<std::string, std::vector<PoolWorker*>> racks;
    for (PoolWorker* worker : candidates) racks[worker->rack].push_back(worker);
    for (auto& [rack, workers] : racks) groups.push_back(std::move(workers));
  }
  // Spread over racks a gang is slower, but better than never.
  groups.push_back(candidates);
  for (const std::vector<PoolWorker*>& group : groups) {
    std::vector<PoolWorker*> chosen;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      PoolWorker* worker = m_policy.Choose(step, static_cast<int>(i), group, m_limits, now);
      if (worker == nullptr) break;
      // Attached at once, so that the next member sees what is left.
      m_workers.Attach(*worker, {.step = &step, .index = static_cast<int>(i)});
      step.tasks[i].worker = worker->life.worker;
      step.tasks[i].state = TaskState::kPlaced;
      chosen.push_back(worker);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      m_workers.Detach(*chosen[i], {.step = &step, .index = static_cast<int>(i)});
      step.tasks[i].worker.clear();
      step.tasks[i].state = TaskState::kWaiting;
    }
    if (chosen.size() < step.tasks.size()) continue;
    for (std::size_t i = 0; i < chosen.size(); ++i) Place(step, static_cast<int>(i), *chosen[i], run, now);
    UpdateWaiting(step);
    return true;
  }
  return false;
}

void Scheduler::Place(WorkflowStep& step, int index, PoolWorker& worker, int run, MonotonicTime now) {
  const auto i = static_cast<std::size_t>(index);
  TaskProgress& progress = step.tasks[i];
  progress.state = TaskState::kPlaced;
  progress.run = run;
  progress.worker = worker.life.worker;
  progress.worker_born = worker.life.born;
  progress.agent = worker.agent;
  step.runtimes[i].stage = RunStage::kRecording;
  m_workers.Attach(worker, {.step = &step, .index = index});
  const QuarantineState quarantine = m_quarantine.StateOf(WorkerId(worker.life.worker), now);
  if (quarantine != QuarantineState::kOpen) ++m_counts.trials;
  m_quarantine.RecordPlaced(WorkerId(worker.life.worker), now);
  const WorkflowJob& job = *step.job;
  ++step.job->placed;
  ++m_counts.placements;
  LogEvent(LogLevel::kInfo, "run_placed",
           {{"task", step.TaskNameOf(index)},
            {"run", run},
            {"image", step.definition->image},
            {"worker", worker.life.worker},
            {"quarantine", kQuarantineStateNames.NameOf(quarantine)},
            {"waited_ms", absl::ToInt64Milliseconds(now - step.runtimes[i].waiting_since)},
            {"free_cpu", worker.Free().cpu_millis},
            {"filling_cpu", worker.filling_cpu},
            {"serving", worker.serving_tasks}});
  MarkChanged(step);
  m_new_starts.push_back({.agent = worker.agent,
                          .life = worker.life,
                          .job = job.definition.id,
                          .task = step.TaskNameOf(index),
                          .run = run,
                          .checkpoint = progress.checkpoint,
                          .fills_idle_cpu = step.definition->fills_idle_cpu,
                          .tail_target_ms = step.definition->tail_target_ms,
                          .demand_cpu = step.definition->demand.cpu_millis,
                          .image = step.definition->image,
                          .ticket = {}});
}

}  // namespace berylgauge::workflow
