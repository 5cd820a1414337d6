#include "daemon/entry/plan_maker.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "daemon/common/random_incarnation.h"
#include "daemon/entry/config_stream.h"
#include "daemon/entry/intent.h"
#include "daemon/entry/share_map.h"
#include "daemon/entry/worker_directory.h"
#include "daemon/entry/worker_view_of.h"
#include "schedule/drain_planner.h"

namespace berylgauge {
namespace {

std::string Name(const AttemptKey& key) { return key.task.value(); }

std::vector<std::string> Names(const std::vector<AttemptKey>& keys) {
  std::vector<std::string> names;
  names.reserve(keys.size());
  for (const AttemptKey& key : keys) names.push_back(Name(key));
  return names;
}

PlanId NewPlanId() {
  return PlanId(std::string("plan-") + absl::StrCat(absl::Hex(RandomIncarnation(), absl::kZeroPad16)));
}

}  // namespace

PlanMaker::PlanMaker(const Clock& clock, const ConfigStream& config, const ShareMap& shares,
                     const WorkerDirectory& workers)
    : m_clock(clock), m_config(config), m_shares(shares), m_workers(workers) {}

Result<Plan> PlanMaker::Make(const Intent& intent) const {
  const MonotonicTime now = m_clock.Now();
  if (const Result<void> named = CheckNames(intent, now); !named) return tl::make_unexpected(named.error());
  Plan plan;
  plan.proposal.plan = NewPlanId();
  plan.proposal.operator_name = intent.operator_name;
  plan.proposal.proposed_unix_ms = absl::ToUnixMillis(m_clock.WallNow());
  plan.proposal.commands = nlohmann::json::array();
  plan.changes = nlohmann::json::array();
  m_config.state().Read([&](const ConfigState& config) {
    plan.proposal.based_on = config.version();
    for (const std::unique_ptr<ConfigCommand>& command : intent.commands) {
      plan.proposal.commands.push_back(command->ToJson());
      plan.changes.push_back(
          {{"target", command->Target()}, {"from", command->Current(config)}, {"to", command->Next()}});
    }
    return 0;
  });
  if (!intent.drained_zone.empty() || !intent.drained_worker.empty()) AddDrain(intent, now, plan);
  return plan;
}

Result<void> PlanMaker::CheckNames(const Intent& intent, MonotonicTime now) const {
  const std::vector<WorkerDirectory::Entry> workers = m_workers.Workers(now);
  const auto is_in = [](const auto& map, const auto& key) { return map.find(key) != map.end(); };
  const bool zone_known =
      intent.named_zone.empty() ||
      std::any_of(workers.begin(), workers.end(),
                  [&](const auto& entry) { return entry.last.availability_zone == intent.named_zone; }) ||
      m_config.state().Read([&](const ConfigState& config) { return is_in(config.zones(), intent.named_zone); });
  if (!zone_known) {
    return NotRun(FailureCode::kNotFound, "no worker is known in availability zone " + intent.named_zone.value(),
                  "$.target");
  }
  const bool worker_known =
      intent.named_worker.empty() ||
      std::any_of(workers.begin(), workers.end(),
                  [&](const auto& entry) { return entry.last.worker == intent.named_worker; }) ||
      m_config.state().Read([&](const ConfigState& config) { return is_in(config.workers(), intent.named_worker); });
  if (!worker_known) return NotRun(FailureCode::kNotFound, "unknown worker " + intent.named_worker.value(), "$.target");
  return {};
}

void PlanMaker::AddDrain(const Intent& intent, MonotonicTime now, Plan& plan) const {
  std::vector<WorkerView> views;
  for (const WorkerDirectory::Entry& entry : m_workers.Workers(now)) {
    views.push_back(m_config.state().Read([&](const ConfigState& config) { return WorkerViewOf(entry, config); }));
  }
  std::vector<RunningAttempt> attempts;
  for (const std::unique_ptr<ShareRunner>& runner : m_shares.runners()) {
    runner->state().Read([&](const JobsState& jobs) {
      for (const TaskId& id : jobs.live()) {
        JobId job_id;
        std::size_t index = 0;
        if (!ParseTaskId(id, &job_id, &index)) continue;
        const Job* job = jobs.FindJob(job_id);
        const Task& task = job->tasks[index];
        attempts.push_back({.key = {.task = id, .attempt = task.attempt},
                            .worker = task.worker,
                            .kind = TaskKind::kBatch,
                            .job_class = job->spec.job_class,
                            .team = job->spec.team,
                            .booked = job->spec.resources,
                            .importance = static_cast<int>(job->spec.importance)});
      }
      return 0;
    });
  }
  absl::BitGen random;
  const DrainTarget target{.zone = intent.drained_zone, .worker = intent.drained_worker};
  const DrainPlan drain = DrainPlanner().Plan(views, attempts, target, random);
  plan.moves = Names(drain.moves);
  plan.evictions = Names(drain.evictions);
  plan.waiting = Names(drain.waiting);
  for (const DrainUnmet& unmet : drain.unmet) {
    plan.unmet.push_back(Name(unmet.key) + ": " + std::string(kDrainUnmetReasonNames.NameOf(unmet.reason)));
  }
  plan.duration_s = absl::ToInt64Seconds(drain.duration);
  plan.lost_work_s = absl::ToInt64Seconds(drain.lost_work);
}

}  // namespace berylgauge
