#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "workflow/run_forecast.h"
#include "workflow/scheduler.h"

namespace berylgauge::workflow {
namespace {

/// Speed from which a near worker is taken without a look at the others.
constexpr double kFullSpeed = 1;

bool HasLabel(const PoolWorker& worker, const std::string& label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

bool IsPlacedTogether(const StepDefinition& definition) { return definition.gang && definition.same_rack; }

}  // namespace

bool Scheduler::PrefersRack(const StepDefinition& definition) {
  return !definition.data_rack.empty() || IsPlacedTogether(definition);
}

bool Scheduler::IsWaitingForRack(const WorkflowStep& step, int index) {
  const TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(index)];
  return runtime.locality.is_waiting && runtime.locality.task_waiting_since == runtime.waiting_since;
}

Scheduler::WorkerChoice Scheduler::ChooseByLocality(WorkflowStep& step, int index, QuarantineAccess access,
                                                    const QuarantineFilter& filter, MonotonicTime now) {
  const StepDefinition& definition = *step.definition;
  const std::vector<PoolWorker*>& candidates = filter.Candidates(access);
  if (!PrefersRack(definition)) {
    return ChooseFrom(step, index, candidates, now);
  }
  const SplitCandidates split = SplitByLocality(definition, candidates);
  WorkerChoice near = ChooseFromFirst(step, index, split.near, now);
  const bool is_doubtful = IsDoubtful(step, index, near, now);
  WorkerChoice far;
  if (near.workers.empty() || near.speed < kFullSpeed || is_doubtful) {
    far = ChooseFromFirst(step, index, split.far, now);
    if (is_doubtful && !far.workers.empty() && !IsDoubtful(step, index, far, now)) near = {};
  }
  LocalityQuery query = {.run_time = absl::Milliseconds(definition.estimate_ms),
                         .near_speed = std::nullopt,
                         .far_speed = std::nullopt,
                         .success_rate = m_locality_history.SuccessRate(definition.data_rack, now),
                         .waited = absl::ZeroDuration(),
                         .wait_until = std::nullopt};
  if (!near.workers.empty()) query.near_speed = near.speed;
  if (!far.workers.empty()) query.far_speed = far.speed;
  const TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(index)];
  if (runtime.locality.task_waiting_since == runtime.waiting_since && runtime.locality.HasWaited()) {
    query.waited = runtime.locality.WaitedAt(now);
    query.wait_until = runtime.locality.until;
  }
  const bool has_work = !definition.long_running && step.job->AtWorkUntil() > now;
  if (!has_work) query.wait_limit = step.PatienceEnds(m_options.placement.slow_worker_patience, now);
  ExpectedCapacity expected;
  if (query.far_speed) {
    expected = ExpectCapacity(step, index, split.near, now);
    query.capacity_at = expected.at;
  }
  const LocalityDecision decision = m_locality.Decide(query, now);
  NoteDecision(step, index, decision, now);
  switch (decision.choice) {
    case LocalityChoice::kNear:
      return near;
    case LocalityChoice::kFar:
      return far;
    case LocalityChoice::kWait:
      for (const RackOutlook::Slot& slot : expected.slots) {
        expected.outlook->Reserve(slot, CapacityNeed::Of(definition), query.run_time);
      }
      return {.workers = {}, .is_waiting = true};
    case LocalityChoice::kNone:
      break;
  }
  return {};
}

Scheduler::SplitCandidates Scheduler::SplitByLocality(const StepDefinition& definition,
                                                      const std::vector<PoolWorker*>& candidates) {
  SplitCandidates split;
  if (!IsPlacedTogether(definition)) {
    WorkerGroup near = {.label = definition.data_rack, .rack = std::nullopt, .workers = {}};
    WorkerGroup far;
    for (PoolWorker* worker : candidates) {
      (HasLabel(*worker, definition.data_rack) ? near : far).workers.push_back(worker);
    }
    // A gang may be spread over near and far workers; it is as slow as its slowest member.
    if (definition.gang) far.workers = candidates;
    split.near.push_back(std::move(near));
    split.far.push_back(std::move(far));
    return split;
  }
  std::map<std::string, WorkerGroup> racks;
  for (PoolWorker* worker : candidates) {
    WorkerGroup& group = racks[worker->rack];
    group.rack = worker->rack;
    group.workers.push_back(worker);
  }
  for (auto& [rack, group] : racks) {
    WorkerGroup near = {.label = definition.data_rack, .rack = rack, .workers = group.workers};
    if (!definition.data_rack.empty()) {
      std::erase_if(near.workers, [&](const PoolWorker* worker) { return !HasLabel(*worker, definition.data_rack); });
    }
    if (!near.workers.empty()) split.near.push_back(std::move(near));
    if (!definition.data_rack.empty()) split.far.push_back(std::move(group));
  }
  // Spread over racks a gang is slower, but better than never.
  split.far.push_back({.label = {}, .rack = std::nullopt, .workers = candidates});
  return split;
}

