#pragma once

#include <nlohmann/json.hpp>

#include "base/resources.h"

namespace berylgauge {

class JsonObjectReader;

/// {"cpu_millis", "memory_mb", "accelerators", "slots"}
nlohmann::json ResourcesToJson(const Resources& resources);

/// Reads what `ResourcesToJson` wrote; accelerators default to 0 and slots to 1.
Resources ReadResources(JsonObjectReader reader);

}  // namespace berylgauge
