#include "state/resources_json.h"

#include "base/json_object_reader.h"

namespace berylgauge {
namespace {

/// Larger than any worker; keeps sums far from overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000;

}  // namespace

nlohmann::json ResourcesToJson(const Resources& resources) {
  return {{"cpu_millis", resources.cpu_millis},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators},
          {"slots", resources.slots}};
}

Resources ReadResources(JsonObjectReader reader) {
  Resources resources;
  resources.cpu_millis = reader.Integer("cpu_millis", {.max = kMaxAmount});
  resources.memory_mb = reader.Integer("memory_mb", {.max = kMaxAmount});
  resources.accelerators = reader.Integer("accelerators", {.default_value = 0, .max = kMaxAmount});
  resources.slots = reader.Integer("slots", {.default_value = 1, .max = kMaxAmount});
  reader.Finish();
  return resources;
}

}  // namespace berylgauge
