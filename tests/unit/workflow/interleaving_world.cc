#include "interleaving_world.h"

#include <algorithm>
#include <utility>

#include "control/ownership_policy.h"
#include "workflow/job_codec.h"
#include "workflow/record_keys.h"
#include "workflow/step_progress.h"
#include "workflow/task_name.h"

namespace berylgauge::workflow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr int kWorkers = 3;
constexpr int kFirstStepTasks = 2;
constexpr std::int64_t kTaskCpuMillis = 1000;
/// Length of a lease at the workers, as the owner's options say unless they are broken.
constexpr std::int64_t kLeaseMs = 4500;
/// The platform's longest lease; a call with the clock of a former life can reach it.
constexpr std::int64_t kLongestLeaseMs = 10'000;
/// A former owner that is cut off from the store grants leases for less than this.
constexpr absl::Duration kFormerOwnerGrants = absl::Milliseconds(4400);
/// After this an agent gives a start without an answer up.
constexpr absl::Duration kStartLimit = absl::Milliseconds(1500);
/// An owner sends orders again that had no answer.
constexpr absl::Duration kOrderPause = absl::Milliseconds(200);
/// Longest time until an agent hears of a worker after a start of either, in steps.
constexpr int kAnnouncementSteps = 15;
/// Longest time for which a worker is down, in steps.
constexpr int kDownSteps = 20;
/// A worker that starts again and is cut off is down for this time at most, in steps.
constexpr int kShortDownSteps = 8;
/// It goes down this long after calls to it lose their answers, and is cut off this long after it is back, at most.
constexpr int kLongestStartSteps = 10;
constexpr int kStepsToCut = 20;
/// Time between two such workers, and of each run.
constexpr absl::Duration kRestartInterval = absl::Seconds(12);
constexpr absl::Duration kLongRun = absl::Seconds(15);
/// In a world of such workers a job is submitted in one step of so many.
constexpr int kStepsOfSubmission = 30;
/// Calls are carried out this late at most, in steps.
constexpr int kLateSteps = 60;
/// The same for the owner, with the time for which an agent repeats a start and for the way of its order.
constexpr absl::Duration kLateCallLimit = absl::Milliseconds(8500);
/// A worker whose agent has reported within this time was not cut off for long.
constexpr absl::Duration kCalm = absl::Seconds(1);
/// A worker lists at most so many ends at a time.
constexpr std::size_t kListedEnds = 2;
/// Agents report the ends of a life for this long after it.
constexpr absl::Duration kPastEndsKept = absl::Seconds(15);
/// Some owners end this long after their claim at most, in steps.
constexpr int kShortOwnerSteps = 20;
/// In worlds with few events one step in so many has one.
constexpr int kStepsOfEvent = 4;
/// The last lists of a worker arrive this long after its message of leaving at most, in steps.
constexpr int kLastListsSteps = 16;
/// The clock of a life begins below this.
constexpr int kFirstClockMs = 2000;

/// A member of a gang waits this long for the other one.
constexpr absl::Duration kGangPatience = absl::Seconds(5);
/// After this time without a new fault no former one has an effect.
constexpr absl::Duration kFaultsPast = absl::Seconds(15);

/// The second step of every third job is a gang of two.
bool HasGang(const std::string& job) { return std::stoi(job.substr(1)) % 3 == 0; }

bool IsSecondStep(const std::string& task) { return task.find(".0.1.") != std::string::npos; }

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

bool IsGangMember(const std::string& task) { return IsSecondStep(task) && HasGang(JobOf(task)); }

/// What ends as done together: a gang or one task.
std::string UnitOf(const std::string& task) { return IsGangMember(task) ? task.substr(0, task.rfind('.')) : task; }

JobDefinition TwoStepJob(const std::string& id) {
  JobDefinition job;
  job.id = id;
  job.queue = {.name = "q", .service = "s", .max_attempts = 1000};
  StepDefinition first{.task_count = kFirstStepTasks, .demand = {.cpu_millis = kTaskCpuMillis, .memory_mb = 100}};
  StepDefinition second = first;
  second.gang = HasGang(id);
  second.task_count = second.gang ? 2 : 1;
  second.after = {0};
  job.steps = {first, second};
  return job;
}

}  // namespace

InterleavingWorld::InterleavingWorld(std::uint64_t seed, WorldFaults faults, Breakage breakage)
    : m_random(seed), m_faults(faults), m_breakage(breakage), m_has_few_events(Random(3) == 0) {
  for (int i = 0; i < kWorkers; ++i) {
    Worker worker;
    worker.host = "agent-" + std::to_string(i);
    worker.life.worker = "w" + std::to_string(m_next_id++);
    worker.clock_rate = i == 0 ? 0.98 : 1;
    GiveBirth(worker);
    worker.announced_at = m_now;
    m_workers.push_back(std::move(worker));
  }
  m_claimed_at = m_now;
  m_owner_record = {.epoch = m_epoch, .holder = "owner", .is_sole = true};
  m_scheduler = std::make_unique<Scheduler>(Options(), m_now);
}

