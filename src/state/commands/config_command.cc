#include "state/commands/config_command.h"

#include "base/json_object_reader.h"
#include "state/commands/put_quota.h"
#include "state/commands/put_service.h"
#include "state/commands/set_limit.h"
#include "state/commands/set_worker_state.h"
#include "state/commands/set_zone_state.h"

namespace berylgauge {
namespace {

enum class Kind { kSetZoneState, kSetWorkerState, kPutService, kPutQuota, kSetLimit };

constexpr auto kKindNames = MakeEnumNames<Kind>({
    {Kind::kSetZoneState, "set-zone-state"},
    {Kind::kSetWorkerState, "set-worker-state"},
    {Kind::kPutService, "put-service"},
    {Kind::kPutQuota, "put-quota"},
    {Kind::kSetLimit, "set-limit"},
});

/// Reads "value", where null stands for removal.
template <typename Value>
std::optional<Value> ReadOptionalValue(JsonObjectReader& reader, Value (*read)(JsonObjectReader)) {
  if (reader.Json("value").is_null()) return std::nullopt;
  return read(reader.Object("value"));
}

std::unique_ptr<ConfigCommand> ReadSetZoneState(JsonObjectReader& reader) {
  AvailabilityZoneId zone(reader.String("zone", {.max_length = 100}));
  const AvailabilityState state = reader.Enum("state", kAvailabilityStateNames);
  if (state == AvailabilityState::kLost) reader.AddError("state", "an availability zone can be open or drained");
  return std::make_unique<SetZoneState>(std::move(zone), state);
}

std::unique_ptr<ConfigCommand> ReadSetWorkerState(JsonObjectReader& reader) {
  WorkerId worker(reader.String("worker", {.max_length = 100}));
  const AvailabilityState state = reader.Enum("state", kAvailabilityStateNames);
  return std::make_unique<SetWorkerState>(std::move(worker), state);
}

std::unique_ptr<ConfigCommand> ReadPutService(JsonObjectReader& reader) {
  ServiceId id(reader.String("id", {.max_length = 100}));
  auto value = ReadOptionalValue(reader, &ReadServiceConfig);
  if (value && value->name != id) reader.AddError("value", "must have the name given as id");
  return std::make_unique<PutService>(std::move(id), std::move(value));
}

std::unique_ptr<ConfigCommand> ReadPutQuota(JsonObjectReader& reader) {
  TeamId id(reader.String("id", {.max_length = 100}));
  auto value = ReadOptionalValue(reader, &ReadTeamQuota);
  if (value && value->team != id) reader.AddError("value", "must have the team given as id");
  return std::make_unique<PutQuota>(std::move(id), std::move(value));
}

std::unique_ptr<ConfigCommand> ReadSetLimit(JsonObjectReader& reader) {
  const LimitName name = reader.Enum("limit", kLimitNames);
  const LimitRange range = RangeOf(name);
  return std::make_unique<SetLimit>(name, reader.Integer("value", {.min = range.min, .max = range.max}));
}

std::unique_ptr<ConfigCommand> ReadCommand(Kind kind, JsonObjectReader& reader) {
  switch (kind) {
    case Kind::kSetZoneState:
      return ReadSetZoneState(reader);
    case Kind::kSetWorkerState:
      return ReadSetWorkerState(reader);
    case Kind::kPutService:
      return ReadPutService(reader);
    case Kind::kPutQuota:
      return ReadPutQuota(reader);
    case Kind::kSetLimit:
      return ReadSetLimit(reader);
  }
  return nullptr;
}

}  // namespace

Result<std::unique_ptr<ConfigCommand>> ParseConfigCommand(const nlohmann::json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const Kind kind = reader.Enum("command", kKindNames);
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  std::unique_ptr<ConfigCommand> command = ReadCommand(kind, reader);
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return command;
}

}  // namespace berylgauge
