#include "state/service_config.h"

#include "base/json_object_reader.h"

namespace berylgauge {

nlohmann::json ServiceConfig::ToJson() const {
  return {{"name", name.value()},
          {"importance", importance},
          {"request_timeout_ms", request_timeout_ms},
          {"max_outstanding", max_outstanding}};
}

ServiceConfig ReadServiceConfig(JsonObjectReader reader) {
  ServiceConfig config;
  config.name = ServiceId(reader.String("name", {.max_length = 100}));
  config.importance = reader.Integer("importance", {.default_value = 5, .max = 9});
  config.request_timeout_ms = reader.Integer("request_timeout_ms", {.default_value = 5000, .min = 1, .max = 600'000});
  config.max_outstanding = reader.Integer("max_outstanding", {.default_value = 1000, .min = 1, .max = 100'000});
  reader.Finish();
  return config;
}

}  // namespace berylgauge
