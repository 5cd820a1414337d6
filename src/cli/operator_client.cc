#include "cli/operator_client.h"

#include <utility>

namespace berylgauge {
namespace {

/// The failure that an entry described in its answer.
Failure ReadFailure(const HttpResponse& response) {
  Failure failure{.code = FailureCode::kInternal,
                  .message = "the entry answered with status " + std::to_string(response.status),
                  .field = {}};
  const nlohmann::json document = nlohmann::json::parse(response.body, nullptr, false);
  if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
    // Without a verdict of the entry nothing is known.
    failure.verdict = Verdict::kMayHaveRun;
    return failure;
  }
  const nlohmann::json& error = document["error"];
  const auto text = [&](const char* key) {
    return error.contains(key) && error[key].is_string() ? error[key].get<std::string>() : std::string();
  };
  failure.code = kFailureCodeNames.ValueOf(text("code")).value_or(FailureCode::kInternal);
  failure.verdict = kVerdictNames.ValueOf(text("verdict")).value_or(Verdict::kMayHaveRun);
  failure.message = text("message");
  failure.field = text("field");
  return failure;
}

}  // namespace

OperatorClient::OperatorClient(OperatorClientOptions options) : m_options(std::move(options)) {}

Result<nlohmann::json> OperatorClient::Get(const std::string& path) { return Call("GET", path, "", {}); }

Result<nlohmann::json> OperatorClient::Post(const std::string& path, const nlohmann::json& body,
                                            const HeaderList& headers) {
  return Call("POST", path, body.dump(), headers);
}

Result<nlohmann::json> OperatorClient::Delete(const std::string& path) { return Call("DELETE", path, "", {}); }

Result<nlohmann::json> OperatorClient::Call(const std::string& method, const std::string& path, const std::string& body,
                                            HeaderList headers) {
  headers.emplace_back("authorization", "Bearer " + m_options.token);
  headers.emplace_back("berylgauge-operator", m_options.operator_name);
  if (!body.empty()) headers.emplace_back("content-type", "application/json");
  const HttpRequest request{
      .method = method, .url = "http://" + m_options.entry + path, .headers = std::move(headers), .body = body};
  const Result<HttpResponse> response = m_http.Call(request, m_options.timeout);
  if (!response) {
    Failure failure = response.error();
    failure.message = "entry " + m_options.entry + ": " + failure.message;
    if (failure.code == FailureCode::kInternal) failure.code = FailureCode::kUnavailable;
    // Reading has no effect, so its outcome cannot be unknown.
    if (method == "GET") failure.verdict = Verdict::kNotRun;
    return tl::make_unexpected(failure);
  }
  if (response->status < 200 || response->status > 299) return tl::make_unexpected(ReadFailure(*response));
  nlohmann::json document = nlohmann::json::parse(response->body, nullptr, false);
  if (document.is_discarded()) return MayHaveRun(FailureCode::kCorrupt, "the entry's answer is not valid JSON");
  return document;
}

}  // namespace berylgauge
