#include "clients/http_request_check.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace berylgauge {
namespace {

constexpr std::string_view kScheme = "http://";

/// Fields that frame the message; this client sets them itself.
constexpr std::array<std::string_view, 4> kFramingHeaders = {"connection", "content-length", "expect",
                                                             "transfer-encoding"};

bool IsTokenChar(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar); }

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) { return c != '\t' && absl::ascii_iscntrl(c); });
}

bool IsRequestTarget(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) { return c == ' ' || c == '#' || absl::ascii_iscntrl(c); });
}

bool IsFramingHeader(const std::string& name) {
  const std::string lower_case = absl::AsciiStrToLower(name);
  return std::find(kFramingHeaders.begin(), kFramingHeaders.end(), lower_case) != kFramingHeaders.end();
}

}  // namespace

Result<UrlParts> SplitUrl(const std::string& url) {
  if (!url.starts_with(kScheme)) {
    return NotRun(FailureCode::kInvalidArgument, "URL must begin with http://", "url");
  }
  const std::size_t end = std::min(url.find_first_of("/?#", kScheme.size()), url.size());
  UrlParts parts{.origin = url.substr(0, end), .target = {}};
  if (end == url.size() || url[end] != '/') parts.target += '/';
  parts.target.append(url, end);
  const bool plain_host = parts.origin.size() > kScheme.size() && parts.origin.find('@') == std::string::npos &&
                          IsRequestTarget(parts.origin);
  if (!plain_host || !IsRequestTarget(parts.target)) {
    return NotRun(FailureCode::kInvalidArgument, "URL is malformed", "url");
  }
  return parts;
}

Result<void> CheckRequest(const HttpRequest& request) {
  if (!IsToken(request.method)) return NotRun(FailureCode::kInvalidArgument, "method is malformed", "method");
  if (request.method == "HEAD" && !request.body.empty()) {
    return NotRun(FailureCode::kInvalidArgument, "HEAD has no body", "body");
  }
  for (const auto& [name, value] : request.headers) {
    if (!IsToken(name) || IsFramingHeader(name) || !IsFieldValue(value)) {
      return NotRun(FailureCode::kInvalidArgument, "header is malformed or not allowed", name);
    }
  }
  return {};
}

}  // namespace berylgauge
