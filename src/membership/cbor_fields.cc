#include "membership/cbor_fields.h"

#include <arpa/inet.h>

#include <charconv>
#include <limits>

#include "membership/message_limits.h"

namespace berylgauge {

Incarnation ReadIncarnation(JsonObjectReader& reader, const std::string& key) {
  const auto value = static_cast<Incarnation>(reader.Integer(key, {.min = std::numeric_limits<std::int64_t>::min()}));
  if (value == 0 && reader.Has(key)) reader.AddError(key, "must not be 0");
  return value;
}

std::string ReadId(JsonObjectReader& reader, const std::string& key) {
  return reader.String(key, {.max_length = kMaxIdBytes});
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || text.size() > kMaxAddressBytes) return false;
  int port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || rest != end || port < 1 || port > 65535) return false;
  const std::string host = text.substr(0, colon);
  in6_addr parsed{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &parsed) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

std::string ReadAddress(JsonObjectReader& reader, const std::string& key) {
  std::string text = reader.String(key, {.max_length = kMaxAddressBytes});
  if (!text.empty() && !IsAddress(text)) reader.AddError(key, "must be \"ip:port\"");
  return text;
}

AttemptNumber ReadAttemptNumber(JsonObjectReader& reader, const std::string& key) {
  return static_cast<AttemptNumber>(reader.Integer(key, {.min = 1, .max = std::numeric_limits<AttemptNumber>::max()}));
}

nlohmann::json ResourcesToWire(const Resources& resources) {
  nlohmann::json out = nlohmann::json::object();
  if (resources.cpu_millis != 0) out["c"] = resources.cpu_millis;
  if (resources.memory_mb != 0) out["m"] = resources.memory_mb;
  if (resources.accelerators != 0) out["g"] = resources.accelerators;
  if (resources.slots != 0) out["s"] = resources.slots;
  return out;
}

Resources ReadWireResources(JsonObjectReader reader) {
  // The upper bound keeps sums over all workers far from an overflow.
  const IntegerRule rule{.default_value = 0, .min = 0, .max = std::int64_t{1} << 40};
  Resources resources{.cpu_millis = reader.Integer("c", rule),
                      .memory_mb = reader.Integer("m", rule),
                      .accelerators = reader.Integer("g", rule),
                      .slots = reader.Integer("s", rule)};
  reader.Finish();
  return resources;
}

}  // namespace berylgauge
