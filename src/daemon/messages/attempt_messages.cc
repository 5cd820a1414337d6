#include "daemon/messages/attempt_messages.h"

#include <nlohmann/json.hpp>

#include "base/cbor_document.h"
#include "base/json_object_reader.h"
#include "state/decimal_text.h"
#include "state/resources_json.h"

namespace berylgauge {
namespace {

const StringRule kOptionalText{.default_value = "", .min_length = 0, .max_length = 8192};
constexpr std::int64_t kMaxDurationMs = 30LL * 24 * 3600 * 1000;

/// Decodes `bytes` and passes the object to `read`; fails if anything in it is wrong.
template <typename Message, typename Read>
Result<Message> FromCbor(const std::string& bytes, Read read) {
  const Result<nlohmann::json> document = ParseCborDocument(bytes, bytes.size());
  if (!document) return tl::make_unexpected(document.error());
  JsonErrors errors;
  JsonObjectReader reader(*document, "$", errors);
  Message message = read(reader);
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return message;
}

AttemptKey ReadKey(JsonObjectReader& reader) {
  AttemptKey key;
  key.task = TaskId(reader.String("task"));
  key.attempt = static_cast<AttemptNumber>(reader.Integer("attempt", {.min = 1, .max = UINT32_MAX}));
  return key;
}

nlohmann::json TermsToJson(const AttemptTerms& terms) {
  return {{"kind", kTaskKindNames.NameOf(terms.kind)},
          {"class", terms.job_class},
          {"importance", terms.importance},
          {"lease_ms", absl::ToInt64Milliseconds(terms.task_lease)},
          {"grace_ms", absl::ToInt64Milliseconds(terms.outage_grace)}};
}

AttemptTerms ReadTerms(JsonObjectReader reader) {
  AttemptTerms terms;
  terms.kind = reader.Enum("kind", kTaskKindNames);
  terms.job_class = reader.String("class", kOptionalText);
  terms.importance = static_cast<int>(reader.Integer("importance", {.max = 9}));
  terms.task_lease = absl::Milliseconds(reader.Integer("lease_ms", {.min = 1, .max = kMaxDurationMs}));
  terms.outage_grace = absl::Milliseconds(reader.Integer("grace_ms", {.min = 1, .max = kMaxDurationMs}));
  reader.Finish();
  return terms;
}

}  // namespace

std::string EncodeStartCommand(const StartCommand& command) {
  return ToCbor({{"task", command.key.task.value()},
                 {"attempt", command.key.attempt},
                 {"worker", command.worker.value()},
                 {"resources", ResourcesToJson(command.resources)},
                 {"terms", TermsToJson(command.terms)},
                 {"share", command.share},
                 {"epoch", command.epoch},
                 {"offset", command.offset},
                 {"agent", std::to_string(command.agent_incarnation)},
                 {"config", command.config_version},
                 {"checkpoint", command.checkpoint},
                 {"command", command.command}});
}

Result<StartCommand> DecodeStartCommand(const std::string& bytes) {
  return FromCbor<StartCommand>(bytes, [](JsonObjectReader& reader) {
    StartCommand command;
    command.key = ReadKey(reader);
    command.worker = WorkerId(reader.String("worker"));
    command.resources = ReadResources(reader.Object("resources"));
    command.terms = ReadTerms(reader.Object("terms"));
    command.share = static_cast<std::uint32_t>(reader.Integer("share", {.max = UINT32_MAX}));
    command.epoch = static_cast<ShareEpoch>(reader.Integer("epoch"));
    command.offset = reader.Integer("offset");
    command.agent_incarnation = ReadDecimalText(reader, "agent");
    command.config_version = reader.Integer("config", {.min = kNoOffset});
    command.checkpoint = reader.String("checkpoint", kOptionalText);
    command.command = reader.String("command", kOptionalText);
    return command;
  });
}

std::string EncodeStopMessage(const StopMessage& message) {
  return ToCbor({{"task", message.end.key.task.value()},
                 {"attempt", message.end.key.attempt},
                 {"share", message.end.share},
                 {"offset", message.end.offset},
                 {"agent", std::to_string(message.end.agent_incarnation)},
                 {"placed", std::to_string(message.end.placed_incarnation)},
                 {"checkpoint", message.with_checkpoint}});
}

Result<StopMessage> DecodeStopMessage(const std::string& bytes) {
  return FromCbor<StopMessage>(bytes, [](JsonObjectReader& reader) {
    StopMessage message;
    message.end.key = ReadKey(reader);
    message.end.share = static_cast<std::uint32_t>(reader.Integer("share", {.max = UINT32_MAX}));
    message.end.offset = reader.Integer("offset", {.min = kNoOffset});
    message.end.agent_incarnation = ReadDecimalText(reader, "agent");
    message.end.placed_incarnation = ReadDecimalText(reader, "placed");
    message.with_checkpoint = reader.Boolean("checkpoint");
    return message;
  });
}

std::string EncodeTermsMessage(const TermsMessage& message) {
  return ToCbor(
      {{"task", message.key.task.value()}, {"attempt", message.key.attempt}, {"terms", TermsToJson(message.terms)}});
}

Result<TermsMessage> DecodeTermsMessage(const std::string& bytes) {
  return FromCbor<TermsMessage>(bytes, [](JsonObjectReader& reader) {
    TermsMessage message;
    message.key = ReadKey(reader);
    message.terms = ReadTerms(reader.Object("terms"));
    return message;
  });
}

std::string EncodeAttemptAnswer(const AttemptAnswer& answer) {
  return ToCbor({{"kind", kAnswerKindNames.NameOf(answer.kind)},
                 {"reason", kRefusalReasonNames.NameOf(answer.reason)},
                 {"verdict", kVerdictNames.NameOf(answer.verdict)},
                 {"detail", answer.detail}});
}

Result<AttemptAnswer> DecodeAttemptAnswer(const std::string& bytes) {
  return FromCbor<AttemptAnswer>(bytes, [](JsonObjectReader& reader) {
    AttemptAnswer answer;
    answer.kind = reader.Enum("kind", kAnswerKindNames);
    answer.reason = reader.Enum("reason", kRefusalReasonNames);
    answer.verdict = reader.Enum("verdict", kVerdictNames);
    answer.detail = reader.String("detail", kOptionalText);
    return answer;
  });
}

}  // namespace berylgauge
