#include "membership/heartbeat_reply.h"

#include <nlohmann/json.hpp>

#include "base/cbor_document.h"
#include "base/json_object_reader.h"
#include "membership/cbor_fields.h"
#include "membership/message_limits.h"

namespace berylgauge {
namespace {

using nlohmann::json;

/// Rounds up, so that a proof never looks younger than it is.
std::int64_t CeilMilliseconds(absl::Duration duration) {
  return absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
}

json ToWire(const HeartbeatReply& reply) {
  json out{{"e", reply.entry.value()},
           {"i", IncarnationToWire(reply.entry_incarnation)},
           {"v", reply.config_version},
           {"o", reply.offset},
           {"z", kAvailabilityZoneAdmissionNames.NameOf(reply.availability_zone_admission)},
           {"w", kWorkerAdmissionNames.NameOf(reply.worker_admission)}};
  if (reply.proof_age) out["p"] = CeilMilliseconds(*reply.proof_age);
  if (reply.is_registered) out["g"] = true;
  for (const AttemptAcknowledgement& attempt : reply.acknowledged) {
    out["x"].push_back({{"t", attempt.task.value()}, {"n", attempt.attempt}});
  }
  for (const std::string& address : reply.entries) out["n"].push_back(address);
  return out;
}

Result<HeartbeatReply> FromWire(const json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  HeartbeatReply reply;
  reply.entry = EntryId(ReadId(reader, "e"));
  reply.entry_incarnation = ReadIncarnation(reader, "i");
  reply.config_version = reader.Integer("v");
  reply.offset = reader.Integer("o", {.min = kNoOffset});
  if (reader.Has("p")) reply.proof_age = absl::Milliseconds(reader.Integer("p"));
  reply.availability_zone_admission = reader.Enum<AvailabilityZoneAdmission>("z", kAvailabilityZoneAdmissionNames);
  reply.worker_admission = reader.Enum<WorkerAdmission>("w", kWorkerAdmissionNames);
  reply.is_registered = reader.Boolean("g", false);
  for (JsonObjectReader& item : reader.Objects("x", kMaxEndedAttempts, false)) {
    reply.acknowledged.push_back({.task = TaskId(ReadId(item, "t")), .attempt = ReadAttemptNumber(item, "n")});
    item.Finish();
  }
  reply.entries = reader.Strings("n", kMaxLiveEntries, false);
  for (const std::string& address : reply.entries) {
    if (!IsAddress(address)) reader.AddError("n", "must be a list of \"ip:port\"");
  }
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return reply;
}

}  // namespace

Result<std::string> EncodeHeartbeatReply(const HeartbeatReply& reply) {
  const json document = ToWire(reply);
  if (Result<HeartbeatReply> checked = FromWire(document); !checked) return tl::make_unexpected(checked.error());
  std::string bytes;
  json::to_cbor(document, bytes);
  if (bytes.size() > kMaxHeartbeatReplyBytes) return NotRun(FailureCode::kInvalidArgument, "reply is too large", "$");
  return bytes;
}

Result<HeartbeatReply> DecodeHeartbeatReply(std::string_view bytes) {
  const Result<json> document = ParseCborDocument(bytes, kMaxHeartbeatReplyBytes);
  if (!document) return tl::make_unexpected(document.error());
  return FromWire(*document);
}

}  // namespace berylgauge
