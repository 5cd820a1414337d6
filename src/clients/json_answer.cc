#include "clients/json_answer.h"

#include <nlohmann/json.hpp>

namespace berylgauge {
namespace {

/// A part of the peer's message is enough for the log; the peer decides how long it is.
constexpr std::size_t kMaxMessageBytes = 200;

struct StatusMeaning {
  int status;
  FailureCode code;
};

/// Statuses that say that the request was refused. A 408 or 5xx may come after the effect and is not among them.
constexpr StatusMeaning kRefusals[] = {
    {400, FailureCode::kInvalidArgument}, {401, FailureCode::kRefused},         {403, FailureCode::kRefused},
    {404, FailureCode::kNotFound},        {405, FailureCode::kInvalidArgument}, {409, FailureCode::kConflict},
    {410, FailureCode::kExpired},         {411, FailureCode::kInvalidArgument}, {413, FailureCode::kInvalidArgument},
    {414, FailureCode::kInvalidArgument}, {415, FailureCode::kInvalidArgument}, {422, FailureCode::kInvalidArgument},
    {429, FailureCode::kOverloaded},      {431, FailureCode::kInvalidArgument},
};

std::string MessageOf(const HttpResponse& response) {
  return "status " + std::to_string(response.status) + ": " + response.body.substr(0, kMaxMessageBytes);
}

}  // namespace

Failure FailureOfStatus(const HttpResponse& response) {
  for (const StatusMeaning& refusal : kRefusals) {
    if (refusal.status != response.status) continue;
    return {.code = refusal.code, .verdict = Verdict::kNotRun, .message = MessageOf(response), .field = {}};
  }
  const FailureCode code = response.status >= 500 ? FailureCode::kUnavailable : FailureCode::kCorrupt;
  return {.code = code, .verdict = Verdict::kMayHaveRun, .message = MessageOf(response), .field = {}};
}

Result<void> ReadJsonAnswer(const HttpResponse& response, const std::function<void(JsonObjectReader&)>& read) {
  if (response.status != 200) return tl::make_unexpected(FailureOfStatus(response));
  const nlohmann::json document = nlohmann::json::parse(response.body, nullptr, false);
  if (document.is_discarded()) return MayHaveRun(FailureCode::kCorrupt, "answer is not JSON");
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  read(reader);
  reader.Finish();
  if (errors.empty()) return {};
  Failure failure = errors.ToFailure();
  failure.code = FailureCode::kCorrupt;
  failure.verdict = Verdict::kMayHaveRun;
  return tl::make_unexpected(std::move(failure));
}

}  // namespace berylgauge
