#include "state/config_records.h"

#include "base/json_object_reader.h"
#include "state/decimal_text.h"

namespace berylgauge {
namespace {

enum class Kind { kPropose, kConfirm, kRevoke, kClear, kRegister };

constexpr auto kKindNames = MakeEnumNames<Kind>({
    {Kind::kPropose, "propose"},
    {Kind::kConfirm, "confirm"},
    {Kind::kRevoke, "revoke"},
    {Kind::kClear, "clear"},
    {Kind::kRegister, "register"},
});

struct Encoder {
  nlohmann::json operator()(const PlanProposed& r) const {
    nlohmann::json document = r.ToJson();
    document["t"] = kKindNames.NameOf(Kind::kPropose);
    return document;
  }
  nlohmann::json operator()(const PlanConfirmed& r) const {
    return {{"t", kKindNames.NameOf(Kind::kConfirm)},
            {"plan", r.plan.value()},
            {"operator", r.operator_name},
            {"at", r.confirmed_unix_ms}};
  }
  nlohmann::json operator()(const WorkerRevoked& r) const {
    return {{"t", kKindNames.NameOf(Kind::kRevoke)}, {"worker", r.worker.value()}};
  }
  nlohmann::json operator()(const WorkerCleared& r) const {
    return {{"t", kKindNames.NameOf(Kind::kClear)}, {"worker", r.worker.value()}, {"cleared", r.cleared}};
  }
  nlohmann::json operator()(const AgentRegistered& r) const {
    return {{"t", kKindNames.NameOf(Kind::kRegister)},
            {"worker", r.worker.value()},
            {"agent", std::to_string(r.agent_incarnation)}};
  }
};

ConfigRecord ReadRecord(Kind kind, JsonObjectReader& reader, const nlohmann::json& document) {
  switch (kind) {
    case Kind::kPropose: {
      PlanProposed r;
      r.plan = PlanId(reader.String("plan"));
      r.operator_name = reader.String("operator");
      r.proposed_unix_ms = reader.Integer("at");
      r.based_on = reader.Integer("based_on");
      reader.Objects("commands", 1'000);
      r.commands = document.value("commands", nlohmann::json::array());
      return r;
    }
    case Kind::kConfirm: {
      PlanConfirmed r;
      r.plan = PlanId(reader.String("plan"));
      r.operator_name = reader.String("operator");
      r.confirmed_unix_ms = reader.Integer("at");
      return r;
    }
    case Kind::kClear: {
      WorkerCleared r;
      r.worker = WorkerId(reader.String("worker"));
      r.cleared = reader.Integer("cleared");
      return r;
    }
    case Kind::kRegister: {
      AgentRegistered r;
      r.worker = WorkerId(reader.String("worker"));
      r.agent_incarnation = ReadDecimalText(reader, "agent");
      return r;
    }
    case Kind::kRevoke:
      break;
  }
  return WorkerRevoked{.worker = WorkerId(reader.String("worker"))};
}

}  // namespace

nlohmann::json PlanProposed::ToJson() const {
  return {{"plan", plan.value()},
          {"operator", operator_name},
          {"at", proposed_unix_ms},
          {"based_on", based_on},
          {"commands", commands}};
}

nlohmann::json EncodeConfigRecord(const ConfigRecord& record) { return std::visit(Encoder{}, record); }

Result<ConfigRecord> DecodeConfigRecord(const nlohmann::json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const Kind kind = reader.Enum("t", kKindNames);
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  ConfigRecord record = ReadRecord(kind, reader, document);
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return record;
}

}  // namespace berylgauge
