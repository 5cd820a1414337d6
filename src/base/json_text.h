#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace berylgauge {

/// The string under `key`, or `fallback` if `value` is no object or has no string there. nlohmann's `value` throws for
/// another type.
inline std::string StringOr(const nlohmann::json& value, const char* key, std::string fallback) {
  if (!value.is_object()) return fallback;
  const auto found = value.find(key);
  return found != value.end() && found->is_string() ? found->get<std::string>() : fallback;
}

/// The document as JSON. Bytes that are no UTF-8, which CBOR strings of another writer may have, become U+FFFD; by
/// default nlohmann throws.
inline std::string ToJsonText(const nlohmann::json& document) {
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace berylgauge
