#include "state/claims_records.h"

#include <cstdint>
#include <cstdlib>

#include "base/json_object_reader.h"
#include "state/decimal_text.h"

namespace berylgauge {
namespace {

nlohmann::json EncodeAnswer(const KeptAnswer& answer) {
  nlohmann::json headers = nlohmann::json::array();
  for (const auto& [name, value] : answer.headers) {
    headers.push_back(nlohmann::json::array({name, value}));
  }
  // A body need not be UTF-8, so it travels as a CBOR byte string.
  return {{"headers", std::move(headers)},
          {"body", nlohmann::json::binary(std::vector<std::uint8_t>(answer.body.begin(), answer.body.end()))}};
}

/// Encodes each kind of record as an object whose "t" names the kind.
struct Encoder {
  nlohmann::json operator()(const KeyClaimed& r) const {
    return {{"t", "claim"},
            {"service", r.key.service.value()},
            {"key", r.key.digest},
            {"digest", r.request_digest},
            {"entry", r.entry.value()},
            {"incarnation", std::to_string(r.entry_incarnation)},
            {"request", r.request.value()}};
  }
  nlohmann::json operator()(const KeyOutcome& r) const {
    nlohmann::json document = {{"t", "outcome"},
                               {"service", r.key.service.value()},
                               {"key", r.key.digest},
                               {"request", r.request.value()},
                               {"verdict", kVerdictNames.NameOf(r.verdict)},
                               {"status", r.status}};
    if (r.answer) document["answer"] = EncodeAnswer(*r.answer);
    return document;
  }
  nlohmann::json operator()(const KeyReleased& r) const {
    return {
        {"t", "release"}, {"service", r.key.service.value()}, {"key", r.key.digest}, {"request", r.request.value()}};
  }
  nlohmann::json operator()(const WindowStep& r) const { return {{"t", "step"}, {"at", r.at}}; }
};

std::string ReadDigest(JsonObjectReader& reader, const std::string& key) {
  return reader.String(key, {.min_length = 32, .max_length = 32});
}

ClaimKey ReadKey(JsonObjectReader& reader) {
  ClaimKey key;
  key.service = ServiceId(reader.String("service"));
  key.digest = ReadDigest(reader, "key");
  return key;
}

ClaimsRecord ReadClaim(JsonObjectReader& reader) {
  KeyClaimed r;
  r.key = ReadKey(reader);
  r.request_digest = ReadDigest(reader, "digest");
  r.entry = EntryId(reader.String("entry"));
  r.entry_incarnation = ReadDecimalText(reader, "incarnation");
  if (r.entry_incarnation == 0) reader.AddError("incarnation", "must be a number above 0");
  r.request = RequestId(reader.String("request"));
  return r;
}

KeptAnswer ReadAnswer(JsonObjectReader reader) {
  KeptAnswer answer;
  std::size_t bytes = 0;
  const nlohmann::json headers = reader.Json("headers");
  if (!headers.is_array() || headers.size() > kMaxKeptHeaders) {
    reader.AddError("headers", "must be a list of headers");
  } else {
    for (const nlohmann::json& header : headers) {
      if (!header.is_array() || header.size() != 2 || !header[0].is_string() || !header[1].is_string()) {
        reader.AddError("headers", "must be pairs of name and value");
        break;
      }
      answer.headers.emplace_back(header[0].get<std::string>(), header[1].get<std::string>());
      bytes += answer.headers.back().first.size() + answer.headers.back().second.size();
    }
  }
  const nlohmann::json body = reader.Json("body");
  if (body.is_binary()) {
    answer.body.assign(body.get_binary().begin(), body.get_binary().end());
  } else {
    reader.AddError("body", "must be a byte string");
  }
  if (bytes + answer.body.size() > kMaxKeptAnswerBytes) reader.AddError("body", "is too long");
  reader.Finish();
  return answer;
}

ClaimsRecord ReadOutcome(JsonObjectReader& reader) {
  KeyOutcome r;
  r.key = ReadKey(reader);
  r.request = RequestId(reader.String("request"));
  r.verdict = reader.Enum("verdict", kVerdictNames);
  if (r.verdict == Verdict::kNotRun) reader.AddError("verdict", "must be ran or may-have-run");
  r.status = static_cast<int>(reader.Integer("status", {.min = 0, .max = 999}));
  if (reader.Has("answer")) r.answer = ReadAnswer(reader.Object("answer"));
  if (r.answer && r.verdict != Verdict::kRan) reader.AddError("answer", "must not be there unless the request ran");
  return r;
}

ClaimsRecord ReadRelease(JsonObjectReader& reader) {
  KeyReleased r;
  r.key = ReadKey(reader);
  r.request = RequestId(reader.String("request"));
  return r;
}

ClaimsRecord ReadStep(JsonObjectReader& reader) { return WindowStep{.at = reader.Integer("at", {.min = kNoOffset})}; }

enum class Kind { kClaim, kOutcome, kRelease, kStep };

constexpr auto kKindNames = MakeEnumNames<Kind>({
    {Kind::kClaim, "claim"},
    {Kind::kOutcome, "outcome"},
    {Kind::kRelease, "release"},
    {Kind::kStep, "step"},
});

ClaimsRecord ReadRecord(Kind kind, JsonObjectReader& reader) {
  switch (kind) {
    case Kind::kClaim:
      return ReadClaim(reader);
    case Kind::kOutcome:
      return ReadOutcome(reader);
    case Kind::kRelease:
      return ReadRelease(reader);
    case Kind::kStep:
      return ReadStep(reader);
  }
  return WindowStep{};
}

}  // namespace

nlohmann::json EncodeClaimsRecord(const ClaimsRecord& record) { return std::visit(Encoder{}, record); }

Result<ClaimsRecord> DecodeClaimsRecord(const nlohmann::json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const Kind kind = reader.Enum("t", kKindNames);
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  ClaimsRecord record = ReadRecord(kind, reader);
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return record;
}

}  // namespace berylgauge