SchedulerOptions InterleavingWorld::Options() const {
  SchedulerOptions options;
  options.former_owner_grants = m_former_owner_grants;
  options.late_call_limit = m_breakage == Breakage::kNoLateCalls ? absl::ZeroDuration() : kLateCallLimit;
  if (m_breakage == Breakage::kNoWaitForFormerOwner) {
    options.former_owner_grants = -options.lease * options.clock_tolerance;
  }
  if (m_breakage == Breakage::kLeaseTooShort) options.lease = absl::Seconds(1);
  if (m_breakage == Breakage::kNoFormerLeases) options.longest_lease = options.lease;
  return options;
}

void InterleavingWorld::Step() {
  RandomEvent();
  Tick();
}

void InterleavingWorld::Heal() {
  m_healed = true;
  m_healed_at = m_now;
  m_lost_answers = 0;
  m_lose_batch = false;
  for (int i = 0; i < 400; ++i) {
    for (int job = 0; i == 200 && job < 6; ++job) SubmitJob();
    EndRunsAfter(absl::Milliseconds(500));
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
  if (m_now >= m_owner_ends_at) RestartOwner();
  for (Worker& worker : m_workers) {
    if (!worker.is_up && m_now >= worker.born_at) GiveBirth(worker);
    if (worker.agent.is_leaving && m_now >= worker.agent.last_ends_at) EndLeave(worker);
    if (m_now < worker.former_owner_until) TakeTurnForFormerOwner(worker);
    Lapse(worker);
  }
  PlayGangs();
  CarryOutLateCalls();
  GiveUpStarts();
  for (Worker& worker : m_workers) {
    if (IsConnected(worker)) TakeTurn(worker);
  }
  m_scheduler->Advance(m_now, absl::ToInt64Milliseconds(m_now.SinceBoot()));
  for (const StartOrder& order : m_scheduler->TakeRepeatedStarts()) {
    m_scheduler->OnStartSent(order, m_now);
    Send(order);
  }
  for (StopOrder& order : m_scheduler->TakeStops()) m_stops.push_back(std::move(order));
  DeliverStops();
  StoreBatch();
  m_owner_record.is_sole = IsSoleOwner();
}

void InterleavingWorld::RandomEvent() {
  if (m_faults == WorldFaults::kRestartsAndCuts) {
    EndRunsAfter(kLongRun);
    if (m_now >= m_next_restart) {
      m_next_restart = m_now + kRestartInterval;
      RestartAndCutWorker();
    } else if (Random(kStepsOfSubmission) == 0) {
      SubmitJob();
    }
    return;
  }
  if (m_has_few_events && Random(kStepsOfEvent) > 0) return;
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
  } else if (event < 53) {
    RestartWorker();
  } else if (event < 62) {
    m_lost_answers += 1 + Random(3);
  } else if (event < 64) {
    m_lose_batch = true;
  } else if (event < 68) {
    RestartAgent();
  } else if (event < 74) {
    LeaveWorker();
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
  const std::string task = run->first;
  if (kind == RunEndKind::kDone) {
    EndAsDone(worker, task);
  } else {
    ListEnd(worker, task, kind);
  }
}

void InterleavingWorld::EndRunsAfter(absl::Duration work) {
  for (Worker& worker : m_workers) {
    for (const auto& [task, begun] : std::map<std::string, MonotonicTime>(worker.begun)) {
      if (m_now - begun >= work) EndAsDone(worker, task);
    }
  }
}

void InterleavingWorld::EndAsDone(Worker& worker, const std::string& task) {
  if (!worker.runs.contains(task)) return;  // ended with the other member
  if (!IsGangMember(task)) {
    ListEnd(worker, task, RunEndKind::kDone);
    return;
  }
  const int run = worker.runs.at(task);
  const std::string other = UnitOf(task) + (task.back() == '0' ? ".1" : ".0");
  const auto beside = std::find_if(m_workers.begin(), m_workers.end(), [&](const Worker& at) {
    const auto found = at.runs.find(other);
    return found != at.runs.end() && found->second == run;
  });
  if (beside == m_workers.end()) return;
  m_complete_gangs.insert({UnitOf(task), run});
  ListEnd(worker, task, RunEndKind::kDone);
  if (Random(2) == 0) {
    ListEnd(*beside, other, RunEndKind::kDone);
    return;
  }
  ++m_single_gang_ends;
  beside->runs.erase(other);
  beside->begun.erase(other);
  beside->settled[other] = run;
}

void InterleavingWorld::PlayGangs() {
  std::map<std::pair<std::string, int>, std::map<std::string, Worker*>> gangs;
  for (Worker& worker : m_workers) {
    for (const auto& [task, run] : worker.runs) {
      if (IsGangMember(task)) gangs[{UnitOf(task), run}][task] = &worker;
    }
  }
  for (const auto& [gang, members] : gangs) {
    if (members.size() > 1) {
      m_complete_gangs.insert(gang);
      continue;
    }
    const auto& [task, worker] = *members.begin();
    const MonotonicTime begun = worker->begun.at(task);
    if (m_complete_gangs.contains(gang)) {
      ListEnd(*worker, task, RunEndKind::kBroken);
    } else if (m_now - begun > kGangPatience) {
      ListEnd(*worker, task, RunEndKind::kAlone);
      const bool is_calm = m_healed && begun - m_healed_at > kFaultsPast;
      if (is_calm && !m_cancelled.contains(JobOf(task))) m_violations.push_back("alone: " + task);
    }
  }
}

void InterleavingWorld::RestartOwner() {
  const bool is_hidden = std::any_of(m_workers.begin(), m_workers.end(),
                                     [&](const Worker& worker) { return m_now < worker.former_owner_until; });
  if (is_hidden) ++m_hidden_owners;
  TakeOver(true);
}

void InterleavingWorld::TakeOver(bool has_ended) {
  m_owner_ends_at = Random(3) == 0 ? m_now + (1 + Random(kShortOwnerSteps)) * kTick : InfiniteFuture();
  ++m_takeovers;
  ++m_epoch;
  OwnerRecord former = m_owner_record;
  if (m_breakage == Breakage::kEndOfRecordedOwnerIsAll) former.is_sole = true;
  m_former_owner_grants = control::GrantsOfFormerOwners(former, has_ended, SchedulerOptions().former_owner_grants);
  m_owner_record = {.epoch = m_epoch, .holder = "owner", .is_sole = m_former_owner_grants == absl::ZeroDuration()};
  m_stops.clear();
  m_unanswered.clear();
  m_claimed_at = m_now;
  m_scheduler = std::make_unique<Scheduler>(Options(), m_now);
  const std::int64_t unix_now_ms = absl::ToInt64Milliseconds(m_now.SinceBoot());
  m_index.ForEachJob(
      [&](const std::string& id, const JobIndex::Job& job) { m_scheduler->AddJob(id, job, m_now, unix_now_ms); });
}

void InterleavingWorld::ReplaceOwner() {
  TakeOver(false);
  for (Worker& worker : m_workers) {
    if (Random(3) > 0) continue;
    // Only the former owner reaches it; it does not know of its successor.
    worker.former_owner_until = m_now + kFormerOwnerGrants;
    worker.former_epoch = m_epoch - 1;
    worker.cut_until = std::max(worker.cut_until, m_now + absl::Seconds(5 + Random(8)));
    UnnotePastEnds(worker);
  }
}

void InterleavingWorld::RestartWorker() {
  Worker& worker = AnyWorker();
  if (!worker.is_up) return;
  Die(worker);
  if (Random(3) > 0) worker.born_at = m_now + (1 + Random(kDownSteps)) * kTick;
}

void InterleavingWorld::LeaveWorker() {
  Worker& worker = AnyWorker();
  Agent& agent = worker.agent;
  const bool is_known =
      worker.is_up && agent.is_confirmed && !agent.is_leaving && !agent.is_other && agent.life == worker.life;
  if (!is_known) return;
  agent.last_ends = ListedEnds(worker);
  // After a longer cut an owner may have given the runs up.
  const bool is_calm = IsConnected(worker) && m_now - worker.reported_at <= kCalm;
  for (const RunEnd& end : agent.last_ends) {
    if (!is_calm) break;
    if (end.kind == RunEndKind::kDone && end.number > worker.void_ends) agent.listed_done.insert(end.task);
  }
  Die(worker);
  worker.has_left = true;
  worker.left_at = m_now;
  agent.is_leaving = true;
  agent.last_ends_at = m_now + Random(kLastListsSteps + 1) * kTick;
  worker.born_at = agent.last_ends_at + (1 + Random(kDownSteps)) * kTick;
  if (m_breakage != Breakage::kGoneAtOnce) return;
  agent.last_ends = agent.read_ends;
  EndLeave(worker);
}

void InterleavingWorld::EndLeave(Worker& worker) {
  Agent& agent = worker.agent;
  const bool has_news = !agent.last_ends.empty() &&
                        (agent.read_ends.empty() || agent.read_ends.back().number < agent.last_ends.back().number);
  if (has_news && m_now > worker.left_at) ++m_late_lists;
  agent.read_ends = std::exchange(agent.last_ends, {});
  agent.is_leaving = false;
  agent.is_gone = true;
  agent.late_calls = {};  // no worker has that id again
}

void InterleavingWorld::RestartAgent() {
  Worker& worker = AnyWorker();
  UnnotePastEnds(worker);
  const Incarnation incarnation = worker.agent.incarnation + 1;
  worker.agent = {};
  worker.agent.incarnation = incarnation;
  worker.agent.begun_at = m_now;
  worker.announced_at = std::max(worker.announced_at, m_now + (1 + Random(kAnnouncementSteps)) * kTick);
  for (UnansweredStart& start : m_unanswered) {
    if (start.order.agent != worker.host) continue;
    start.is_repeated = true;
    start.given_up_at = m_now + kOrderPause;
  }
}

void InterleavingWorld::CutWorker() {
  Worker& worker = AnyWorker();
  worker.cut_until = m_now + absl::Milliseconds(500 + 100 * Random(80));
  UnnotePastEnds(worker);
}

void InterleavingWorld::RestartAndCutWorker() {
  const std::string host = AnyWorker().host;
  m_lost_answers += 1 + Random(2);
  const MonotonicTime down_at = m_now + (1 + Random(kLongestStartSteps)) * kTick;
  const MonotonicTime born_at = down_at + (1 + Random(kShortDownSteps)) * kTick;
  const bool is_cut_before = Random(2) == 0;
  const MonotonicTime cut_at = is_cut_before ? down_at : born_at + (2 + Random(kStepsToCut)) * kTick;
  const absl::Duration cut = absl::Milliseconds(5000 + 100 * Random(110));
  CallAt(down_at, [this, host, born_at] {
    Worker& worker = At(host);
    if (!worker.is_up || worker.agent.life != worker.life) return;
    const HoldCall hold{.call = {.life = worker.agent.life, .token = TokenFor(worker, m_epoch)},
                        .until_ms = worker.agent.until_ms};
    Die(worker);
    worker.born_at = born_at;
    CallAt(born_at + kTick, [this, host, hold] { CarryOutHold(At(host), hold); });
  });
  CallAt(cut_at, [this, host, cut] {
    Worker& worker = At(host);
    worker.cut_until = std::max(worker.cut_until, m_now + cut);
    UnnotePastEnds(worker);
  });
  if (Random(3) > 0) m_owner_ends_at = std::min(m_owner_ends_at, cut_at + Random(kStepsToCut) * kTick);
}

// ---- Agents

void InterleavingWorld::Hear(Worker& worker, std::int64_t epoch) {
  if (!worker.is_up || m_now < worker.announced_at || worker.agent.life == worker.life) return;
  const Agent former = std::exchange(worker.agent, {});
  worker.agent.incarnation = former.incarnation;
  worker.agent.epoch = former.epoch;
  worker.agent.listed_done = former.listed_done;
  worker.agent.passed_on = former.passed_on;
  worker.agent.kept_ends = former.kept_ends;
  worker.agent.begun_at = former.begun_at;
  worker.agent.late_calls = former.late_calls;
  worker.agent.knows_former_calls = former.knows_former_calls;
  KeptEnds kept{.past = {.life = former.life, .ends = former.read_ends}, .kept_until = m_now + kPastEndsKept};
  std::erase_if(kept.past.ends, [&](const RunEnd& end) { return end.number <= former.last_seen; });
  if (!kept.past.ends.empty()) worker.agent.kept_ends.push_back(std::move(kept));
  worker.agent.life = worker.life;
  if (m_breakage == Breakage::kAcknowledgeFormerLife) worker.agent.last_seen = former.last_seen;
  TokenFor(worker, epoch);
}

InterleavingWorld::Token InterleavingWorld::TokenFor(const Worker& worker, std::int64_t epoch) {
  auto& [life, number] = m_numbers[{worker.host, epoch}];
  if (life != worker.agent.life) {
    life = worker.agent.life;
    ++number;
  }
  return {.epoch = epoch, .number = m_breakage == Breakage::kTokenOfOwnerOnly ? 0 : number};
}

void InterleavingWorld::TakeTurn(Worker& worker) {
  worker.former_owner_until = m_now;  // agents refuse an owner after they have heard of a newer one
  NotePastEnds(worker);
  FollowOwner(worker.agent, m_epoch);
  Hear(worker, m_epoch);
  Agent& agent = worker.agent;
  if (agent.is_gone && !worker.is_up) agent.late_calls.RemoveSentUntil(m_now - kLateCalls);
  const bool is_refused = !worker.is_up && !agent.is_leaving && !agent.life.worker.empty();
  if (is_refused && Random(3) == 0) agent.is_gone = true;
  if (agent.life.worker.empty() || agent.is_other || !agent.is_confirmed) {
    ReportPastEnds(worker);
  } else if (agent.is_gone) {
    Report(worker, WorkerCondition::kGone);
  } else if (agent.is_leaving) {
    agent.last_report.condition = WorkerCondition::kDraining;
    agent.last_report.past_ends = PastEndsOf(agent);
    ReportLateCalls(agent, agent.last_report);
    m_scheduler->OnReport(worker.host, agent.last_report, m_now);
  }
  if (!worker.is_up || agent.is_gone || agent.life.worker.empty() || agent.is_other) return;
  if (m_breakage == Breakage::kOrdersBeforeFirstList && !agent.is_confirmed) {
    Confirm(worker);
    Report(worker, WorkerCondition::kReady);
    return;
  }
  if (IsFault(4)) return;  // waits for an answer
  const PoolWorker* known = m_scheduler->FindWorker(worker.host);
  if (agent.is_confirmed && known != nullptr && known->life == agent.life) {
    const bool notes_at_once = m_breakage == Breakage::kNoteAtOnce;
    agent.last_seen =
        std::max(agent.last_seen, notes_at_once ? known->ends_durable : m_scheduler->NotableEnds(*known, m_now));
    agent.until_ms = std::max(agent.until_ms, m_scheduler->LeaseEndFor(*known));
  }
  // Until the life has answered, it may be another one than the one that the numbers are about.
  const bool has_numbers = agent.is_confirmed || m_breakage == Breakage::kAcknowledgeFormerLife;
  const HoldCall hold{.call = {.life = agent.life, .token = TokenFor(worker, m_epoch)},
                      .last_seen = has_numbers ? NotableEnds(agent) : 0,
                      .until_ms = has_numbers ? agent.until_ms : 0};
  if (IsFault(12)) {
    CallLate([this, host = worker.host, hold] { CarryOutHold(At(host), hold); });
    return;
  }
  if (!IsReached(worker, agent.life) || !CarryOutHold(worker, hold) || worker.life != agent.life) {
    agent.is_other = true;
    return;
  }
  Confirm(worker);
  Report(worker, WorkerCondition::kReady);
}

void InterleavingWorld::Confirm(Worker& worker) const {
  Agent& agent = worker.agent;
  agent.is_confirmed = true;
  agent.confirmed_at = std::min(agent.confirmed_at, m_now);
  if (!ListsAllEnds(worker)) return;
  agent.late_calls.RemoveSentUntil(m_now - kLateCalls);
  agent.late_calls.RemoveOtherWorkers({}, agent.life.worker);
  agent.knows_former_calls = agent.knows_former_calls || m_now - agent.begun_at >= kLateCalls;
}

void InterleavingWorld::FollowOwner(Agent& agent, std::int64_t epoch) const {
  if (std::exchange(agent.epoch, epoch) != epoch) agent.is_confirmed = false;
}

void InterleavingWorld::TakeTurnForFormerOwner(Worker& worker) {
  FollowOwner(worker.agent, worker.former_epoch);
  Hear(worker, worker.former_epoch);
  Agent& agent = worker.agent;
  if (agent.life.worker.empty() || agent.is_other || agent.is_gone || !worker.is_up) return;
  const Call call{.life = agent.life, .token = TokenFor(worker, worker.former_epoch)};
  if (agent.is_confirmed && agent.life == worker.life) agent.until_ms = ClockOf(worker) + kLeaseMs;
  const HoldCall hold{.call = call, .last_seen = NotableEnds(agent), .until_ms = agent.until_ms};
  const bool is_answered = IsReached(worker, agent.life) && CarryOutHold(worker, hold);
  agent.is_other = worker.life != agent.life;
  if (is_answered && !agent.is_other) Confirm(worker);
}

void InterleavingWorld::Report(Worker& worker, WorkerCondition condition) {
  WorkerReport report;
  report.agent_incarnation = worker.agent.incarnation;
  report.life = worker.agent.life;
  report.condition = condition;
  report.service = "s";
  report.zone = "z";
  report.capacity = worker.capacity;
  report.past_ends = PastEndsOf(worker.agent);
  ReportLateCalls(worker.agent, report);
  if (condition == WorkerCondition::kGone) {
    if (m_breakage != Breakage::kForgetReadEnds) report.ends = worker.agent.read_ends;
    m_scheduler->OnReport(worker.host, report, m_now);
    return;
  }
  report.worker_clock_ms = ClockOf(worker);
  report.confirmed_ms = absl::ToInt64Milliseconds(m_now - worker.agent.confirmed_at);
  report.has_runs = true;
  // Before the first call of this life the agent has its announcement only.
  if (worker.has_own_token) {
    for (const auto& [task, run] : worker.runs) report.runs.push_back({.task = task, .run = run, .checkpoint = {}});
    report.ends = ListedEnds(worker);
    for (RunEnd& end : report.ends) {
      const bool is_broken = m_breakage == Breakage::kGangEndIsBroken && IsGangMember(end.task);
      if (is_broken && end.kind == RunEndKind::kDone) end.kind = RunEndKind::kBroken;
    }
    worker.agent.read_ends = report.ends;
    if (!ListsAllEnds(worker)) {
      ++m_cut_lists;
      report.has_all_ends = m_breakage == Breakage::kCutListIsWhole;
    }
    worker.lease_end_ms = std::max(worker.lease_end_ms, report.worker_clock_ms + kLeaseMs);
  }
  m_scheduler->OnReport(worker.host, report, m_now);
  worker.agent.last_report = report;
  worker.reported_at = m_now;
  if (m_breakage != Breakage::kAcknowledgeBeforeDurable) return;
  Acknowledge(worker, m_scheduler->FindWorker(worker.host)->ends_applied);
}

void InterleavingWorld::ReportPastEnds(Worker& worker) {
  WorkerReport report{.announced = worker.agent.life, .is_announced_gone = worker.agent.is_gone};
  report.past_ends = PastEndsOf(worker.agent);
  ReportLateCalls(worker.agent, report);
  m_scheduler->OnReport(worker.host, report, m_now);
}

std::int64_t InterleavingWorld::NotableEnds(const Agent& agent) const {
  std::int64_t notable = agent.last_seen;
  for (const RunEnd& end : agent.read_ends) {
    const bool is_held = end.kind == RunEndKind::kDone && agent.late_calls.HasAny(end.task, m_now - kLateCalls);
    if (is_held && m_breakage != Breakage::kNoteAtOnce) notable = std::min(notable, end.number - 1);
  }
  return notable;
}

void InterleavingWorld::ReportLateCalls(const Agent& agent, WorkerReport& report) const {
  report.late_calls.clear();
  for (const LateCall& call : agent.late_calls.CallsIf([](const LateCall&) { return true; })) {
    report.late_calls.push_back({.task = call.task,
                                 .run = call.run,
                                 .worker = call.worker,
                                 .age_ms = absl::ToInt64Milliseconds(m_now - call.sent_at)});
  }
  report.calls_known_ms = absl::ToInt64Milliseconds(m_now - agent.begun_at);
  report.knows_former_calls = agent.knows_former_calls;
}

std::vector<PastEnds> InterleavingWorld::PastEndsOf(Agent& agent) const {
  std::erase_if(agent.kept_ends, [&](const KeptEnds& kept) { return kept.kept_until <= m_now; });
  std::vector<PastEnds> past_ends;
  if (m_breakage == Breakage::kForgetReadEnds) return past_ends;
  for (const KeptEnds& kept : agent.kept_ends) past_ends.push_back(kept.past);
  const bool is_over = agent.is_other || (agent.is_gone && !agent.is_confirmed);
  if (is_over && !agent.read_ends.empty()) past_ends.push_back({.life = agent.life, .ends = agent.read_ends});
  return past_ends;
}

void InterleavingWorld::NotePastEnds(Worker& worker) {
  Agent& agent = worker.agent;
  m_past_ends += static_cast<int>(agent.listed_done.size());
  agent.passed_on.merge(std::exchange(agent.listed_done, {}));
  // No later fault of the agent can undo what is stored.
  std::erase_if(agent.passed_on, [&](const std::string& task) {
    if (!IsRecordedDone(task)) return false;
    m_noted_units.insert(UnitOf(task));
    return true;
  });
}

bool InterleavingWorld::IsNoted(const std::string& unit) const {
  return m_noted_units.contains(unit) || std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) {
           const std::set<std::string>& tasks = worker.agent.passed_on;
           return std::any_of(tasks.begin(), tasks.end(),
                              [&](const std::string& task) { return UnitOf(task) == unit; });
         });
}

