#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "workflow/lasting_order.h"
#include "workflow/lasting_shares.h"
#include "workflow/lasting_step_state.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kLastingCheckInterval = absl::Seconds(2);
constexpr double kPerMille = 1000;

std::int64_t PerMille(double share) { return static_cast<std::int64_t>(share * kPerMille); }

void LogLastingStep(const WorkflowStep& step, const LastingStepState& state) {
  const StepDefinition& definition = *step.definition;
  LogEvent(LogLevel::kInfo, "lasting_step",
           {{"step", state.name},
            {"queue", state.queue},
            {"tasks", state.tasks},
            {"at_work", state.at_work},
            {"over_target", state.over_target},
            {"starting", state.starting},
            {"waiting", state.waiting},
            {"late_call", state.late_calls},
            {"paused", state.paused},
            {"waited_ms", absl::ToInt64Milliseconds(state.longest)},
            {"cpu", definition.demand.cpu_millis},
            {"memory", definition.demand.memory_mb},
            {"max_per_worker", definition.max_per_worker},
            {"may_miss", definition.may_miss}});
}

}  // namespace

void Scheduler::PlaceLastingSteps(const std::vector<WorkflowStep*>& waiting, int priority, QuarantineFilter& filter,
                                  MonotonicTime now) {
  std::vector<WorkflowStep*> steps;
  std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(steps), [&](const WorkflowStep* step) {
    return SharesRoom(*step->definition) && step->job->definition.queue.priority == priority;
  });
  LastingOrder order;
  for (WorkflowStep* step : steps) order.Add(*step, PlaceableTasks(*step, filter, now));
  while (!order.IsEmpty()) {
    const auto [step, index] = order.Next();
    if (PlaceTask(*step, index, AccessOf(*step, index, filter, now), filter, now)) {
      order.Advance(step->tasks[static_cast<std::size_t>(index)].state == TaskState::kPlaced);
    } else {
      order.DropStep();
    }
  }
  for (WorkflowStep* step : steps) {
    UpdateWaiting(*step);
    if (m_waiting.contains(step)) ScheduleRetry(*step, filter, now);
  }
}

void Scheduler::NoteLastingSteps(MonotonicTime now) {
  if (now < m_next_lasting_check) return;
  m_next_lasting_check = now + kLastingCheckInterval;
  std::vector<LastingStepState> states;
  absl::flat_hash_map<std::string, LoggedLastingStep> logged;
  for (const auto& [id, job] : m_jobs) {
    if (!job->TakesRuns()) continue;
    for (const auto& [occurrence, steps] : job->occurrences) {
      for (const std::unique_ptr<WorkflowStep>& step : steps) {
        if (!step->definition->long_running || !step->ready) continue;
        states.push_back(StateOf(*step, now));
        const LastingStepState& state = states.back();
        const LoggedLastingStep present{.at_work = state.at_work, .waiting = state.waiting};
        const auto former = m_logged_lasting_steps.find(state.name);
        if (former == m_logged_lasting_steps.end() || former->second != present) LogLastingStep(*step, state);
        logged.emplace(state.name, present);
      }
    }
  }
  m_logged_lasting_steps = std::move(logged);
  std::map<std::string, LastingShares> shares = SharesByQueue(states);
  // A queue without such steps any more is shown as served, not with its last figure.
  for (const auto& [queue, former] : m_lasting_shares) shares.try_emplace(queue);
  m_lasting_shares = std::move(shares);
  LogLastingShares(now);
}

LastingStepState Scheduler::StateOf(const WorkflowStep& step, MonotonicTime now) const {
  std::vector<bool> has_late_call(step.tasks.size());
  for (std::size_t i = 0; i < has_late_call.size(); ++i) has_late_call[i] = HasLateCall(step, static_cast<int>(i));
  return StateOfLastingStep(step, has_late_call, now);
}

void Scheduler::LogLastingShares(MonotonicTime now) const {
  Resources free;
  Resources largest;
  for (const PoolWorker* worker : m_workers.workers()) {
    const bool takes_runs = worker->reconciled && worker->condition == WorkerCondition::kReady &&
                            now >= worker->avoid_until && !m_limits.evacuated_zones.contains(worker->zone);
    if (!takes_runs) continue;
    free += worker->Free();
    largest.cpu_millis = std::max(largest.cpu_millis, worker->Free().cpu_millis);
    largest.memory_mb = std::max(largest.memory_mb, worker->Free().memory_mb);
  }
  for (const auto& [queue, shares] : m_lasting_shares) {
    if (shares.steps == 0) continue;
    LogEvent(LogLevel::kInfo, "lasting_shares",
             {{"queue", queue},
              {"steps", shares.steps},
              {"all", PerMille(shares.all)},
              {"largest_tenth", PerMille(shares.largest_tenth)},
              {"next_fifth", PerMille(shares.next_fifth)},
              {"least", PerMille(shares.least)},
              {"least_step", shares.least_step},
              {"free_cpu", free.cpu_millis},
              {"largest_free_cpu", largest.cpu_millis},
              {"free_memory", free.memory_mb},
              {"largest_free_memory", largest.memory_mb}});
  }
}

}  // namespace berylgauge::workflow
