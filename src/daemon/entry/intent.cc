#include "daemon/entry/intent.h"

#include <utility>

#include "base/json_object_reader.h"
#include "state/commands/put_quota.h"
#include "state/commands/put_service.h"
#include "state/commands/set_limit.h"
#include "state/commands/set_worker_state.h"
#include "state/commands/set_zone_state.h"

namespace berylgauge {
namespace {

enum class IntentKind {
  kDrainZone,
  kRestoreZone,
  kDrainWorker,
  kRestoreWorker,
  kLostWorker,
  kPutService,
  kRemoveService,
  kSetQuota,
  kRemoveQuota,
  kSetLimit,
};

constexpr auto kIntentKindNames = MakeEnumNames<IntentKind>({
    {IntentKind::kDrainZone, "drain-zone"},
    {IntentKind::kRestoreZone, "restore-zone"},
    {IntentKind::kDrainWorker, "drain-worker"},
    {IntentKind::kRestoreWorker, "restore-worker"},
    {IntentKind::kLostWorker, "lost-worker"},
    {IntentKind::kPutService, "put-service"},
    {IntentKind::kRemoveService, "remove-service"},
    {IntentKind::kSetQuota, "set-quota"},
    {IntentKind::kRemoveQuota, "remove-quota"},
    {IntentKind::kSetLimit, "set-limit"},
});

const StringRule kNameRule{.max_length = 100};

void ReadZone(JsonObjectReader& reader, AvailabilityState state, Intent& intent) {
  const AvailabilityZoneId zone(reader.String("target", kNameRule));
  intent.named_zone = zone;
  if (state == AvailabilityState::kDrained) intent.drained_zone = zone;
  intent.commands.push_back(std::make_unique<SetZoneState>(zone, state));
}

void ReadWorker(JsonObjectReader& reader, AvailabilityState state, Intent& intent) {
  const WorkerId worker(reader.String("target", kNameRule));
  intent.named_worker = worker;
  if (state != AvailabilityState::kOpen) intent.drained_worker = worker;
  intent.commands.push_back(std::make_unique<SetWorkerState>(worker, state));
}

void ReadLimit(JsonObjectReader& reader, Intent& intent) {
  const LimitName name = reader.Enum("limit", kLimitNames);
  const LimitRange range = RangeOf(name);
  intent.commands.push_back(
      std::make_unique<SetLimit>(name, reader.Integer("value", {.min = range.min, .max = range.max})));
}

void ReadByKind(IntentKind kind, JsonObjectReader& reader, Intent& intent) {
  switch (kind) {
    case IntentKind::kDrainZone:
      return ReadZone(reader, AvailabilityState::kDrained, intent);
    case IntentKind::kRestoreZone:
      return ReadZone(reader, AvailabilityState::kOpen, intent);
    case IntentKind::kDrainWorker:
      return ReadWorker(reader, AvailabilityState::kDrained, intent);
    case IntentKind::kRestoreWorker:
      return ReadWorker(reader, AvailabilityState::kOpen, intent);
    case IntentKind::kLostWorker:
      return ReadWorker(reader, AvailabilityState::kLost, intent);
    case IntentKind::kPutService: {
      const ServiceConfig service = ReadServiceConfig(reader.Object("service"));
      intent.commands.push_back(std::make_unique<PutService>(service.name, service));
      return;
    }
    case IntentKind::kRemoveService:
      intent.commands.push_back(
          std::make_unique<PutService>(ServiceId(reader.String("target", kNameRule)), std::nullopt));
      return;
    case IntentKind::kSetQuota: {
      const TeamQuota quota = ReadTeamQuota(reader.Object("quota"));
      intent.commands.push_back(std::make_unique<PutQuota>(quota.team, quota));
      return;
    }
    case IntentKind::kRemoveQuota:
      intent.commands.push_back(std::make_unique<PutQuota>(TeamId(reader.String("target", kNameRule)), std::nullopt));
      return;
    case IntentKind::kSetLimit:
      return ReadLimit(reader, intent);
  }
}

}  // namespace

Result<Intent> ParseIntent(const nlohmann::json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const IntentKind kind = reader.Enum("kind", kIntentKindNames);
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  Intent intent;
  intent.operator_name = reader.String("operator", {.max_length = 100});
  ReadByKind(kind, reader, intent);
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return intent;
}

}  // namespace berylgauge
