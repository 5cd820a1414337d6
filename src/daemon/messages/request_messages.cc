#include "daemon/messages/request_messages.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace berylgauge {
namespace {

/// Prefix of the headers of the caller or the endpoint, which keeps them apart from those of the message itself.
constexpr std::string_view kPassedPrefix = "p-";

constexpr const char* kId = "bg-id";
constexpr const char* kAbandon = "bg-abandon";
constexpr const char* kAgent = "bg-agent";
constexpr const char* kService = "bg-service";
constexpr const char* kEndpoint = "bg-endpoint";
constexpr const char* kTimeoutMs = "bg-timeout-ms";
constexpr const char* kMethod = "bg-method";
constexpr const char* kPath = "bg-path";
constexpr const char* kVerdict = "bg-verdict";
constexpr const char* kReason = "bg-reason";
constexpr const char* kStatus = "bg-status";

constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;

void AddPassedHeaders(HeaderList passed, HeaderList& headers) {
  for (auto& [name, value] : passed) headers.emplace_back(std::string(kPassedPrefix) + name, std::move(value));
}

/// Headers of a message, split into its own and those passed on.
class MessageHeaders {
 public:
  explicit MessageHeaders(HeaderList headers) {
    for (auto& [name, value] : headers) {
      if (name.starts_with(kPassedPrefix)) {
        m_passed.emplace_back(name.substr(kPassedPrefix.size()), std::move(value));
      } else {
        m_own.emplace_back(std::move(name), std::move(value));
      }
    }
  }

  std::string Text(std::string_view name) const {
    for (const auto& [own_name, value] : m_own) {
      if (own_name == name) return value;
    }
    return {};
  }

  std::uint64_t Number(std::string_view name) const {
    const std::string text = Text(name);
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? number : 0;
  }

  HeaderList TakePassed() { return std::move(m_passed); }

 private:
  HeaderList m_own;
  HeaderList m_passed;
};

}  // namespace

StreamRequest EncodeAbandonment(const RequestId& id) {
  return {.path = kRequestPath, .headers = {{kAbandon, id.value()}}, .body = {}};
}

RequestId AbandonedRequestOf(const StreamRequest& message) {
  for (const auto& [name, value] : message.headers) {
    if (name == kAbandon) return RequestId(value);
  }
  return {};
}

StreamRequest EncodeForwardedRequest(ForwardedRequest request) {
  StreamRequest message;
  message.path = kRequestPath;
  message.headers = {{kId, request.id.value()},
                     {kAgent, std::to_string(request.agent_incarnation)},
                     {kService, request.service.value()},
                     {kEndpoint, request.endpoint_address},
                     {kTimeoutMs, std::to_string(absl::ToInt64Milliseconds(request.timeout))},
                     {kMethod, request.request.method},
                     {kPath, request.request.path}};
  AddPassedHeaders(std::move(request.request.headers), message.headers);
  message.body = std::move(request.request.body);
  return message;
}

Result<ForwardedRequest> DecodeForwardedRequest(StreamRequest message) {
  MessageHeaders headers(std::move(message.headers));
  ForwardedRequest request;
  request.id = RequestId(headers.Text(kId));
  request.agent_incarnation = headers.Number(kAgent);
  request.service = ServiceId(headers.Text(kService));
  request.endpoint_address = headers.Text(kEndpoint);
  const std::uint64_t timeout_ms = headers.Number(kTimeoutMs);
  request.timeout = absl::Milliseconds(static_cast<std::int64_t>(timeout_ms));
  request.request.method = headers.Text(kMethod);
  request.request.path = headers.Text(kPath);
  request.request.headers = headers.TakePassed();
  request.request.body = std::move(message.body);
  if (request.id.empty()) return NotRun(FailureCode::kInvalidArgument, "request id is missing", kId);
  if (request.agent_incarnation == 0) return NotRun(FailureCode::kInvalidArgument, "agent is missing", kAgent);
  if (timeout_ms == 0 || timeout_ms > static_cast<std::uint64_t>(kMaxTimeoutMs)) {
    return NotRun(FailureCode::kInvalidArgument, "timeout is out of range", kTimeoutMs);
  }
  if (request.request.method.empty()) return NotRun(FailureCode::kInvalidArgument, "method is missing", kMethod);
  if (!request.request.path.starts_with('/')) return NotRun(FailureCode::kInvalidArgument, "path is wrong", kPath);
  return request;
}

StreamResponse EncodeForwardedResponse(ForwardedResponse response) {
  StreamResponse message;
  message.status = 200;
  message.headers = {{kId, response.id.value()}, {kVerdict, std::string(kVerdictNames.NameOf(response.verdict))}};
  if (!response.reason.empty()) message.headers.emplace_back(kReason, response.reason);
  if (response.verdict != Verdict::kRan) return message;
  message.headers.emplace_back(kStatus, std::to_string(response.response.status));
  AddPassedHeaders(std::move(response.response.headers), message.headers);
  message.body = std::move(response.response.body);
  return message;
}

Result<ForwardedResponse> DecodeForwardedResponse(StreamResponse message, const RequestId& expected) {
  if (message.status != 200) {
    return MayHaveRun(FailureCode::kInternal, "agent answered with status " + std::to_string(message.status));
  }
  MessageHeaders headers(std::move(message.headers));
  ForwardedResponse response;
  response.id = RequestId(headers.Text(kId));
  if (response.id != expected) return MayHaveRun(FailureCode::kInternal, "response to another request");
  const auto verdict = kVerdictNames.ValueOf(headers.Text(kVerdict));
  if (!verdict) return MayHaveRun(FailureCode::kInternal, "response without a verdict");
  response.verdict = *verdict;
  response.reason = headers.Text(kReason);
  if (response.verdict != Verdict::kRan) return response;
  response.response.status = static_cast<int>(headers.Number(kStatus));
  if (response.response.status < 100 || response.response.status > 999) {
    return MayHaveRun(FailureCode::kInternal, "response without a status");
  }
  response.response.headers = headers.TakePassed();
  response.response.body = std::move(message.body);
  return response;
}

}  // namespace berylgauge
