#include "agent_model.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace berylgauge::testing {
namespace {

constexpr absl::Duration kCallLimit = absl::Milliseconds(1'500);
constexpr absl::Duration kFreshness = absl::Milliseconds(2'000);
constexpr absl::Duration kLease = absl::Seconds(6);
constexpr absl::Duration kGrace = absl::Seconds(40);
constexpr absl::Duration kAdoptedGrace = absl::Seconds(20);
constexpr Resources kFullCapacity{.cpu_millis = 8'000, .memory_mb = 16'000, .accelerators = 2, .slots = 6};
constexpr Resources kReserve{.cpu_millis = 500, .memory_mb = 1'000};

const WorkerId kWorker{"w1"};

struct Weight {
  StepKind kind;
  std::uint32_t weight;
};

constexpr std::array kWeights{
    Weight{StepKind::kStart, 14},         Weight{StepKind::kRepeat, 10},        Weight{StepKind::kWithdraw, 5},
    Weight{StepKind::kStop, 4},           Weight{StepKind::kTakeCommands, 16},  Weight{StepKind::kDeliverCall, 8},
    Weight{StepKind::kRequestReport, 10}, Weight{StepKind::kDeliverReport, 8},  Weight{StepKind::kRestartAgent, 1},
    Weight{StepKind::kRebootWorker, 1},   Weight{StepKind::kAdvance, 12},       Weight{StepKind::kHeartbeat, 18},
    Weight{StepKind::kChangeStanding, 2}, Weight{StepKind::kChangeCapacity, 1}, Weight{StepKind::kFinishTask, 4},
    Weight{StepKind::kGrowTask, 3},       Weight{StepKind::kAcknowledge, 5},
};

bool IsClosed(const WorkerStanding& standing) {
  return standing.zone_drained || standing.worker_drained || standing.worker_revoked;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.kind) << "," << step.a << "," << step.b << "}";
}

Step MakeStep(std::uint32_t kind_draw, std::uint32_t a, std::uint32_t b) {
  std::uint32_t total = 0;
  for (const Weight& weight : kWeights) total += weight.weight;
  std::uint32_t draw = kind_draw % total;
  for (const Weight& weight : kWeights) {
    if (draw < weight.weight) return {.kind = weight.kind, .a = a, .b = b};
    draw -= weight.weight;
  }
  return {};
}

std::vector<Step> RandomSteps(std::mt19937_64& random, std::size_t count) {
  std::vector<Step> steps;
  steps.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    steps.push_back(MakeStep(static_cast<std::uint32_t>(random() % 100'000), static_cast<std::uint32_t>(random()),
                             static_cast<std::uint32_t>(random())));
  }
  return steps;
}

AgentModel::AgentModel(AgentFault fault) : m_fault(fault), m_now(absl::Seconds(1'000)), m_capacity(kFullCapacity) {
  m_standings.push_back({.since = InfinitePast(), .version = 1, .standing = {}});
  NewAgent();
  Advance(absl::Seconds(3));
  Heartbeat(absl::ZeroDuration());
  DeliverToAgent(MakeReport(), m_now);
}

AgentModel::~AgentModel() = default;

void AgentModel::NewAgent() {
  ++m_incarnation;
  AttemptTableOptions options{.worker = kWorker, .incarnation = m_incarnation, .started_at = m_now};
  options.ledger.reserve = kReserve;
  options.start_freshness = kFreshness;
  options.adopted_terms.task_lease = kLease;
  options.adopted_terms.outage_grace = m_fault == AgentFault::kIgnoresGrace ? absl::Hours(1) : kAdoptedGrace;
  options.first_proof_wait = absl::Seconds(3);
  options.start_settle = m_fault == AgentFault::kHastyLoss ? absl::ZeroDuration() : absl::Seconds(2);
  if (m_fault == AgentFault::kIgnoresSettling) options.predecessor_settle = absl::ZeroDuration();
  options.checkpoint_timeout = absl::Seconds(10);
  options.max_tombstones = 8;  // few, so that pruning and the floor are reached
  m_agent = std::make_unique<AttemptTable>(options);
}

std::optional<std::string> AgentModel::Run(const Step& step) {
  switch (step.kind) {
    case StepKind::kStart:
      Start(step);
      break;
    case StepKind::kRepeat:
      if (!m_commands.empty()) SendStart(m_commands[step.a % m_commands.size()]);
      break;
    case StepKind::kWithdraw:
      SendEnd(step, false);
      break;
    case StepKind::kStop:
      SendEnd(step, true);
      break;
    case StepKind::kTakeCommands:
      TakeCommands(step.a);
      break;
    case StepKind::kDeliverCall:
      if (!m_calls.empty()) Resolve(step.a % m_calls.size(), step.b % 4 != 0);
      break;
    case StepKind::kRequestReport:
      m_reports.push_back({.report = MakeReport(), .requested_at = m_now});
      if (step.a % 2 == 0) {
        while (!m_reports.empty()) DeliverReport();
      }
      break;
    case StepKind::kDeliverReport:
      DeliverReport();
      break;
    case StepKind::kRestartAgent:
      Restart();
      break;
    case StepKind::kRebootWorker:
      ++m_boot;
      m_worker.clear();
      break;
    case StepKind::kAdvance:
      Advance(absl::Milliseconds(1 + step.a % (step.b % 32 == 0 ? 15'000 : 700)));
      break;
    case StepKind::kHeartbeat:
      Heartbeat(absl::Milliseconds(step.a % (step.b % 12 == 0 ? 30'000 : 800)));
      break;
    case StepKind::kChangeStanding:
      ChangeStanding(step.a);
      break;
    case StepKind::kChangeCapacity:
      m_capacity = kFullCapacity;
      if (step.a % 2 == 0) {
        m_capacity = {.cpu_millis = 4'000, .memory_mb = 8'000, .accelerators = 1, .slots = 4};
      }
      break;
    case StepKind::kFinishTask:
      if (!m_worker.empty()) {
        auto running = std::next(m_worker.begin(), static_cast<std::ptrdiff_t>(step.a % m_worker.size()));
        if (running->second.task.state == WorkerTaskState::kRunning) {
          running->second.task.state = step.b % 3 == 0 ? WorkerTaskState::kFailed : WorkerTaskState::kSucceeded;
        }
      }
      break;
    case StepKind::kGrowTask:
      if (!m_worker.empty()) {
        auto running = std::next(m_worker.begin(), static_cast<std::ptrdiff_t>(step.a % m_worker.size()));
        running->second.task.observed = running->second.task.declared;
        running->second.task.observed.memory_mb += step.b % 4'000;
        running->second.task.observed.cpu_millis += step.b % 2'000;
      }
      break;
    case StepKind::kAcknowledge:
      Acknowledge(step.a);
      break;
    case StepKind::kCount:
      break;
  }
  Check();
  return Violation();
}

std::optional<std::string> AgentModel::Settle() {
  m_capacity = kFullCapacity;
  while (!m_calls.empty()) Resolve(0, true);
  for (int i = 0; i < 120; ++i) {
    m_healthy = i >= 4;  // within 2 s every lease that can be renewed has been renewed
    Heartbeat(absl::ZeroDuration());
    m_reports.push_back({.report = MakeReport(), .requested_at = m_now});
    while (!m_reports.empty()) DeliverReport();
    TakeCommands(0);  // every call succeeds at once
    Acknowledge(0);
    Advance(absl::Milliseconds(500));
    Check();
  }
  std::set<AttemptKey> at_worker;
  for (const auto& [key, running] : m_worker) at_worker.insert(key);
  std::set<AttemptKey> at_agent;
  for (const AttemptView& view : m_agent->Attempts()) {
    at_agent.insert(view.key);
    if (view.state != AttemptState::kRunning) {
      Fail("stuck in state " + std::string(kAttemptStateNames.NameOf(view.state)));
    }
  }
  if (at_agent != at_worker) Fail("agent and worker disagree about what runs after all has settled");
  if (m_standings.back().standing.worker_revoked && !at_worker.empty()) Fail("tasks run on a revoked worker");
  if (!m_agent->Ended().empty()) Fail("ended attempts are reported although all were acknowledged");
  return Violation();
}

void AgentModel::Restart() {
  NewAgent();
  m_reports.clear();
  m_latest_proof = InfinitePast();
  m_reported_capacity = {};
  m_extra_commands.clear();
  m_unacknowledged.clear();
  m_admitted.clear();
  // Nobody waits for the results any more, but the effects are still to come.
  for (Call& call : m_calls) call.has_result = false;
}

void AgentModel::Start(const Step& step) {
  StartCommand command;
  command.key = {TaskId("t" + std::to_string(m_commands.size())), 1};
  command.worker = kWorker;
  command.resources = {.cpu_millis = 250 + step.a % 3'000, .memory_mb = 250 + step.b % 5'000, .slots = 1};
  command.resources.accelerators = step.a % 5 == 0 ? 1 : 0;
  command.terms = {.kind = step.a % 3 == 0 ? TaskKind::kService : TaskKind::kBatch,
                   .job_class = "class" + std::to_string(step.b % 3),
                   .importance = static_cast<int>(step.a % 4),
                   .task_lease = kLease,
                   .outage_grace = m_fault == AgentFault::kIgnoresGrace ? absl::Hours(1) : kGrace};
  command.share = step.b % 2;
  command.epoch = 1;
  command.offset = m_next_offset++ / 2;  // one batch of the log places two attempts
  command.agent_incarnation = m_incarnation;
  command.config_version = m_standings.back().version;
  command.command = "run";
  m_declared[command.key] = command.resources;
  m_commands.push_back(command);
  // Some commands are only sent later, by a repeat.
  if (step.b % 7 != 0) SendStart(command);
}

void AgentModel::SendStart(const StartCommand& original) {
  StartCommand command = original;
  const bool foreign = command.agent_incarnation != m_incarnation;
  if (m_fault == AgentFault::kIgnoresIncarnation) command.agent_incarnation = m_incarnation;
  const AttemptAnswer answer = m_agent->HandleStart(command, m_now);
  if (answer.kind == AnswerKind::kRefused) ++m_refused;
  if (answer.kind == AnswerKind::kStarted) {
    if (foreign) Fail("admitted a command for another incarnation");
    if (m_admitted.contains(command.key)) Fail("admitted an attempt a second time");
    m_admitted.insert(command.key);
    if (!m_agent->IsReconciled()) Fail("admitted before the worker's list was known");
    const Resources booked = TrueUse();
    if (!booked.FitsIn(m_reported_capacity - kReserve)) {
      Fail("admitted more than the capacity minus the reserve");
    }
  }
  if (answer.kind == AnswerKind::kRunning && m_not_run.contains(command.key)) {
    Fail("answered running for an attempt that was answered as not run");
  }
  if (answer.kind == AnswerKind::kRefused && answer.verdict == Verdict::kNotRun) m_not_run.insert(command.key);
  const bool past = answer.reason == RefusalReason::kTombstone || answer.reason == RefusalReason::kBelowFloor;
  if (m_fault == AgentFault::kForgetsTombstones && past) {
    m_extra_commands.push_back({.kind = WorkerCommandKind::kStart,
                                .key = command.key,
                                .start = {.task = command.key.task,
                                          .attempt = command.key.attempt,
                                          .resources = command.resources,
                                          .lease = kLease}});
  }
}

void AgentModel::SendEnd(const Step& step, bool stop) {
  if (m_commands.empty()) return;
  const StartCommand& placed = m_commands[step.a % m_commands.size()];
  const EndCommand command{.key = placed.key,
                           .share = placed.share,
                           .offset = placed.offset,
                           .agent_incarnation = step.b % 8 == 0 ? placed.agent_incarnation : m_incarnation,
                           .placed_incarnation = placed.agent_incarnation};
  const AttemptAnswer answer =
      stop ? m_agent->HandleStop(command, step.b % 2 == 0, m_now) : m_agent->HandleWithdraw(command, m_now);
  if (answer.kind == AnswerKind::kNotRun) {
    m_not_run.insert(command.key);
    if (m_ran.contains(command.key)) Fail("answered not run for an attempt that ran");
  }
  if (answer.kind == AnswerKind::kEnded) m_over.insert(command.key);
}

// ---- calls of the agent

void AgentModel::TakeCommands(std::uint32_t draw) {
  std::vector<WorkerCommand> commands = m_agent->TakeCommands(m_now);
  commands.insert(commands.end(), m_extra_commands.begin(), m_extra_commands.end());
  m_extra_commands.clear();
  for (const WorkerCommand& command : commands) {
    CheckCommand(command);
    Dispatch(command, draw);
    draw /= 7;
  }
  // What is not being stopped fits, in the dimensions that cannot be throttled.
  Resources kept;
  for (const AttemptView& view : m_agent->Attempts()) {
    if (view.state != AttemptState::kStopping) kept += view.booked;
  }
  kept.cpu_millis = 0;
  if (m_agent->IsReconciled() && !kept.FitsIn(m_reported_capacity)) {
    Fail("keeps more than the capacity after taking commands");
  }
}

void AgentModel::CheckCommand(const WorkerCommand& command) {
  if (command.kind == WorkerCommandKind::kStart) {
    if (++m_handed[command.key] > 1) Fail("passed an attempt to the worker twice");
    if (m_not_run.contains(command.key)) Fail("started an attempt that was answered as not run");
    if (m_over.contains(command.key)) Fail("started an attempt that had ended");
    // What operators closed more than the freshness limit ago must be known here.
    const MonotonicTime must_know = m_now - kFreshness;
    bool closed = IsClosed(m_standings.back().standing);
    for (auto standing = m_standings.rbegin(); closed && standing != m_standings.rend(); ++standing) {
      closed = IsClosed(standing->standing);
      if (standing->since < must_know) break;
    }
    if (closed) Fail("started on a worker that was taken out of service before");
    if (m_now - m_latest_proof > kFreshness) Fail("started without a fresh proof");
  }
  if (command.kind == WorkerCommandKind::kRenew) {
    absl::Duration grace = kGrace;
    for (const AttemptView& view : m_agent->Attempts()) {
      if (view.key == command.key && view.adopted) grace = kAdoptedGrace;
    }
    if (m_now + command.lease > m_latest_proof + grace) Fail("renewed beyond the outage grace");
    if (m_agent->standing().worker_revoked) Fail("renewed on a revoked worker");
  }
}

void AgentModel::Dispatch(const WorkerCommand& command, std::uint32_t draw) {
  Call call{.command = command, .agent = m_incarnation, .limit = m_now + kCallLimit};
  const Result<void> lost = MayHaveRun(FailureCode::kDeadlineExceeded, "lost");
  if (m_fault == AgentFault::kIgnoresResults) {
    Execute(command);
    return;
  }
  if (m_fault == AgentFault::kSkipsRenewals && command.kind == WorkerCommandKind::kRenew) {
    GiveResult(call, {});
    return;
  }
  switch (draw % 7) {
    case 1:  // takes effect, the result is lost
      Execute(command);
      GiveResult(call, lost);
      if (m_fault == AgentFault::kRepeatsStart && command.kind == WorkerCommandKind::kStart) {
        m_extra_commands.push_back(command);
      }
      return;
    case 2:
      GiveResult(call, NotRun(FailureCode::kUnavailable, "connection refused"));
      return;
    case 3:  // the result is lost first, the effect may come later
      GiveResult(call, lost);
      call.has_effect = true;
      m_calls.push_back(call);
      return;
    case 4:  // takes effect, the result comes later
      Execute(command);
      call.has_result = true;
      m_calls.push_back(call);
      return;
    case 5:
      call.has_effect = true;
      call.has_result = true;
      m_calls.push_back(call);
      return;
    default:
      GiveResult(call, Execute(command));
      return;
  }
}

void AgentModel::Resolve(std::size_t index, bool execute) {
  const Call call = m_calls[index];
  m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(index));
  Result<void> result;
  if (call.has_effect && execute) result = Execute(call.command);
  if (!execute) result = MayHaveRun(FailureCode::kDeadlineExceeded, "lost");
  if (call.has_result) GiveResult(call, result);
}

void AgentModel::GiveResult(const Call& call, const Result<void>& result) {
  if (call.agent == m_incarnation) m_agent->HandleResult(call.command, result, m_now);
}

Result<void> AgentModel::Execute(const WorkerCommand& command) {
  const auto found = m_worker.find(command.key);
  if (command.kind == WorkerCommandKind::kStart) {
    if (found != m_worker.end()) return {};
    if (m_not_run.contains(command.key)) Fail("an attempt runs that was answered as not run");
    if (m_over.contains(command.key)) Fail("an attempt runs that was reported as ended");
    m_ran.insert(command.key);
    Running running;
    running.task = {.task = command.key.task, .attempt = command.key.attempt, .declared = command.start.resources};
    running.lease_until = m_now + command.start.lease;
    m_worker.emplace(command.key, running);
    return {};
  }
  if (found == m_worker.end()) return NotRun(FailureCode::kNotFound, "unknown");
  WorkerTask& task = found->second.task;
  switch (command.kind) {
    case WorkerCommandKind::kRenew:
      if (task.state == WorkerTaskState::kRunning) found->second.lease_until = m_now + command.lease;
      break;
    case WorkerCommandKind::kStop:
      if (task.state != WorkerTaskState::kRunning) break;
      task.state = WorkerTaskState::kStopped;
      if (command.with_checkpoint) task.checkpoint = "checkpoint";
      break;
    case WorkerCommandKind::kForget:
      if (task.state != WorkerTaskState::kRunning) m_worker.erase(found);
      break;
    case WorkerCommandKind::kStart:
    case WorkerCommandKind::kThrottle:
      break;
  }
  return {};
}

// ---- reports, time, configuration

WorkerReport AgentModel::MakeReport() const {
  WorkerReport report{.boot_id = "boot" + std::to_string(m_boot), .capacity = m_capacity};
  for (const auto& [key, running] : m_worker) report.tasks.push_back(running.task);
  return report;
}

void AgentModel::DeliverReport() {
  if (m_reports.empty()) return;
  const HeldReport held = m_reports.front();
  m_reports.pop_front();
  DeliverToAgent(held.report, held.requested_at);
}

void AgentModel::DeliverToAgent(const WorkerReport& original, MonotonicTime requested_at) {
  m_reported_capacity = original.capacity;
  WorkerReport report = original;
  const bool unlimited = m_fault == AgentFault::kSkipsLedger || m_fault == AgentFault::kIgnoresExcess;
  if (unlimited) report.capacity = {1'000'000, 1'000'000, 1'000, 1'000};
  m_agent->Reconcile(report, requested_at, m_now);
}

void AgentModel::Advance(absl::Duration duration) {
  const MonotonicTime until = m_now + duration;
  // Calls that would exceed their limit take effect now or never.
  for (std::size_t i = 0; i < m_calls.size();) {
    if (m_calls[i].limit >= until) {
      ++i;
      continue;
    }
    Resolve(i, m_calls[i].command.key.task.value().size() % 2 == 0);
  }
  m_now = until;
  for (auto& [key, running] : m_worker) {
    if (running.task.state == WorkerTaskState::kRunning && running.lease_until < m_now) {
      running.task.state = WorkerTaskState::kLeaseExpired;
      if (m_healthy) Fail("a lease expired although nothing failed");
    }
  }
}

void AgentModel::Heartbeat(absl::Duration age) {
  // The entry knows the configuration as of `age` ago.
  const MonotonicTime at = m_now - age;
  auto known = m_standings.rbegin();
  while (known->since > at) ++known;
  WorkerStanding standing = known->standing;
  if (m_fault == AgentFault::kIgnoresDrain) standing = {};
  m_agent->ApplyConfig(known->version, standing);
  const MonotonicTime stamped = m_fault == AgentFault::kIgnoresProofAge ? m_now : at;
  m_agent->ApplyProof({.version = known->version, .offset = known->version, .at = stamped});
  m_latest_proof = std::max(m_latest_proof, at);
}

void AgentModel::ChangeStanding(std::uint32_t draw) {
  Standing next = m_standings.back();
  next.since = m_now;
  ++next.version;
  switch (draw % 8) {
    case 0:
      next.standing.zone_drained = true;
      break;
    case 1:
      next.standing.worker_drained = true;
      break;
    case 2:
      next.standing.worker_revoked = draw % 3 == 0;
      break;
    default:
      next.standing = {};
      break;
  }
  m_standings.push_back(next);
}

void AgentModel::Acknowledge(std::uint32_t draw) {
  for (const EndedAttempt& ended : m_agent->Ended()) {
    // 0 acknowledges all.
    if (draw != 0 && draw % 2 == 0) {
      draw = draw / 2 + 1;
      continue;
    }
    m_agent->AcknowledgeEnded(ended.key);
    m_unacknowledged.erase(ended.key);
  }
}

// ---- checks

Resources AgentModel::TrueUse() const {
  std::set<AttemptKey> keys;
  for (const auto& [key, running] : m_worker) {
    if (running.task.state == WorkerTaskState::kRunning) keys.insert(key);
  }
  for (const Call& call : m_calls) {
    if (call.command.kind == WorkerCommandKind::kStart && call.has_effect) keys.insert(call.command.key);
  }
  for (const AttemptView& view : m_agent->Attempts()) {
    if (view.state == AttemptState::kAdmitted) keys.insert(view.key);
  }
  Resources use;
  for (const AttemptKey& key : keys) use += m_declared.at(key);
  return use;
}

void AgentModel::Check() {
  CheckBookings();
  CheckEnded();
}

void AgentModel::CheckBookings() {
  Resources sum;
  for (const auto& [key, entry] : m_agent->ledger().entries()) {
    sum += entry.booked;
    if (!entry.declared.FitsIn(entry.booked) || !entry.observed.FitsIn(entry.booked)) {
      Fail("books less than declared or observed");
    }
  }
  if (sum != m_agent->ledger().booked()) Fail("the sum of the bookings is wrong");
  if (m_agent->ledger().entries().size() != m_agent->Attempts().size()) Fail("attempts and bookings differ");
}

void AgentModel::CheckEnded() {
  std::set<AttemptKey> reported;
  for (const EndedAttempt& ended : m_agent->Ended()) {
    reported.insert(ended.key);
    m_over.insert(ended.key);
    if (ended.verdict == Verdict::kNotRun) {
      m_not_run.insert(ended.key);
      if (m_ran.contains(ended.key)) Fail("reported as not run, but it ran");
    }
    const auto running = m_worker.find(ended.key);
    if (running != m_worker.end() && running->second.task.state == WorkerTaskState::kRunning) {
      Fail("reported as ended while it runs");
    }
  }
  for (const AttemptKey& key : m_unacknowledged) {
    if (!reported.contains(key)) Fail("no longer reported before it was acknowledged");
  }
  m_unacknowledged = std::move(reported);
  if (m_fault != AgentFault::kDropsEnded) return;
  for (const AttemptKey& key : m_unacknowledged) m_agent->AcknowledgeEnded(key);
}

std::optional<std::string> AgentModel::Violation() const {
  return m_violations.empty() ? std::nullopt : std::optional(m_first_violation);
}

void AgentModel::Fail(const std::string& what) {
  if (m_violations.empty()) m_first_violation = what;
  m_violations.insert(what);
}

}  // namespace berylgauge::testing