Scheduler::WorkerChoice Scheduler::ChooseFromFirst(WorkflowStep& step, int index,
                                                   const std::vector<WorkerGroup>& groups, MonotonicTime now) {
  for (const WorkerGroup& group : groups) {
    WorkerChoice choice = ChooseFrom(step, index, group.workers, now);
    if (!choice.workers.empty()) return choice;
  }
  return {};
}

Scheduler::WorkerChoice Scheduler::ChooseFrom(WorkflowStep& step, int index, const std::vector<PoolWorker*>& candidates,
                                              MonotonicTime now) {
  if (step.definition->gang) return ChooseForGang(step, candidates, now);
  PoolWorker* worker = m_policy.Choose(step, index, candidates, m_limits, now);
  if (worker == nullptr) return {};
  const bool fills = step.definition->fills_idle_cpu;
  return {.workers = {worker}, .speed = fills ? m_policy.FillingSpeed(*step.definition, *worker) : kFullSpeed};
}

Scheduler::WorkerChoice Scheduler::ChooseForGang(WorkflowStep& step, const std::vector<PoolWorker*>& candidates,
                                                 MonotonicTime now) {
  WorkerChoice choice;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    PoolWorker* worker = m_policy.Choose(step, static_cast<int>(i), candidates, m_limits, now);
    if (worker == nullptr) break;
    if (step.definition->fills_idle_cpu) {
      choice.speed = std::min(choice.speed, m_policy.FillingSpeed(*step.definition, *worker));
    }
    // Attached at once, so that the next member sees what is left.
    m_workers.Attach(*worker, {.step = &step, .index = static_cast<int>(i)});
    step.tasks[i].worker = worker->life.worker;
    step.tasks[i].state = TaskState::kPlaced;
    choice.workers.push_back(worker);
  }
  for (std::size_t i = 0; i < choice.workers.size(); ++i) {
    m_workers.Detach(*choice.workers[i], {.step = &step, .index = static_cast<int>(i)});
    step.tasks[i].worker.clear();
    step.tasks[i].state = TaskState::kWaiting;
  }
  if (choice.workers.size() < step.tasks.size()) choice.workers.clear();
  return choice;
}

bool Scheduler::IsDoubtful(const WorkflowStep& step, int index, const WorkerChoice& choice, MonotonicTime now) const {
  const std::vector<std::string>& avoid = step.runtimes[static_cast<std::size_t>(index)].avoid;
  return std::any_of(choice.workers.begin(), choice.workers.end(), [&](const PoolWorker* worker) {
    return std::find(avoid.begin(), avoid.end(), worker->life.worker) != avoid.end() ||
           worker->HasStartSince(now - m_options.placement.late_start) || now - worker->clock_read_at > kListValidity;
  });
}

Scheduler::ExpectedCapacity Scheduler::ExpectCapacity(const WorkflowStep& step, int index,
                                                      const std::vector<WorkerGroup>& groups, MonotonicTime now) {
  const StepDefinition& definition = *step.definition;
  const CapacityNeed need = CapacityNeed::Of(definition);
  const std::vector<std::string>& avoid = step.runtimes[static_cast<std::size_t>(index)].avoid;
  const std::size_t tasks = definition.gang ? step.tasks.size() : 1;
  ExpectedCapacity best;
  for (const WorkerGroup& group : groups) {
    std::map<const PoolWorker*, int> chosen;
    const auto may_use = [&](const PoolWorker& worker) {
      if (std::find(group.workers.begin(), group.workers.end(), &worker) == group.workers.end()) return false;
      if (std::find(avoid.begin(), avoid.end(), worker.life.worker) != avoid.end()) return false;
      if (definition.max_per_worker > 0 && chosen[&worker] >= definition.max_per_worker) return false;
      // The targets of the serving tasks there would slow it down, however much processor time becomes idle.
      if (definition.fills_idle_cpu && m_policy.FillingHarm(definition, worker) >= 1) return false;
      return m_policy.IsEligible(step, worker, m_limits, now);
    };
    RackOutlook& outlook = OutlookOf(group, now);
    ExpectedCapacity expected = {.at = now, .outlook = &outlook, .slots = {}};
    std::optional<RackOutlook> with_members;  // a copy, because most gangs will not wait
    while (expected.slots.size() < tasks) {
      const RackOutlook& present = with_members ? *with_members : outlook;
      const std::optional<RackOutlook::Slot> slot = present.Find(need, may_use, now);
      if (!slot) break;
      expected.slots.push_back(*slot);
      expected.at = std::max(expected.at, slot->at);
      if (tasks == 1) break;
      ++chosen[&present.WorkerOf(*slot)];
      if (!with_members) with_members = outlook;
      with_members->Reserve(*slot, need, absl::InfiniteDuration());
    }
    if (expected.slots.size() < tasks || expected.at >= best.at) continue;
    for (RackOutlook::Slot& slot : expected.slots) slot.at = expected.at;
    best = std::move(expected);
  }
  return best;
}

