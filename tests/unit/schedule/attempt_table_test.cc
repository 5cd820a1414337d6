#include "schedule/attempt_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

const WorkerId kWorker{"w1"};
constexpr Incarnation kIncarnation = 7;
constexpr Resources kCapacity{.cpu_millis = 8'000, .memory_mb = 16'000, .accelerators = 1, .slots = 4};

MonotonicTime At(std::int64_t ms) { return MonotonicTime(absl::Milliseconds(100'000 + ms)); }

AttemptTableOptions Options() {
  AttemptTableOptions options{.worker = kWorker, .incarnation = kIncarnation, .started_at = At(-5'000)};
  options.adopted_terms.outage_grace = absl::Seconds(60);
  return options;
}

StartCommand Command(int number) {
  StartCommand command;
  command.key = {TaskId("t" + std::to_string(number)), 1};
  command.worker = kWorker;
  command.resources = {.cpu_millis = 1'000, .memory_mb = 1'000, .slots = 1};
  command.terms.task_lease = absl::Seconds(30);
  command.terms.outage_grace = absl::Seconds(600);
  command.share = 3;
  command.epoch = 2;
  command.offset = number;
  command.agent_incarnation = kIncarnation;
  command.config_version = 5;
  command.checkpoint = "c1";
  command.command = "cut";
  return command;
}

EndCommand EndOf(const StartCommand& command) {
  return {.key = command.key,
          .share = command.share,
          .offset = command.offset,
          .agent_incarnation = kIncarnation,
          .placed_incarnation = command.agent_incarnation};
}

WorkerReport Report(std::vector<WorkerTask> tasks = {}) {
  return {.boot_id = "boot1", .capacity = kCapacity, .tasks = std::move(tasks)};
}

WorkerTask Task(const StartCommand& command, WorkerTaskState state = WorkerTaskState::kRunning) {
  return {.task = command.key.task, .attempt = command.key.attempt, .state = state, .declared = command.resources};
}

/// A table that knows configuration version 5, a proof of time 0 and the worker's empty list.
AttemptTable ReadyTable(AttemptTableOptions options = Options()) {
  AttemptTable table(std::move(options));
  table.ApplyConfig(5, {});
  table.ApplyProof({.version = 5, .offset = 50, .at = At(0)});
  table.Reconcile(Report(), At(0), At(0));
  return table;
}

/// Takes the commands and answers each as done.
std::vector<WorkerCommand> Carry(AttemptTable& table, MonotonicTime now) {
  std::vector<WorkerCommand> commands = table.TakeCommands(now);
  for (const WorkerCommand& command : commands) table.HandleResult(command, {}, now);
  return commands;
}

std::vector<WorkerCommand> OfKind(const std::vector<WorkerCommand>& commands, WorkerCommandKind kind) {
  std::vector<WorkerCommand> found;
  std::copy_if(commands.begin(), commands.end(), std::back_inserter(found),
               [kind](const WorkerCommand& command) { return command.kind == kind; });
  return found;
}

struct AdmissionCase {
  const char* name;
  std::function<void(AttemptTable&)> prepare;
  std::function<void(StartCommand&)> change;
  std::int64_t now_ms;
  RefusalReason reason;
  Verdict verdict;
};

// Guards against a start that a rule of sections 4 and 5 of the design forbids, and against an answer "not run" where
// another agent may have run the attempt.
TEST_CASE("attempt table refuses what may not start", "[attempt_table]") {
  const auto unchanged = [](StartCommand&) {};
  const auto nothing = [](AttemptTable&) {};
  const auto standing = [](WorkerStanding value) {
    return [value](AttemptTable& table) { table.ApplyConfig(6, value); };
  };
  const auto test = GENERATE_COPY(values<AdmissionCase>({
      {"admitted", nothing, unchanged, 0, RefusalReason::kNone, Verdict::kMayHaveRun},
      {"proof at the limit of its age", nothing, unchanged, 2'000, RefusalReason::kNone, Verdict::kMayHaveRun},
      {"proof too old", nothing, unchanged, 2'001, RefusalReason::kStaleProof, Verdict::kNotRun},
      {"proof of the future", nothing, unchanged, -1, RefusalReason::kStaleProof, Verdict::kNotRun},
      {"older proof does not replace the newer",
       [](AttemptTable& table) { table.ApplyProof({.version = 5, .offset = 60, .at = At(-1'000)}); }, unchanged, 1'500,
       RefusalReason::kNone, Verdict::kMayHaveRun},
      {"proof of a version that was not applied",
       [](AttemptTable& table) { table.ApplyProof({.version = 6, .offset = 60, .at = At(2'500)}); }, unchanged, 2'600,
       RefusalReason::kStaleProof, Verdict::kNotRun},
      {"availability zone drained", standing({.zone_drained = true}), unchanged, 0, RefusalReason::kZoneDrained,
       Verdict::kNotRun},
      {"worker drained", standing({.worker_drained = true}), unchanged, 0, RefusalReason::kWorkerDrained,
       Verdict::kNotRun},
      {"worker revoked", standing({.worker_revoked = true}), unchanged, 0, RefusalReason::kWorkerRevoked,
       Verdict::kNotRun},
      {"drained and restored",
       [](AttemptTable& table) {
         table.ApplyConfig(6, {.zone_drained = true});
         table.ApplyConfig(7, {});
       },
       unchanged, 0, RefusalReason::kNone, Verdict::kMayHaveRun},
      {"an older version does not restore",
       [](AttemptTable& table) {
         table.ApplyConfig(7, {.zone_drained = true});
         table.ApplyConfig(6, {});
       },
       unchanged, 0, RefusalReason::kZoneDrained, Verdict::kNotRun},
      {"configuration version ahead", nothing, [](StartCommand& c) { c.config_version = 6; }, 0,
       RefusalReason::kConfigVersionAhead, Verdict::kNotRun},
      {"other worker", nothing, [](StartCommand& c) { c.worker = WorkerId("w2"); }, 0, RefusalReason::kWrongWorker,
       Verdict::kMayHaveRun},
      {"other incarnation", nothing, [](StartCommand& c) { c.agent_incarnation = 6; }, 0,
       RefusalReason::kWrongIncarnation, Verdict::kMayHaveRun},
      {"no room", nothing, [](StartCommand& c) { c.resources.memory_mb = 16'001; }, 0, RefusalReason::kNoRoom,
       Verdict::kNotRun},
      {"capacity shrank",
       [](AttemptTable& table) {
         WorkerReport report = Report();
         report.capacity.memory_mb = 500;
         table.Reconcile(report, At(0), At(0));
       },
       unchanged, 0, RefusalReason::kNoRoom, Verdict::kNotRun},
      {"without lease", nothing, [](StartCommand& c) { c.terms.task_lease = absl::ZeroDuration(); }, 0,
       RefusalReason::kInvalidCommand, Verdict::kNotRun},
      {"without placement", nothing, [](StartCommand& c) { c.offset = kNoOffset; }, 0, RefusalReason::kInvalidCommand,
       Verdict::kNotRun},
      {"attempt 0", nothing, [](StartCommand& c) { c.key.attempt = 0; }, 0, RefusalReason::kInvalidCommand,
       Verdict::kNotRun},
      {"negative amount", nothing, [](StartCommand& c) { c.resources.slots = -1; }, 0, RefusalReason::kInvalidCommand,
       Verdict::kNotRun},
  }));
  INFO(test.name);
  AttemptTable table = ReadyTable();
  test.prepare(table);
  StartCommand command = Command(1);
  test.change(command);
  const AttemptAnswer answer = table.HandleStart(command, At(test.now_ms));
  CHECK(answer.reason == test.reason);
  CHECK(answer.verdict == test.verdict);
  CHECK(answer.kind == (test.reason == RefusalReason::kNone ? AnswerKind::kStarted : AnswerKind::kRefused));
  // A final refusal stays final, even when its cause is gone.
  const bool is_final = test.verdict == Verdict::kNotRun && command.offset >= 0;
  CHECK(table.HasTombstone(command.key) == is_final);
  table.ApplyConfig(8, {});
  table.ApplyProof({.version = 8, .offset = 80, .at = At(3'000)});
  table.Reconcile(Report(), At(3'000), At(3'000));
  const AttemptAnswer repeated = table.HandleStart(command, At(3'000));
  if (is_final) {
    CHECK(repeated.reason == RefusalReason::kTombstone);
    CHECK(repeated.verdict == Verdict::kNotRun);
  }
  if (test.reason == RefusalReason::kNone) CHECK(repeated.kind == AnswerKind::kRunning);
}

// Guards against admission before the worker's list is known, when the ledger is still empty.
TEST_CASE("attempt table admits nothing before it has reconciled", "[attempt_table]") {
  AttemptTable table(Options());
  table.ApplyConfig(5, {});
  table.ApplyProof({.version = 5, .offset = 50, .at = At(0)});
  CHECK(table.HandleStart(Command(1), At(0)).reason == RefusalReason::kNotReconciled);
  // Requested while a call of the previous agent could still have been under way.
  table.Reconcile(Report(), At(-3'001), At(0));
  CHECK(table.HandleStart(Command(2), At(0)).reason == RefusalReason::kNotReconciled);
  const AttemptAnswer withdrawn = table.HandleWithdraw(EndOf(Command(3)), At(0));
  CHECK(withdrawn.reason == RefusalReason::kNotReconciled);
  CHECK(withdrawn.verdict == Verdict::kMayHaveRun);
  table.Reconcile(Report(), At(-3'000), At(0));
  CHECK(table.HandleStart(Command(4), At(0)).kind == AnswerKind::kStarted);
}

// Guards against a repeated command that books or starts a second time.
TEST_CASE("attempt table passes an attempt to the worker once", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  CHECK(table.HandleStart(command, At(0)).kind == AnswerKind::kStarted);
  CHECK(table.HandleStart(command, At(0)).kind == AnswerKind::kRunning);
  CHECK(table.ledger().booked() == command.resources);
  const auto starts = OfKind(table.TakeCommands(At(10)), WorkerCommandKind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].start.command == "cut");
  CHECK(starts[0].start.checkpoint == "c1");
  CHECK(starts[0].start.lease == absl::Seconds(30));
  CHECK(starts[0].start_by == At(2'000));
  CHECK(table.StateOf(command.key) == AttemptState::kStarting);
  CHECK(table.HandleStart(command, At(20)).kind == AnswerKind::kRunning);
  CHECK(table.TakeCommands(At(30)).empty());
  table.HandleResult(starts[0], {}, At(40));
  CHECK(table.StateOf(command.key) == AttemptState::kRunning);
  CHECK(table.HandleStart(command, At(50)).kind == AnswerKind::kRunning);
  CHECK(OfKind(table.TakeCommands(At(60)), WorkerCommandKind::kStart).empty());
}

struct AgedCase {
  const char* name;
  WorkerStanding standing;
  std::int64_t take_ms;
  const char* detail;
};

// Guards against a start that is passed to the worker after its proof has aged or the configuration has changed.
TEST_CASE("attempt table checks again when it passes the start on", "[attempt_table]") {
  const auto test = GENERATE(values<AgedCase>({
      {"proof aged", {}, 2'001, "stale-proof"},
      {"drained", {.zone_drained = true}, 10, "zone-drained"},
      {"revoked", {.worker_revoked = true}, 10, "worker-revoked"},
  }));
  INFO(test.name);
  AttemptTable table = ReadyTable();
  REQUIRE(table.HandleStart(Command(1), At(0)).kind == AnswerKind::kStarted);
  table.ApplyConfig(6, test.standing);
  CHECK(table.TakeCommands(At(test.take_ms)).empty());
  REQUIRE(table.Ended().size() == 1);
  CHECK(table.Ended()[0].reason == EndReason::kNotStarted);
  CHECK(table.Ended()[0].verdict == Verdict::kNotRun);
  CHECK(table.Ended()[0].detail == test.detail);
  CHECK(table.ledger().booked() == Resources{});
}

struct StartResultCase {
  const char* name;
  Result<void> result;
  std::vector<WorkerTaskState> listed;  ///< state in a later report; empty if it is not listed
  std::int64_t report_ms;               ///< when that report was requested; the result came at 100
  AttemptState state;
  EndReason end;  ///< if `state` is ended
  Verdict verdict;
};

// Guards against an attempt that is taken for lost while its start may still take effect, and one that stays for ever.
TEST_CASE("attempt table settles starts by result and report", "[attempt_table]") {
  const Result<void> lost = MayHaveRun(FailureCode::kDeadlineExceeded, "lost");
  const Result<void> refused = NotRun(FailureCode::kUnavailable, "refused");
  const auto test = GENERATE_COPY(values<StartResultCase>({
      {"done", {}, {}, 50, AttemptState::kRunning, {}, {}},
      {"done, then lost by the worker",
       {},
       {},
       101,
       AttemptState::kEnded,
       EndReason::kUnknownToWorker,
       Verdict::kMayHaveRun},
      {"done and finished",
       {},
       {WorkerTaskState::kSucceeded},
       101,
       AttemptState::kEnded,
       EndReason::kSucceeded,
       Verdict::kRan},
      {"not run", refused, {}, 50, AttemptState::kEnded, EndReason::kNotStarted, Verdict::kNotRun},
      {"unknown and not yet listed", lost, {}, 10'099, AttemptState::kStarting, {}, {}},
      {"unknown and never listed",
       lost,
       {},
       10'100,
       AttemptState::kEnded,
       EndReason::kUnknownToWorker,
       Verdict::kMayHaveRun},
      {"unknown, but listed", lost, {WorkerTaskState::kRunning}, 101, AttemptState::kRunning, {}, {}},
      {"unknown, listed as failed",
       lost,
       {WorkerTaskState::kFailed},
       101,
       AttemptState::kEnded,
       EndReason::kFailed,
       Verdict::kRan},
      {"unknown, lease expired",
       lost,
       {WorkerTaskState::kLeaseExpired},
       101,
       AttemptState::kEnded,
       EndReason::kLeaseExpired,
       Verdict::kMayHaveRun},
  }));
  INFO(test.name);
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  const auto starts = table.TakeCommands(At(0));
  REQUIRE(starts.size() == 1);
  table.HandleResult(starts[0], test.result, At(100));
  std::vector<WorkerTask> tasks;
  for (const WorkerTaskState state : test.listed) tasks.push_back(Task(command, state));
  table.Reconcile(Report(tasks), At(test.report_ms), At(test.report_ms + 10));
  CHECK(table.StateOf(command.key) == test.state);
  CHECK(table.ledger().Contains(command.key) == (test.state != AttemptState::kEnded));
  if (test.state == AttemptState::kEnded) {
    REQUIRE(table.Ended().size() == 1);
    CHECK(table.Ended()[0].reason == test.end);
    CHECK(table.Ended()[0].verdict == test.verdict);
    CHECK(table.Ended()[0].offset == command.offset);
  }
  // A result that comes twice or late changes nothing.
  const auto state = table.StateOf(command.key);
  table.HandleResult(starts[0], refused, At(20'000));
  CHECK(table.StateOf(command.key) == state);
}

enum class Phase { kUnknown, kAdmitted, kStarting, kRunning, kStopping, kEnded, kAcknowledged, kRefused };

struct EndCase {
  const char* name;
  Phase phase;
  AnswerKind withdrawn;
  AnswerKind stopped;
};

AttemptTable TableIn(Phase phase, const StartCommand& command) {
  AttemptTable table = ReadyTable();
  if (phase == Phase::kUnknown) return table;
  if (phase == Phase::kRefused) {
    StartCommand ahead = command;
    ahead.config_version = 9;
    table.HandleStart(ahead, At(0));
    return table;
  }
  table.HandleStart(command, At(0));
  if (phase == Phase::kAdmitted) return table;
  const auto starts = table.TakeCommands(At(0));
  if (phase == Phase::kStarting) return table;
  table.HandleResult(starts[0], {}, At(1));
  if (phase == Phase::kRunning) return table;
  if (phase == Phase::kStopping) {
    table.HandleStop(EndOf(command), true, At(2));
    return table;
  }
  table.Reconcile(Report({Task(command, WorkerTaskState::kSucceeded)}), At(2), At(3));
  if (phase == Phase::kAcknowledged) table.AcknowledgeEnded(command.key);
  return table;
}

// Guards against an answer "not run" for an attempt that the worker may run, and against a start after that answer.
TEST_CASE("attempt table answers withdraw and stop by state", "[attempt_table]") {
  const auto test = GENERATE(values<EndCase>({
      {"unknown", Phase::kUnknown, AnswerKind::kNotRun, AnswerKind::kNotRun},
      {"admitted", Phase::kAdmitted, AnswerKind::kNotRun, AnswerKind::kNotRun},
      {"starting", Phase::kStarting, AnswerKind::kRunning, AnswerKind::kStopping},
      {"running", Phase::kRunning, AnswerKind::kRunning, AnswerKind::kStopping},
      {"stopping", Phase::kStopping, AnswerKind::kRunning, AnswerKind::kStopping},
      {"ended", Phase::kEnded, AnswerKind::kEnded, AnswerKind::kEnded},
      {"acknowledged", Phase::kAcknowledged, AnswerKind::kEnded, AnswerKind::kEnded},
      {"refused", Phase::kRefused, AnswerKind::kNotRun, AnswerKind::kNotRun},
  }));
  INFO(test.name);
  const StartCommand command = Command(1);
  AttemptTable withdrawn = TableIn(test.phase, command);
  CHECK(withdrawn.HandleWithdraw(EndOf(command), At(10)).kind == test.withdrawn);
  CHECK(withdrawn.HandleWithdraw(EndOf(command), At(10)).kind == test.withdrawn);
  AttemptTable stopped = TableIn(test.phase, command);
  CHECK(stopped.HandleStop(EndOf(command), false, At(10)).kind == test.stopped);
  CHECK(stopped.HandleStop(EndOf(command), false, At(10)).kind == test.stopped);
  for (AttemptTable* table : {&withdrawn, &stopped}) {
    const AnswerKind late = table->HandleStart(command, At(20)).kind;
    const bool active = table->HasAttempts();
    CHECK(late == (active ? AnswerKind::kRunning : AnswerKind::kRefused));
    if (!active) CHECK(OfKind(table->TakeCommands(At(20)), WorkerCommandKind::kStart).empty());
  }
}

// Guards against proof of an end that this agent does not have: a former agent may have run the attempt.
TEST_CASE("attempt table does not vouch for former agents", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  StartCommand former = Command(1);
  former.agent_incarnation = 6;
  EndCommand to_former = EndOf(former);
  to_former.agent_incarnation = 6;
  CHECK(table.HandleWithdraw(to_former, At(0)).reason == RefusalReason::kWrongIncarnation);
  CHECK(table.HandleWithdraw(to_former, At(0)).verdict == Verdict::kMayHaveRun);
  const AttemptAnswer answer = table.HandleWithdraw(EndOf(former), At(0));
  CHECK(answer.kind == AnswerKind::kEnded);
  CHECK(answer.verdict == Verdict::kMayHaveRun);
  CHECK(table.HandleStart(former, At(0)).reason == RefusalReason::kWrongIncarnation);
}

// Guards against a late command that starts after its tombstone was pruned.
TEST_CASE("attempt table keeps a floor of pruned tombstones for each share", "[attempt_table]") {
  AttemptTableOptions options = Options();
  options.max_tombstones = 2;
  AttemptTable table = ReadyTable(options);
  for (int number : {10, 11, 12, 13}) table.HandleWithdraw(EndOf(Command(number)), At(0));
  CHECK(table.tombstone_count() == 2);
  CHECK(table.FloorOf(3) == 11);
  CHECK(table.FloorOf(4) == kNoOffset);
  struct FloorCase {
    int offset;
    std::uint32_t share;
    RefusalReason reason;
  };
  for (const FloorCase test :
       {FloorCase{10, 3, RefusalReason::kBelowFloor}, FloorCase{9, 3, RefusalReason::kBelowFloor},
        FloorCase{11, 3, RefusalReason::kBelowFloor}, FloorCase{12, 3, RefusalReason::kTombstone},
        FloorCase{14, 3, RefusalReason::kNone}, FloorCase{8, 4, RefusalReason::kNone}}) {
    StartCommand command = Command(test.offset);
    command.share = test.share;
    const AttemptAnswer answer = table.HandleStart(command, At(0));
    INFO("offset " << test.offset);
    CHECK(answer.reason == test.reason);
    if (test.reason != RefusalReason::kNone) CHECK(answer.verdict == Verdict::kNotRun);
  }
}

// Guards against "not run" for an attempt that ran, whose tombstone was pruned.
TEST_CASE("attempt table says may have run below the floor of attempts that ran", "[attempt_table]") {
  AttemptTableOptions options = Options();
  options.max_tombstones = 0;
  AttemptTable table = ReadyTable(options);
  const StartCommand command = Command(20);
  table.HandleStart(command, At(0));
  Carry(table, At(0));
  table.Reconcile(Report({Task(command, WorkerTaskState::kSucceeded)}), At(1), At(1));
  table.AcknowledgeEnded(command.key);
  table.HandleWithdraw(EndOf(Command(22)), At(1));
  CHECK(table.tombstone_count() == 0);
  CHECK(table.HandleStart(Command(20), At(2)).verdict == Verdict::kMayHaveRun);
  CHECK(table.HandleWithdraw(EndOf(Command(20)), At(2)).kind == AnswerKind::kEnded);
  CHECK(table.HandleStart(Command(21), At(2)).verdict == Verdict::kNotRun);
  CHECK(table.HandleWithdraw(EndOf(Command(21)), At(2)).kind == AnswerKind::kNotRun);
}

// Guards against tasks of a former agent that are not booked, not renewed or not reported when they end.
TEST_CASE("attempt table adopts what the worker runs", "[attempt_table]") {
  AttemptTable table(Options());
  StartCommand running = Command(1);
  StartCommand ended = Command(2);
  table.Reconcile(Report({Task(running), Task(ended, WorkerTaskState::kSucceeded)}), At(0), At(0));
  CHECK(table.ledger().booked() == running.resources);
  CHECK(table.StateOf(running.key) == AttemptState::kRunning);
  REQUIRE(table.Ended().size() == 1);
  CHECK(table.Ended()[0].key == ended.key);
  CHECK(table.Ended()[0].adopted);
  // Without any proof the leases are not renewed.
  CHECK(OfKind(Carry(table, At(1)), WorkerCommandKind::kRenew).empty());
  table.ApplyProof({.version = 0, .offset = 1, .at = At(1)});
  const auto renewals = OfKind(Carry(table, At(2)), WorkerCommandKind::kRenew);
  REQUIRE(renewals.size() == 1);
  CHECK(renewals[0].key == running.key);
  // Terms of the owner replace the defaults.
  table.RestoreTerms(running.key, {.kind = TaskKind::kService, .task_lease = absl::Seconds(6)});
  CHECK(table.ledger().Find(running.key)->kind == TaskKind::kService);
}

// Guards against attempts of an earlier boot that are booked and reported as running for ever.
TEST_CASE("a new boot id ends all attempts of the earlier boot", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  for (int number : {1, 2}) table.HandleStart(Command(number), At(0));
  Carry(table, At(0));
  WorkerReport report = Report();
  report.boot_id = "boot2";
  table.Reconcile(report, At(10), At(11));
  CHECK_FALSE(table.HasAttempts());
  CHECK(table.ledger().booked() == Resources{});
  REQUIRE(table.Ended().size() == 2);
  for (const EndedAttempt& ended : table.Ended()) CHECK(ended.reason == EndReason::kWorkerRestarted);
}

// Guards against a report that overtakes a newer one and ends what started in between.
TEST_CASE("attempt table ignores reports that are out of order", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  Carry(table, At(10));
  table.Reconcile(Report({Task(command)}), At(20), At(30));
  WorkerReport old = Report();
  old.boot_id = "boot0";
  table.Reconcile(old, At(15), At(40));
  CHECK(table.StateOf(command.key) == AttemptState::kRunning);
  CHECK(table.boot_id() == "boot1");
}

struct RenewalCase {
  const char* name;
  std::int64_t now_ms;
  std::int64_t proof_ms;
  WorkerStanding standing;
  bool renews;
  bool stops;
  StopReason reason;
};

// Guards against leases that are renewed without the right to run, or not renewed although the log has an outage.
TEST_CASE("attempt table renews at a third of the lease within the grace", "[attempt_table]") {
  // Lease 30 s, grace 600 s; the checkpoint gets the last 30 s of the grace.
  const auto test = GENERATE(values<RenewalCase>({
      {"too early", 9'999, 9'000, {}, false, false, StopReason::kNone},
      {"due", 10'000, 9'000, {}, true, false, StopReason::kNone},
      {"due in an outage", 300'000, 0, {}, true, false, StopReason::kNone},
      {"last moment", 569'999, 0, {}, true, false, StopReason::kNone},
      {"grace used up", 570'000, 0, {}, false, true, StopReason::kOutageGrace},
      {"drained", 10'000, 9'000, {.zone_drained = true}, true, false, StopReason::kNone},
      {"revoked", 10'000, 9'000, {.worker_revoked = true}, false, true, StopReason::kRevoked},
  }));
  INFO(test.name);
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  Carry(table, At(0));
  table.ApplyConfig(6, test.standing);
  table.ApplyProof({.version = 6, .offset = 60, .at = At(test.proof_ms)});
  const auto commands = table.TakeCommands(At(test.now_ms));
  const auto renewals = OfKind(commands, WorkerCommandKind::kRenew);
  CHECK(renewals.size() == (test.renews ? 1 : 0));
  for (const WorkerCommand& renewal : renewals) CHECK(renewal.lease == absl::Seconds(30));
  const auto stops = OfKind(commands, WorkerCommandKind::kStop);
  REQUIRE(stops.size() == (test.stops ? 1 : 0));
  for (const WorkerCommand& stop : stops) CHECK(stop.with_checkpoint);
  CHECK(table.Attempts()[0].stop_reason == test.reason);
}

// Guards against a failed renewal that is only repeated after another third of the lease.
TEST_CASE("attempt table repeats a failed renewal soon", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  table.HandleStart(Command(1), At(0));
  Carry(table, At(0));
  const auto first = table.TakeCommands(At(10'000));
  REQUIRE(first.size() == 1);
  CHECK(table.TakeCommands(At(10'500)).empty());
  table.HandleResult(first[0], MayHaveRun(FailureCode::kDeadlineExceeded, "lost"), At(11'000));
  CHECK(table.TakeCommands(At(11'999)).empty());
  CHECK(OfKind(table.TakeCommands(At(12'000)), WorkerCommandKind::kRenew).size() == 1);
}

// Guards against an adopted task that runs on although its owner may already have placed it elsewhere.
TEST_CASE("an agent that never gets a proof stops what it adopted", "[attempt_table]") {
  AttemptTable table(Options());
  table.Reconcile(Report({Task(Command(1))}), At(0), At(0));
  CHECK(OfKind(table.TakeCommands(At(4'999)), WorkerCommandKind::kStop).empty());
  CHECK(OfKind(table.TakeCommands(At(5'000)), WorkerCommandKind::kStop).size() == 1);
}

// Guards against a stop that overtakes its start at the worker and has no effect.
TEST_CASE("a stop waits for the result of the start", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  const auto starts = table.TakeCommands(At(0));
  CHECK(table.HandleStop(EndOf(command), true, At(1)).kind == AnswerKind::kStopping);
  CHECK(table.TakeCommands(At(2)).empty());
  table.HandleResult(starts[0], MayHaveRun(FailureCode::kDeadlineExceeded, "lost"), At(3));
  CHECK(OfKind(table.TakeCommands(At(4)), WorkerCommandKind::kStop).size() == 1);
}

struct StopCase {
  const char* name;
  bool with_checkpoint;
  Result<void> result;
  std::int64_t repeat_ms;  ///< when the stop is sent again, counted from the result
  bool repeat_with_checkpoint;
};

// Guards against a stop that is lost, a checkpoint that is restarted again and again, and one that never completes.
TEST_CASE("attempt table repeats a stop until the worker reports the end", "[attempt_table]") {
  const auto test = GENERATE(values<StopCase>({
      {"accepted", false, {}, 5'000, false},
      {"failed", false, NotRun(FailureCode::kUnavailable, "refused"), 1'000, false},
      {"checkpoint accepted", true, {}, 120'000, false},
      {"checkpoint lost", true, MayHaveRun(FailureCode::kDeadlineExceeded, "lost"), 1'000, true},
  }));
  INFO(test.name);
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  Carry(table, At(0));
  table.HandleStop(EndOf(command), test.with_checkpoint, At(0));
  const auto stops = OfKind(table.TakeCommands(At(0)), WorkerCommandKind::kStop);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].with_checkpoint == test.with_checkpoint);
  table.HandleResult(stops[0], test.result, At(0));
  CHECK(OfKind(table.TakeCommands(At(test.repeat_ms - 1)), WorkerCommandKind::kStop).empty());
  const auto repeated = OfKind(table.TakeCommands(At(test.repeat_ms)), WorkerCommandKind::kStop);
  REQUIRE(repeated.size() == 1);
  CHECK(repeated[0].with_checkpoint == test.repeat_with_checkpoint);
  WorkerTask task = Task(command, WorkerTaskState::kStopped);
  task.checkpoint = "c2";
  table.Reconcile(Report({task}), At(200'000), At(200'000));
  REQUIRE(table.Ended().size() == 1);
  CHECK(table.Ended()[0].reason == EndReason::kStopped);
  CHECK(table.Ended()[0].stop_reason == StopReason::kRequested);
  CHECK(table.Ended()[0].checkpoint == "c2");
}

// Guards against a stop without checkpoint that has to wait for the timeout of an earlier one with checkpoint.
TEST_CASE("a stop without checkpoint replaces one with checkpoint", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  Carry(table, At(0));
  table.HandleStop(EndOf(command), true, At(1));
  CHECK(OfKind(Carry(table, At(1)), WorkerCommandKind::kStop).size() == 1);
  table.HandleStop(EndOf(command), false, At(2));
  const auto stops = OfKind(Carry(table, At(2)), WorkerCommandKind::kStop);
  REQUIRE(stops.size() == 1);
  CHECK_FALSE(stops[0].with_checkpoint);
}

// Guards against a long checkpoint that is cut off by the end of the lease.
TEST_CASE("leases are renewed during a requested checkpoint only", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  for (int number : {1, 2}) table.HandleStart(Command(number), At(0));
  Carry(table, At(0));
  table.HandleStop(EndOf(Command(1)), true, At(0));
  table.HandleStop(EndOf(Command(2)), false, At(0));
  const auto renewals = OfKind(Carry(table, At(10'000)), WorkerCommandKind::kRenew);
  REQUIRE(renewals.size() == 1);
  CHECK(renewals[0].key == Command(1).key);
  CHECK(OfKind(Carry(table, At(120'000)), WorkerCommandKind::kRenew).empty());
}

// Guards against an ended attempt that the owner never learns of, and one that the worker keeps listing for ever.
TEST_CASE("ended attempts are reported until acknowledged, then forgotten", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  Carry(table, At(0));
  const WorkerReport report = Report({Task(command, WorkerTaskState::kSucceeded)});
  table.Reconcile(report, At(10), At(10));
  table.Reconcile(report, At(20), At(20));
  CHECK(table.Ended().size() == 1);
  CHECK(OfKind(Carry(table, At(20)), WorkerCommandKind::kForget).empty());
  table.AcknowledgeEnded(command.key);
  CHECK(table.Ended().empty());
  CHECK(table.HasTombstone(command.key));
  const auto first = OfKind(table.TakeCommands(At(30)), WorkerCommandKind::kForget);
  REQUIRE(first.size() == 1);
  table.HandleResult(first[0], NotRun(FailureCode::kUnavailable, "refused"), At(30));
  CHECK(OfKind(Carry(table, At(1'030)), WorkerCommandKind::kForget).size() == 1);
  // Listed by a report that was requested before the worker forgot it.
  table.Reconcile(report, At(1'020), At(1'040));
  CHECK(table.Ended().empty());
  CHECK(OfKind(Carry(table, At(3'000)), WorkerCommandKind::kForget).empty());
  table.Reconcile(Report(), At(3'000), At(3'000));
  CHECK(table.Ended().empty());
}

// Guards against a worker that runs what was already answered as not run: it is booked and stopped at once.
TEST_CASE("a tombstoned attempt that the worker runs is stopped", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleWithdraw(EndOf(command), At(0));
  table.Reconcile(Report({Task(command)}), At(10), At(10));
  CHECK(table.ledger().booked() == command.resources);
  const auto stops = OfKind(Carry(table, At(11)), WorkerCommandKind::kStop);
  REQUIRE(stops.size() == 1);
  CHECK_FALSE(stops[0].with_checkpoint);
  CHECK(table.Attempts()[0].stop_reason == StopReason::kTombstoned);
  CHECK(OfKind(Carry(table, At(20'000)), WorkerCommandKind::kRenew).empty());
  table.Reconcile(Report({Task(command, WorkerTaskState::kStopped)}), At(20'010), At(20'010));
  CHECK(table.Ended().empty());
  CHECK(OfKind(Carry(table, At(20'020)), WorkerCommandKind::kForget).size() == 1);
}

// Guards against a second report of the end, and a worker that never forgets the attempt, when an attempt that was
// taken for lost turns up again.
TEST_CASE("an attempt reported as lost that turns up is stopped and forgotten", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  const StartCommand command = Command(1);
  table.HandleStart(command, At(0));
  Carry(table, At(0));
  table.Reconcile(Report(), At(10), At(10));
  REQUIRE(table.Ended().size() == 1);
  CHECK(table.Ended()[0].reason == EndReason::kUnknownToWorker);
  table.Reconcile(Report({Task(command)}), At(20), At(20));
  CHECK(table.Ended().size() == 1);
  CHECK(table.ledger().booked() == command.resources);
  CHECK(OfKind(Carry(table, At(20)), WorkerCommandKind::kStop).size() == 1);
  WorkerTask stopped = Task(command, WorkerTaskState::kStopped);
  stopped.checkpoint = "c2";
  table.Reconcile(Report({stopped}), At(30), At(30));
  REQUIRE(table.Ended().size() == 1);
  CHECK(table.Ended()[0].reason == EndReason::kStopped);
  CHECK(table.Ended()[0].checkpoint == "c2");
  CHECK(OfKind(Carry(table, At(30)), WorkerCommandKind::kForget).empty());
  table.AcknowledgeEnded(command.key);
  CHECK(OfKind(Carry(table, At(40)), WorkerCommandKind::kForget).size() == 1);
}

// Guards against a tombstone that could never be pruned, or that stands for no attempt.
TEST_CASE("attempt table refuses to end what was never placed", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  EndCommand command = EndOf(Command(1));
  command.offset = kNoOffset;
  CHECK(table.HandleWithdraw(command, At(0)).reason == RefusalReason::kInvalidCommand);
  CHECK(table.HandleStop(command, true, At(0)).reason == RefusalReason::kInvalidCommand);
  CHECK(table.tombstone_count() == 0);
}

struct ExcessCase {
  const char* name;
  Resources capacity;
  std::int64_t grown_memory;  ///< observed use of attempt 2, declared 1,000
  std::vector<int> stopped;
};

// Guards against overload that stays, and against stopping services or important work first.
TEST_CASE("attempt table stops what no longer fits, the least important first", "[attempt_table]") {
  // 1: service, 2 and 3: batch of importance 5 and 1.
  const auto test = GENERATE(values<ExcessCase>({
      {"fits", kCapacity, 0, {}},
      {"grown, but fits", kCapacity, 14'000, {}},
      {"grown", kCapacity, 14'500, {3}},
      {"grown far", kCapacity, 15'500, {2, 3}},
      {"one slot less than needed", {8'000, 16'000, 1, 2}, 0, {3}},
      {"one slot", {8'000, 16'000, 1, 1}, 0, {2, 3}},
      {"nothing left", {}, 0, {1, 2, 3}},
      {"fewer processors only", {500, 16'000, 1, 4}, 0, {}},
  }));
  INFO(test.name);
  AttemptTable table = ReadyTable();
  const std::vector<int> importance{0, 0, 5, 1};
  std::vector<WorkerTask> tasks;
  for (int number : {1, 2, 3}) {
    StartCommand command = Command(number);
    command.terms.kind = number == 1 ? TaskKind::kService : TaskKind::kBatch;
    command.terms.importance = importance[static_cast<std::size_t>(number)];
    REQUIRE(table.HandleStart(command, At(0)).kind == AnswerKind::kStarted);
    tasks.push_back(Task(command));
    if (number == 2) tasks.back().observed = {.memory_mb = test.grown_memory};
  }
  Carry(table, At(0));
  WorkerReport report = Report(tasks);
  report.capacity = test.capacity;
  table.Reconcile(report, At(10), At(10));
  std::vector<int> stopped;
  for (const WorkerCommand& stop : OfKind(Carry(table, At(20)), WorkerCommandKind::kStop)) {
    CHECK(stop.with_checkpoint);
    stopped.push_back(std::stoi(stop.key.task.value().substr(1)));
  }
  CHECK(stopped == test.stopped);
  CHECK(OfKind(Carry(table, At(30)), WorkerCommandKind::kStop).empty());
}

// Guards against services that lose processors to batch work, and throttles that are never lifted.
TEST_CASE("attempt table throttles batch attempts and lifts the throttle", "[attempt_table]") {
  AttemptTable table = ReadyTable();
  StartCommand service = Command(1);
  service.terms.kind = TaskKind::kService;
  service.resources.cpu_millis = 3'000;
  StartCommand batch = Command(2);
  batch.resources.cpu_millis = 4'000;
  table.HandleStart(service, At(0));
  table.HandleStart(batch, At(0));
  Carry(table, At(0));
  WorkerReport report = Report({Task(service), Task(batch)});
  report.capacity.cpu_millis = 5'000;
  table.Reconcile(report, At(10), At(10));
  auto throttles = OfKind(Carry(table, At(20)), WorkerCommandKind::kThrottle);
  REQUIRE(throttles.size() == 1);
  CHECK(throttles[0].key == batch.key);
  CHECK(throttles[0].percent == 50);
  CHECK(Carry(table, At(2'000)).empty());
  report.capacity = kCapacity;
  table.Reconcile(report, At(3'000), At(3'000));
  throttles = OfKind(Carry(table, At(3'000)), WorkerCommandKind::kThrottle);
  REQUIRE(throttles.size() == 1);
  CHECK(throttles[0].percent == 100);
}

}  // namespace
}  // namespace berylgauge