bool InterleavingWorld::IsRecordedDone(const std::string& task) const {
  const std::optional<TaskName> name = TaskName::Parse(task);
  const JobIndex::Job* job = m_index.Find(name->step.job);
  if (job == nullptr) return false;
  const auto step = job->steps.find(name->step.ToString());
  if (step == job->steps.end()) return false;
  const int count = TwoStepJob(name->step.job).steps[static_cast<std::size_t>(name->step.step)].task_count;
  return (*DecodeStepProgress(step->second, count))[static_cast<std::size_t>(name->index)].state == TaskState::kDone;
}

void InterleavingWorld::UnnotePastEnds(Worker& worker) {
  worker.agent.listed_done.clear();
  worker.agent.passed_on.clear();
}

std::vector<RunEnd> InterleavingWorld::ListedEnds(const Worker& worker) const {
  const std::size_t listed = std::min(worker.ends.size(), kListedEnds);
  return {worker.ends.begin(), worker.ends.begin() + static_cast<std::ptrdiff_t>(listed)};
}

bool InterleavingWorld::ListsAllEnds(const Worker& worker) const { return worker.ends.size() <= kListedEnds; }

bool InterleavingWorld::IsEndListed(const Worker& worker, const StopOrder& order) const {
  const std::vector<RunEnd> listed = ListedEnds(worker);
  const bool is_listed = std::any_of(listed.begin(), listed.end(),
                                     [&](const RunEnd& end) { return end.task == order.task && end.run == order.run; });
  return is_listed || (!ListsAllEnds(worker) && m_breakage != Breakage::kCutListIsWhole);
}

