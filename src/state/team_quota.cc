#include "state/team_quota.h"

#include "base/json_object_reader.h"

namespace berylgauge {
namespace {

constexpr std::int64_t kMaxAmount = 1'000'000'000;

}  // namespace

nlohmann::json TeamQuota::ToJson() const {
  return {{"team", team.value()}, {"cpu_millis", cpu_millis}, {"memory_mb", memory_mb}, {"accelerators", accelerators}};
}

TeamQuota ReadTeamQuota(JsonObjectReader reader) {
  TeamQuota quota;
  quota.team = TeamId(reader.String("team", {.max_length = 100}));
  quota.cpu_millis = reader.Integer("cpu_millis", {.max = kMaxAmount});
  quota.memory_mb = reader.Integer("memory_mb", {.max = kMaxAmount});
  quota.accelerators = reader.Integer("accelerators", {.default_value = 0, .max = kMaxAmount});
  reader.Finish();
  return quota;
}

}  // namespace berylgauge
