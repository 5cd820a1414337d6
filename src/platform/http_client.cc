#include "platform/http_client.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>
#include <utility>

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

struct UrlParts {
  std::string origin;
  std::string target;
};

/// Splits a URL into the part that names the peer and the part that is sent in the request line.
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

}  // namespace

HttpClient::HttpClient(const HttpClientOptions& options)
    : m_exchange_options{.max_body_bytes = options.max_body_bytes,
                         .max_header_bytes = options.max_header_bytes,
                         .connect_timeout = options.connect_timeout},
      m_pool(options.pool) {}

Result<HttpResponse> HttpClient::Call(const HttpRequest& request, absl::Duration timeout) {
  if (timeout <= absl::ZeroDuration()) {
    return NotRun(FailureCode::kDeadlineExceeded, "no time left before the request was sent");
  }
  if (const Result<void> checked = CheckRequest(request); !checked) return tl::make_unexpected(checked.error());
  const Result<UrlParts> url = SplitUrl(request.url);
  if (!url) return tl::make_unexpected(url.error());
  CurlHandle handle = m_pool.Acquire(url->origin, m_clock.Now());
  if (handle == nullptr) return NotRun(FailureCode::kInternal, "libcurl could not create a handle");
  HttpExchange exchange(request, m_exchange_options);
  Result<HttpResponse> response = exchange.Run(handle.get(), url->origin, url->target, timeout);
  m_pool.Release(url->origin, std::move(handle), m_clock.Now());
  return response;
}

}  // namespace berylgauge