StartAnswer InterleavingWorld::CallStart(Worker& worker, const StartOrder& order, std::int64_t until_ms) {
  const bool is_unanswered = worker.agent.unanswered.contains({order.task, order.run});
  if (!IsReached(worker, order.life)) {
    worker.agent.is_other = true;
    // After a call without an answer no refusal is final.
    return {.refusal = is_unanswered ? StartRefusal::kEnded : StartRefusal::kOtherLife};
  }
  StartAnswer answer{.clock_ms = ClockOf(worker)};
  if (!Begin(worker, {.life = order.life, .token = TokenFor(worker, m_epoch)}, order, until_ms)) {
    answer.refusal = StartRefusal::kEnded;
    return answer;
  }
  answer.is_settled = !is_unanswered;
  return answer;
}

bool InterleavingWorld::CallStop(Worker& worker, const StopOrder& order) {
  const Call call{.life = order.life, .token = TokenFor(worker, m_epoch)};
  if (IsFault(8)) {
    CallLate([this, order, call] { CarryOutStop(At(order.agent), call, order.task, order.run); });
    return false;
  }
  if (IsReached(worker, order.life)) CarryOutStop(worker, call, order.task, order.run);
  // A list follows the stop, and names the life.
  worker.agent.is_other = worker.life != order.life;
  return !worker.agent.is_other;
}

