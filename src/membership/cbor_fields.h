#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/ids.h"
#include "base/json_object_reader.h"
#include "base/resources.h"

namespace berylgauge {

/// Incarnations use all 64 bits, but the object reader reads signed integers; they travel as the signed value of the
/// same bits.
inline std::int64_t IncarnationToWire(Incarnation incarnation) { return static_cast<std::int64_t>(incarnation); }

/// Reads an incarnation; 0 is refused.
Incarnation ReadIncarnation(JsonObjectReader& reader, const std::string& key);

/// Reads an identifier of 1 to `kMaxIdBytes` bytes.
std::string ReadId(JsonObjectReader& reader, const std::string& key);

/// Reads "ip:port" with an IPv4 address or an IPv6 address in brackets.
std::string ReadAddress(JsonObjectReader& reader, const std::string& key);

/// True for "ip:port" with an IPv4 address or an IPv6 address in brackets and a port from 1 to 65535.
bool IsAddress(const std::string& text);

/// Reads an attempt number from 1.
AttemptNumber ReadAttemptNumber(JsonObjectReader& reader, const std::string& key);

/// Amounts as an object; zero amounts are left out.
nlohmann::json ResourcesToWire(const Resources& resources);
Resources ReadWireResources(JsonObjectReader reader);

}  // namespace berylgauge
