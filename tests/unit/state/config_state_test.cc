#include "state/config_state.h"

#include <catch2/catch.hpp>

#include "state/batch.h"
#include "state/commands/config_command.h"
#include "state/commands/put_quota.h"
#include "state/commands/put_service.h"
#include "state/commands/set_limit.h"
#include "state/commands/set_worker_state.h"
#include "state/commands/set_zone_state.h"

namespace berylgauge {
namespace {

/// Appends records one batch each, as one writer.
class ConfigLog {
 public:
  FoldOutcome Append(const ConfigRecord& record) {
    const Batch batch{.writer = "entry",
                      .incarnation = 1,
                      .sequence = ++m_sequence,
                      .seen = m_offset,
                      .records = {EncodeConfigRecord(record)}};
    return m_state.Apply(batch, ++m_offset)[0];
  }

  FoldOutcome Propose(const std::string& plan, ConfigVersion based_on, const ConfigCommand& command) {
    return Append(PlanProposed{.plan = PlanId(plan),
                               .operator_name = "aoife",
                               .based_on = based_on,
                               .commands = nlohmann::json::array({command.ToJson()})});
  }

  FoldOutcome Confirm(const std::string& plan) {
    return Append(PlanConfirmed{.plan = PlanId(plan), .operator_name = "aoife", .confirmed_unix_ms = 1});
  }

  ConfigState& state() { return m_state; }

 private:
  ConfigState m_state;
  Offset m_offset = kNoOffset;
  std::uint64_t m_sequence = 0;
};

// Guards against two operators who both confirm a plan made on the same version.
TEST_CASE("of two plans on the same version only the first confirmed is accepted", "[state]") {
  ConfigLog log;
  const SetZoneState drain(AvailabilityZoneId("limerick-yard"), AvailabilityState::kDrained);
  const SetLimit limit(LimitName::kMaxJobs, 5);
  CHECK(log.Propose("a", 0, drain) == FoldOutcome::kAccepted);
  CHECK(log.Propose("b", 0, limit) == FoldOutcome::kAccepted);
  CHECK(log.Confirm("b") == FoldOutcome::kAccepted);
  CHECK(log.Confirm("a") == FoldOutcome::kStaleVersion);
  CHECK(log.Confirm("b") == FoldOutcome::kStaleVersion);
  CHECK(log.Confirm("c") == FoldOutcome::kUnknownObject);
  CHECK(log.state().version() == 1);
  CHECK(log.state().ZoneState(AvailabilityZoneId("limerick-yard")) == AvailabilityState::kOpen);
  CHECK(log.state().Limit(LimitName::kMaxJobs) == 5);
}

// Guards against an audit trail that does not tell what the value was before.
TEST_CASE("the audit trail holds operator, old and new value", "[state]") {
  ConfigLog log;
  log.Propose("a", 0, SetZoneState(AvailabilityZoneId("z"), AvailabilityState::kDrained));
  log.Confirm("a");
  REQUIRE(log.state().audit().size() == 1);
  const AuditRecord& record = log.state().audit().front();
  CHECK(record.operator_name == "aoife");
  CHECK(record.target == "availability zone z");
  CHECK(record.from == "open");
  CHECK(record.to == "drained");
}

std::vector<std::shared_ptr<ConfigCommand>> AllCommands() {
  ServiceConfig service;
  service.name = ServiceId("dispatch");
  TeamQuota quota;
  quota.team = TeamId("stock");
  return {
      std::make_shared<SetZoneState>(AvailabilityZoneId("z"), AvailabilityState::kDrained),
      std::make_shared<SetWorkerState>(WorkerId("w"), AvailabilityState::kLost),
      std::make_shared<PutService>(service.name, service),
      std::make_shared<PutQuota>(quota.team, quota),
      std::make_shared<SetLimit>(LimitName::kMaxJobs, 7),
  };
}

// Guards against a command that cannot be undone or that changes when it is written and read.
TEST_CASE("each configuration command round-trips and can be undone", "[state]") {
  for (const auto& command : AllCommands()) {
    CAPTURE(command->Target());
    ConfigState state;
    const nlohmann::json before = command->Current(state);
    const std::unique_ptr<ConfigCommand> inverse = command->Inverse(state);
    const auto parsed = ParseConfigCommand(command->ToJson());
    REQUIRE(parsed.has_value());
    (*parsed)->Apply(state);
    CHECK(command->Current(state) == command->Next());
    inverse->Apply(state);
    CHECK(command->Current(state) == before);
    REQUIRE(ParseConfigCommand(inverse->ToJson()).has_value());
  }
}

struct BadCommandCase {
  const char* document;
  const char* field;
};

// Guards against wrong input that is accepted in part.
TEST_CASE("wrong configuration commands are refused with the field", "[state]") {
  const auto test = GENERATE(values<BadCommandCase>({
      {R"({})", "$.command"},
      {R"({"command":"set-zone-state","zone":"z","state":"lost"})", "$.state"},
      {R"({"command":"set-zone-state","zone":"","state":"open"})", "$.zone"},
      {R"({"command":"set-limit","limit":"max-jobs","value":0})", "$.value"},
      {R"({"command":"set-limit","limit":"none","value":1})", "$.limit"},
      {R"({"command":"set-limit","limit":"max-jobs","value":1,"x":1})", "$.x"},
      {R"({"command":"put-quota","id":"a","value":{"team":"b","cpu_millis":1,"memory_mb":1}})", "$.value"},
      {R"({"command":"put-service","id":"a"})", "$.value"},
  }));
  CAPTURE(test.document);
  const auto parsed = ParseConfigCommand(nlohmann::json::parse(test.document));
  REQUIRE(!parsed.has_value());
  CHECK(parsed.error().field == test.field);
}

// Guards against an agent that is trusted again because it was empty before a later revocation.
TEST_CASE("a revocation ends only when the agent was clear after it", "[state]") {
  ConfigLog log;
  const WorkerId worker("w");
  CHECK(log.Append(WorkerRevoked{.worker = worker}) == FoldOutcome::kAccepted);
  CHECK(log.Append(WorkerRevoked{.worker = worker}) == FoldOutcome::kRepeat);
  CHECK(log.Append(WorkerCleared{.worker = worker, .cleared = 1}) == FoldOutcome::kAccepted);
  CHECK(log.Append(WorkerRevoked{.worker = worker}) == FoldOutcome::kAccepted);
  CHECK(log.state().RevokedAt(worker) == 3);
  CHECK(log.Append(WorkerCleared{.worker = worker, .cleared = 2}) == FoldOutcome::kWrongState);
  CHECK(log.state().RevokedAt(worker) == 3);
}

// Guards against a snapshot that loses plans, audit records or limits.
TEST_CASE("a restored configuration snapshot equals the state", "[state]") {
  ConfigLog log;
  ConfigVersion version = 0;
  for (const auto& command : AllCommands()) {
    log.Propose("plan-" + std::to_string(version), version, *command);
    REQUIRE(log.Confirm("plan-" + std::to_string(version)) == FoldOutcome::kAccepted);
    ++version;
  }
  log.Append(WorkerRevoked{.worker = WorkerId("w")});
  ConfigState restored;
  REQUIRE(restored.Restore(log.state().ToJson()).has_value());
  CHECK(restored.ToJson() == log.state().ToJson());
  CHECK(restored.RevokedAt(WorkerId("w")) == log.state().offset());
}

}  // namespace
}  // namespace berylgauge