// ---- Workers

void InterleavingWorld::Die(Worker& worker) {
  worker.has_had_token = worker.has_had_token || worker.has_own_token;
  worker.is_up = false;
  worker.born_at = m_now;
  worker.highest_token = {};
  worker.has_own_token = false;
  worker.lease_end_ms = 0;
  worker.runs.clear();
  worker.begun.clear();
  worker.settled.clear();
  worker.ends.clear();
  worker.repeated_ends.clear();
  worker.last_end = 0;
  worker.void_ends = 0;
}

void InterleavingWorld::GiveBirth(Worker& worker) {
  worker.is_up = true;
  worker.born_at = m_now;
  worker.first_clock_ms = 1 + Random(kFirstClockMs);
  worker.life.born = m_next_born++;
  const bool has_other_id = worker.has_had_token && Random(5) == 0;
  if (has_other_id || std::exchange(worker.has_left, false)) worker.life.worker = "w" + std::to_string(m_next_id++);
  worker.announced_at = m_now + Random(kAnnouncementSteps + 1) * kTick;
}

bool InterleavingWorld::Admit(Worker& worker, const Call& call) {
  if (!worker.is_up || worker.life.worker != call.life.worker || call.token < worker.highest_token) return false;
  worker.highest_token = call.token;
  if (call.life == worker.life) worker.has_own_token = true;
  return true;
}