RackOutlook& Scheduler::OutlookOf(const WorkerGroup& group, MonotonicTime now) {
  const std::string key = group.rack ? absl::StrCat("rack ", *group.rack) : absl::StrCat("label ", group.label);
  const auto [found, is_new] = m_outlooks.try_emplace(key, nullptr);
  if (!is_new) return *found->second;
  found->second = std::make_unique<RackOutlook>();
  for (const PoolWorker* worker : m_workers.workers()) {
    const bool is_of_rack = group.rack ? worker->rack == *group.rack : HasLabel(*worker, group.label);
    // Nothing is expected of a worker that gives no lists: what ends there is not known.
    const bool is_present = worker->reconciled && worker->condition == WorkerCondition::kReady &&
                            now - worker->clock_read_at <= kListValidity;
    if (!is_of_rack || !is_present) continue;
    std::vector<RackOutlook::Release> releases;
    for (const auto& [task, held] : worker->runs) {
      releases.push_back({.at = ExpectedRunEnd(*worker, task, m_options.locality.far_x, now),
                          .amounts = CapacityNeed::Of(*task.step->definition)});
    }
    const double idle = m_policy.IdleCpu(*worker) - static_cast<double>(worker->filling_cpu);
    found->second->AddWorker(*worker, worker->Free(), static_cast<std::int64_t>(idle), releases);
  }
  return *found->second;
}

void Scheduler::NoteDecision(WorkflowStep& step, int index, const LocalityDecision& decision, MonotonicTime now) {
  TaskRuntime& runtime = step.runtimes[static_cast<std::size_t>(index)];
  LocalityWait& wait = runtime.locality;
  if (wait.task_waiting_since != runtime.waiting_since) wait = {.task_waiting_since = runtime.waiting_since};
  wait.decision = decision;
  wait.is_waiting = decision.choice == LocalityChoice::kWait;
  if (!wait.is_waiting || wait.HasWaited()) return;
  wait.begun_at = now;
  wait.until = decision.wait_until;
  LogEvent(LogLevel::kInfo, "placement_delayed",
           {{"task", step.TaskNameOf(index)},
            {"rack", step.definition->data_rack},
            {"estimate_ms", step.definition->estimate_ms},
            {"until_ms", absl::ToInt64Milliseconds(decision.wait_until - now)},
            {"success_percent",
             static_cast<std::int64_t>(100 * m_locality_history.SuccessRate(step.definition->data_rack, now))}});
}

void Scheduler::CountLocality(WorkflowStep& step, int index, const PoolWorker& worker, MonotonicTime now) {
  const StepDefinition& definition = *step.definition;
  const absl::Duration run_time =
      definition.long_running ? absl::InfiniteDuration() : absl::Milliseconds(definition.estimate_ms);
  for (auto& [key, outlook] : m_outlooks) outlook->NotePlaced(worker, CapacityNeed::Of(definition), run_time, now);
  if (!PrefersRack(definition)) return;
  LocalityWait& wait = step.runtimes[static_cast<std::size_t>(index)].locality;
  wait.is_waiting = false;
  const bool is_near = wait.decision.choice == LocalityChoice::kNear;
  ++(is_near ? m_counts.near_placements : m_counts.far_placements);
  if (!wait.HasWaited() || std::exchange(wait.is_counted, true)) return;
  ++m_counts.delayed_placements;
  // A gang has one wait.
  if (!definition.gang || index == 0) m_locality_history.Record(definition.data_rack, is_near, now);
}

}  // namespace berylgauge::workflow
