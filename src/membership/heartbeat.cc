#include "membership/heartbeat.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "base/cbor_document.h"
#include "base/json_object_reader.h"
#include "membership/cbor_fields.h"
#include "membership/message_limits.h"

namespace berylgauge {
namespace {

using nlohmann::json;

/// Cuts at a character boundary, so that the text stays valid UTF-8.
std::string CutDetail(const std::string& text) {
  if (text.size() <= kMaxDetailBytes) return text;
  std::size_t end = kMaxDetailBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) --end;
  return text.substr(0, end);
}

json EndpointToWire(const EndpointReport& endpoint) {
  json out{{"s", endpoint.service.value()},
           {"a", endpoint.address},
           {"i", IncarnationToWire(endpoint.incarnation)},
           {"n", endpoint.slots}};
  if (endpoint.outstanding != 0) out["o"] = endpoint.outstanding;
  if (endpoint.leaving) out["l"] = true;
  return out;
}

EndpointReport ReadEndpoint(JsonObjectReader& reader) {
  EndpointReport endpoint{
      .service = ServiceId(ReadId(reader, "s")),
      .address = ReadAddress(reader, "a"),
      .incarnation = ReadIncarnation(reader, "i"),
      .slots = static_cast<int>(reader.Integer("n", {.min = 0, .max = kMaxSlots})),
      .outstanding = static_cast<int>(reader.Integer("o", {.default_value = 0, .min = 0, .max = kMaxSlots})),
      .leaving = reader.Boolean("l", false)};
  reader.Finish();
  return endpoint;
}

json RunningToWire(const RunningAttemptReport& attempt) {
  json out{{"t", attempt.task.value()}, {"n", attempt.attempt}};
  if (attempt.state != ReportedAttemptState::kRunning) out["s"] = kReportedAttemptStateNames.NameOf(attempt.state);
  return out;
}

RunningAttemptReport ReadRunning(JsonObjectReader& reader) {
  RunningAttemptReport attempt{
      .task = TaskId(ReadId(reader, "t")),
      .attempt = ReadAttemptNumber(reader, "n"),
      .state = reader.Enum<ReportedAttemptState>("s", kReportedAttemptStateNames, ReportedAttemptState::kRunning)};
  reader.Finish();
  return attempt;
}

json EndedToWire(const EndedAttemptReport& attempt) {
  json out{{"t", attempt.task.value()},
           {"n", attempt.attempt},
           {"i", IncarnationToWire(attempt.agent_incarnation)},
           {"o", kReportedAttemptOutcomeNames.NameOf(attempt.outcome)}};
  if (!attempt.checkpoint.empty()) out["c"] = attempt.checkpoint;
  if (!attempt.detail.empty()) out["d"] = CutDetail(attempt.detail);
  return out;
}

EndedAttemptReport ReadEnded(JsonObjectReader& reader) {
  EndedAttemptReport attempt{
      .task = TaskId(ReadId(reader, "t")),
      .attempt = ReadAttemptNumber(reader, "n"),
      .agent_incarnation = ReadIncarnation(reader, "i"),
      .outcome = reader.Enum<ReportedAttemptOutcome>("o", kReportedAttemptOutcomeNames),
      .checkpoint = reader.String("c", {.default_value = "", .min_length = 0, .max_length = kMaxIdBytes}),
      .detail = reader.String("d", {.default_value = "", .min_length = 0, .max_length = kMaxDetailBytes})};
  reader.Finish();
  return attempt;
}

json ToWire(const Heartbeat& heartbeat) {
  json out{{"w", heartbeat.worker.value()},
           {"k", heartbeat.rack.value()},
           {"z", heartbeat.availability_zone.value()},
           {"g", heartbeat.region},
           {"i", IncarnationToWire(heartbeat.incarnation)},
           {"q", heartbeat.sequence},
           {"a", heartbeat.address},
           {"c", ResourcesToWire(heartbeat.capacity)},
           {"v", heartbeat.config_version}};
  if (!heartbeat.boot_id.empty()) out["b"] = heartbeat.boot_id;
  if (heartbeat.booked != Resources{}) out["u"] = ResourcesToWire(heartbeat.booked);
  if (heartbeat.cleared != kNoOffset) out["o"] = heartbeat.cleared;
  if (heartbeat.draining) out["d"] = true;
  if (heartbeat.leaving) out["l"] = true;
  if (heartbeat.reconciled) out["f"] = true;
  for (const EndpointReport& endpoint : heartbeat.endpoints) out["e"].push_back(EndpointToWire(endpoint));
  for (const RunningAttemptReport& attempt : heartbeat.running) out["r"].push_back(RunningToWire(attempt));
  const std::size_t ended_count = std::min(heartbeat.ended.size(), kMaxEndedAttempts);
  for (std::size_t i = 0; i < ended_count; ++i) out["x"].push_back(EndedToWire(heartbeat.ended[i]));
  return out;
}

Result<Heartbeat> FromWire(const json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  Heartbeat heartbeat;
  heartbeat.worker = WorkerId(ReadId(reader, "w"));
  heartbeat.rack = RackId(ReadId(reader, "k"));
  heartbeat.availability_zone = AvailabilityZoneId(ReadId(reader, "z"));
  heartbeat.region = ReadId(reader, "g");
  heartbeat.incarnation = ReadIncarnation(reader, "i");
  heartbeat.sequence = static_cast<std::uint64_t>(reader.Integer("q", {.min = 1}));
  heartbeat.boot_id = reader.String("b", {.default_value = "", .min_length = 0, .max_length = kMaxIdBytes});
  heartbeat.address = ReadAddress(reader, "a");
  heartbeat.capacity = ReadWireResources(reader.Object("c"));
  heartbeat.booked = ReadWireResources(reader.Object("u", false));
  heartbeat.draining = reader.Boolean("d", false);
  heartbeat.leaving = reader.Boolean("l", false);
  heartbeat.reconciled = reader.Boolean("f", false);
  for (JsonObjectReader& item : reader.Objects("e", kMaxReportedEndpoints, false)) {
    heartbeat.endpoints.push_back(ReadEndpoint(item));
  }
  for (JsonObjectReader& item : reader.Objects("r", kMaxRunningAttempts, false)) {
    heartbeat.running.push_back(ReadRunning(item));
  }
  for (JsonObjectReader& item : reader.Objects("x", kMaxEndedAttempts, false)) {
    heartbeat.ended.push_back(ReadEnded(item));
  }
  heartbeat.config_version = reader.Integer("v");
  heartbeat.cleared = reader.Integer("o", {.default_value = kNoOffset});
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return heartbeat;
}

}  // namespace

Result<std::string> EncodeHeartbeat(const Heartbeat& heartbeat) {
  const json document = ToWire(heartbeat);
  if (Result<Heartbeat> checked = FromWire(document); !checked) return tl::make_unexpected(checked.error());
  std::string bytes;
  json::to_cbor(document, bytes);
  if (bytes.size() > kMaxHeartbeatBytes) return NotRun(FailureCode::kInvalidArgument, "heartbeat is too large", "$");
  return bytes;
}

Result<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  const Result<json> document = ParseCborDocument(bytes, kMaxHeartbeatBytes);
  if (!document) return tl::make_unexpected(document.error());
  return FromWire(*document);
}

}  // namespace berylgauge