bool InterleavingWorld::CarryOutHold(Worker& worker, const HoldCall& hold) {
  if (!Admit(worker, hold.call)) return false;
  ExtendLease(worker, hold.until_ms);
  // Left out, because no owner can prevent it: before its first token a life carries a start of the former one out, and
  // then an acknowledgement of the former one that covers the end.
  if (worker.has_own_token || worker.last_end == 0) Acknowledge(worker, hold.last_seen);
  return true;
}

void InterleavingWorld::CarryOutStop(Worker& worker, const Call& call, const std::string& task, int run) {
  if (!Admit(worker, call)) return;
  const auto running = worker.runs.find(task);
  if (running != worker.runs.end() && running->second == run) ListEnd(worker, task, RunEndKind::kStopped);
  int& settled = worker.settled[task];
  settled = std::max(settled, run);
}

void InterleavingWorld::Acknowledge(Worker& worker, std::int64_t number) {
  std::erase_if(worker.ends, [&](const RunEnd& end) {
    if (end.number > number) return false;
    if (end.kind != RunEndKind::kDone || end.number <= worker.void_ends) return true;
    m_noted_units.insert(UnitOf(end.task));
    if (worker.repeated_ends.contains(end.number)) {
      m_violations.push_back("ran again before its end was noted: " + end.task);
    }
    return true;
  });
}

void InterleavingWorld::ExtendLease(Worker& worker, std::int64_t until_ms) {
  worker.lease_end_ms = std::max(worker.lease_end_ms, std::min(until_ms, ClockOf(worker) + kLongestLeaseMs));
}

void InterleavingWorld::Lapse(Worker& worker) {
  if (ClockOf(worker) > worker.lease_end_ms) LapseRuns(worker);
}

void InterleavingWorld::LapseRuns(Worker& worker) {
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

bool InterleavingWorld::Begin(Worker& worker, const Call& call, const StartOrder& order, std::int64_t until_ms) {
  if (!Admit(worker, call) || ClockOf(worker) > until_ms) return false;
  ExtendLease(worker, until_ms);
  const auto present = worker.runs.find(order.task);
  if (present != worker.runs.end()) return present->second == order.run;
  const auto settled = worker.settled.find(order.task);
  if (settled != worker.settled.end() && order.run <= settled->second) return false;
  if (call.life != worker.life) {
    ++m_strayed_starts;
    const PoolWorker* known = m_scheduler->FindWorker(worker.host);
    const bool is_placed =
        known != nullptr && std::any_of(known->runs.begin(), known->runs.end(), [&](const auto& held) {
          return held.first.step->TaskNameOf(held.first.index) == order.task &&
                 held.first.step->tasks[static_cast<std::size_t>(held.first.index)].run == order.run;
        });
    if (!is_placed) ++m_revived_runs;
  }
  CheckBegin(order.task);
  worker.runs[order.task] = order.run;
  worker.begun[order.task] = m_now;
  if (static_cast<std::int64_t>(worker.runs.size()) * kTaskCpuMillis > worker.capacity.cpu_millis) {
    m_violations.push_back("over capacity: " + worker.host);
  }
  return true;
}

void InterleavingWorld::CheckBegin(const std::string& task) {
  for (Worker& other : m_workers) {
    if (other.runs.contains(task)) m_violations.push_back("runs twice: " + task);
    for (const RunEnd& end : other.ends) {
      if (UnitOf(end.task) == UnitOf(task) && end.kind == RunEndKind::kDone) other.repeated_ends.insert(end.number);
    }
  }
  if (IsNoted(UnitOf(task))) m_violations.push_back("runs after its end was noted: " + task);
  for (int i = 0; IsSecondStep(task) && i < kFirstStepTasks; ++i) {
    if (!m_done_tasks.contains(JobOf(task) + ".0.0." + std::to_string(i))) m_violations.push_back("too early: " + task);
  }
}

// ---- Messages that are late or lost

void InterleavingWorld::CallAt(MonotonicTime at, std::function<void()> carry_out) {
  m_late.push_back({.carried_out_at = at, .carry_out = std::move(carry_out)});
}

void InterleavingWorld::CallLate(std::function<void()> carry_out) {
  CallAt(m_now + Random(kLateSteps) * kTick, std::move(carry_out));
}

void InterleavingWorld::CallStartLate(Worker& worker, const StartOrder& order, std::int64_t until_ms) {
  const Call call{.life = order.life, .token = TokenFor(worker, m_epoch)};
  worker.agent.unanswered.insert({order.task, order.run});
  worker.agent.late_calls.Add(
      {.task = order.task, .run = order.run, .agent = {}, .worker = order.life.worker, .sent_at = m_now});
  CallLate([this, order, call, until_ms] {
    Worker& worker = At(order.agent);
    if (Begin(worker, call, order, until_ms)) ++m_late_starts;
  });
}

void InterleavingWorld::CarryOutLateCalls() {
  std::vector<DelayedCall> due;
  std::erase_if(m_late, [&](DelayedCall& late) {
    if (late.carried_out_at > m_now) return false;
    due.push_back(std::move(late));
    return true;
  });
  for (const DelayedCall& late : due) late.carry_out();
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
      m_breakage == Breakage::kRefusalIsFinal ? StartRefusal::kUnhealthy : StartRefusal::kUnanswered;
  for (const UnansweredStart& start : given_up) {
    const StartOrder& order = start.order;
    Worker& worker = At(order.agent);
    if (start.is_repeated || !IsPresent(worker, order.life)) {
      RepeatStart(start);
      continue;
    }
    // The agent tries again, as long as it does not know that the run has ended or that its lease has lapsed.
    const bool is_tried = IsConnected(worker) && worker.is_up && !worker.agent.is_gone && Random(2) == 0 &&
                          (worker.life == order.life || m_scheduler->IsStarting(order));
    const StartAnswer answer = is_tried ? CallStart(worker, order, start.until_ms) : StartAnswer{.refusal = refusal};
    m_scheduler->OnStartAnswer(order.task, order.run, order.life, answer, m_now);
  }
}

void InterleavingWorld::RepeatStart(const UnansweredStart& start) {
  const StartOrder& order = start.order;
  if (!m_scheduler->IsStarting(order)) return;
  Worker& worker = At(order.agent);
  const bool is_unaware = !IsConnected(worker) || !IsPresent(worker, order.life);
  if (is_unaware && m_breakage == Breakage::kUnknownIsOtherLife) {
    m_scheduler->OnStartAnswer(order.task, order.run, order.life, {.refusal = StartRefusal::kOtherLife}, m_now);
    return;
  }
  if (is_unaware || !worker.is_up || worker.agent.is_gone) {
    if (is_unaware && IsConnected(worker)) m_scheduler->OnWorkerUnknown(order.life);
    m_unanswered.push_back({.order = order, .given_up_at = m_now + kOrderPause, .is_repeated = true});
    return;
  }
  ++m_repeated_starts;
  worker.agent.unanswered.insert({order.task, order.run});
  worker.agent.late_calls.Add({.task = order.task,
                               .run = order.run,
                               .agent = {},
                               .worker = order.life.worker,
                               .sent_at = worker.agent.begun_at});
  const PoolWorker* known = m_scheduler->FindWorker(worker.host);
  const std::int64_t until_ms = known == nullptr ? 0 : m_scheduler->LeaseEndFor(*known);
  m_scheduler->OnStartAnswer(order.task, order.run, order.life, CallStart(worker, order, until_ms), m_now);
}

void InterleavingWorld::DeliverStops() {
  std::vector<StopOrder> later;
  for (const StopOrder& order : std::exchange(m_stops, {})) {
    Worker& worker = At(order.agent);
    const PoolWorker* known = m_scheduler->FindWorker(order.agent);
    if (known == nullptr || known->life != order.life) continue;
    const bool is_reached = IsConnected(worker) && IsPresent(worker, order.life) && worker.is_up &&
                            !worker.agent.is_gone && !IsFault(4) && CallStop(worker, order);
    if (!is_reached) {
      later.push_back(order);
      continue;
    }
    m_scheduler->OnStopAnswer(order.task, order.run, order.life, IsEndListed(worker, order), m_now);
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
  if (m_breakage == Breakage::kGangInParts && IsGangMember(order.task) && order.task.back() == '1') return;
  Worker& worker = At(order.agent);
  const PoolWorker* known = m_scheduler->FindWorker(worker.host);
  const std::int64_t until_ms = known == nullptr ? 0 : m_scheduler->LeaseEndFor(*known);
  const bool is_present = IsPresent(worker, order.life);
  if (order.was_sent && (!is_present || worker.agent.is_gone)) {
    m_unanswered.push_back({.order = order, .until_ms = until_ms, .given_up_at = m_now, .is_repeated = true});
    return;
  }
  if (IsConnected(worker) && (!is_present || worker.agent.is_gone)) {
    // The first message with this start, so the owner knows that it had no effect.
    if (!is_present) m_scheduler->OnWorkerUnknown(order.life);
    m_scheduler->OnStartAnswer(order.task, order.run, order.life, {.refusal = StartRefusal::kLate}, m_now);
    return;
  }
  if (!IsConnected(worker) || !worker.is_up || m_lost_answers > 0) {
    m_lost_answers = std::max(0, m_lost_answers - 1);
    m_unanswered.push_back({.order = order, .until_ms = until_ms, .given_up_at = m_now + kStartLimit});
    // Connections to a process that is down are refused, and then nothing is carried out later.
    if (!is_present || !worker.is_up) return;
    CallStartLate(worker, order, until_ms);
    return;
  }
  m_scheduler->OnStartAnswer(order.task, order.run, order.life, CallStart(worker, order, until_ms), m_now);
}

std::int64_t InterleavingWorld::ClockOf(const Worker& worker) const {
  const double age_ms = absl::ToDoubleMilliseconds(m_now - worker.born_at);
  return worker.first_clock_ms + static_cast<std::int64_t>(worker.clock_rate * age_ms);
}

InterleavingWorld::Worker& InterleavingWorld::At(const std::string& host) {
  return *std::find_if(m_workers.begin(), m_workers.end(), [&](const Worker& worker) { return worker.host == host; });
}

InterleavingWorld::Worker& InterleavingWorld::AnyWorker() {
  return m_workers[static_cast<std::size_t>(Random(kWorkers))];
}

}  // namespace berylgauge::workflow
