#include "clients/http_exchange.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <curl/curl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

namespace berylgauge {
namespace {

/// libcurl takes timeouts as a number of milliseconds and reads 0 as no timeout.
constexpr absl::Duration kMinTimeout = absl::Milliseconds(1);
constexpr absl::Duration kMaxTimeout = absl::Hours(24);

long ToCurlMillis(absl::Duration duration) {
  const absl::Duration rounded = absl::Ceil(std::clamp(duration, kMinTimeout, kMaxTimeout), absl::Milliseconds(1));
  return static_cast<long>(absl::ToInt64Milliseconds(rounded));
}

FailureCode CodeOf(CURLcode code) {
  switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
      return FailureCode::kDeadlineExceeded;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return FailureCode::kInvalidArgument;
    case CURLE_PARTIAL_FILE:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_WRITE_ERROR:
    case CURLE_BAD_CONTENT_ENCODING:
      return FailureCode::kCorrupt;
    case CURLE_OUT_OF_MEMORY:
    case CURLE_FAILED_INIT:
    case CURLE_BAD_FUNCTION_ARGUMENT:
    case CURLE_UNKNOWN_OPTION:
      return FailureCode::kInternal;
    default:
      return FailureCode::kUnavailable;
  }
}

}  // namespace

HttpExchange::HttpExchange(const HttpRequest& request, const HttpExchangeOptions& options)
    : m_request(request), m_options(options) {}

HttpExchange::~HttpExchange() { curl_slist_free_all(m_header_lines); }

Result<HttpResponse> HttpExchange::Run(void* curl, const std::string& origin, const std::string& target,
                                       absl::Duration timeout) {
  curl_easy_reset(curl);
  if (!Prepare(curl, origin, target, timeout)) {
    return NotRun(FailureCode::kInternal, "libcurl rejected an option of the request");
  }
  return Finish(curl, curl_easy_perform(curl), origin, timeout);
}

Result<HttpResponse> HttpExchange::Finish(void* curl, int curl_code, const std::string& origin,
                                          absl::Duration timeout) {
  curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, nullptr);
  if (curl_code != CURLE_OK) return ToFailure(curl, curl_code, timeout);
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  m_response.status = static_cast<int>(status);
  if (std::string reason = FindIncompleteness(); !reason.empty()) {
    return MayHaveRun(FailureCode::kCorrupt, "answer from " + origin + ": " + reason);
  }
  return std::move(m_response);
}

bool HttpExchange::Prepare(void* curl, const std::string& origin, const std::string& target, absl::Duration timeout) {
  static_assert(kErrorTextSize == CURL_ERROR_SIZE);
  bool ok = true;
  const auto set = [&](CURLoption option, auto value) { ok = ok && curl_easy_setopt(curl, option, value) == CURLE_OK; };
  set(CURLOPT_URL, (origin + "/").c_str());
  set(CURLOPT_REQUEST_TARGET, target.c_str());
  set(CURLOPT_PROTOCOLS_STR, "http");
  set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  set(CURLOPT_FOLLOWLOCATION, 0L);
  set(CURLOPT_NOSIGNAL, 1L);
  set(CURLOPT_PROXY, "");  // an empty name also disables the proxies that the environment names
  set(CURLOPT_TIMEOUT_MS, ToCurlMillis(timeout));
  set(CURLOPT_CONNECTTIMEOUT_MS, ToCurlMillis(std::min(timeout, m_options.connect_timeout)));
  set(CURLOPT_MAXCONNECTS, 1L);
  set(CURLOPT_PREREQFUNCTION, &HttpExchange::OnRequestStart);
  set(CURLOPT_PREREQDATA, static_cast<void*>(this));
  set(CURLOPT_OPENSOCKETFUNCTION, &HttpExchange::OnOpenSocket);
  set(CURLOPT_OPENSOCKETDATA, static_cast<void*>(this));
  set(CURLOPT_HEADERFUNCTION, &HttpExchange::OnHeaderLine);
  set(CURLOPT_HEADERDATA, static_cast<void*>(this));
  set(CURLOPT_WRITEFUNCTION, &HttpExchange::OnBody);
  set(CURLOPT_WRITEDATA, static_cast<void*>(this));
  set(CURLOPT_ERRORBUFFER, m_error_text.data());
  ok = ok && SetMethodAndBody(curl) && BuildHeaderLines();
  set(CURLOPT_HTTPHEADER, m_header_lines);
  return ok;
}

bool HttpExchange::SetMethodAndBody(void* curl) {
  bool ok = true;
  const auto set = [&](CURLoption option, auto value) { ok = ok && curl_easy_setopt(curl, option, value) == CURLE_OK; };
  const std::string& method = m_request.method;
  if (method == "HEAD") {
    set(CURLOPT_NOBODY, 1L);
    return ok;
  }
  // These methods announce an empty body with `Content-Length: 0`; the others send no body field at all.
  const bool announces_body = method == "POST" || method == "PUT" || method == "PATCH" || !m_request.body.empty();
  if (announces_body) {
    set(CURLOPT_POST, 1L);
    set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
    set(CURLOPT_POSTFIELDS, m_request.body.empty() ? "" : m_request.body.data());
  } else {
    set(CURLOPT_HTTPGET, 1L);
  }
  set(CURLOPT_CUSTOMREQUEST, method.c_str());
  return ok;
}

bool HttpExchange::BuildHeaderLines() {
  bool ok = true;
  const auto add = [&](const std::string& line) {
    curl_slist* extended = curl_slist_append(m_header_lines, line.c_str());
    ok = ok && extended != nullptr;
    if (extended != nullptr) m_header_lines = extended;
  };
  // "NAME:" removes a field that libcurl would add by itself, and "NAME;" sends a field with an empty value.
  add("Expect:");
  if (!HasRequestHeader("accept")) add("Accept:");
  if (!HasRequestHeader("content-type")) add("Content-Type:");
  for (const auto& [name, value] : m_request.headers) add(value.empty() ? name + ";" : name + ": " + value);
  return ok;
}

bool HttpExchange::HasRequestHeader(absl::string_view name) const {
  return std::any_of(m_request.headers.begin(), m_request.headers.end(),
                     [&](const auto& header) { return absl::EqualsIgnoreCase(header.first, name); });
}

int HttpExchange::OnOpenSocket(void* self, int, curl_sockaddr* address) {
  auto* exchange = static_cast<HttpExchange*>(self);
  if (!exchange->m_request.connections.may_open) {
    exchange->m_lacks_connection = true;
    return CURL_SOCKET_BAD;
  }
  exchange->m_has_opened = true;
  return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

int HttpExchange::OnRequestStart(void* self, char*, char*, int, int local_port) {
  auto* exchange = static_cast<HttpExchange*>(self);
  // libcurl sends a request again by itself when a reused connection is closed before the first byte of the answer.
  // The peer may have run the request by then, so the second transmission is prevented.
  if (exchange->m_request_started) {
    exchange->m_rejection = "the connection was closed before the answer";
    return CURL_PREREQFUNC_ABORT;
  }
  const ConnectionRule& rule = exchange->m_request.connections;
  if (rule.may_use && !rule.may_use(local_port, exchange->m_has_opened)) {
    exchange->m_lacks_connection = true;
    return CURL_PREREQFUNC_ABORT;
  }
  exchange->m_response.local_port = local_port;
  exchange->m_request_started = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t HttpExchange::OnHeaderLine(char* data, std::size_t size, std::size_t count, void* self) {
  const bool ok = static_cast<HttpExchange*>(self)->AddHeaderLine(absl::string_view(data, size * count));
  return ok ? size * count : 0;
}

std::size_t HttpExchange::OnBody(char* data, std::size_t size, std::size_t count, void* self) {
  const bool ok = static_cast<HttpExchange*>(self)->AddBody(std::string_view(data, size * count));
  return ok ? size * count : 0;
}

bool HttpExchange::AddHeaderLine(absl::string_view line) {
  m_header_bytes += line.size();
  if (m_header_bytes > m_options.max_header_bytes) {
    return Reject("header is larger than " + std::to_string(m_options.max_header_bytes) + " bytes");
  }
  if (m_headers_complete) return true;  // trailers are dropped
  line = absl::StripTrailingAsciiWhitespace(line);
  if (!m_in_headers) {
    const std::size_t space = line.find(' ');
    if (space == absl::string_view::npos || !absl::SimpleAtoi(line.substr(space + 1, 3), &m_response.status)) {
      return Reject("malformed status line");
    }
    m_response.headers.clear();
    m_in_headers = true;
    return true;
  }
  if (!line.empty()) return AddHeaderField(line);
  m_in_headers = false;
  m_headers_complete = m_response.status >= 200;  // an interim answer (1xx) is followed by another status line
  return true;
}

bool HttpExchange::AddHeaderField(absl::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == absl::string_view::npos || colon == 0 || absl::ascii_isspace(static_cast<unsigned char>(line.front()))) {
    return Reject("malformed header line");
  }
  m_response.headers.emplace_back(absl::AsciiStrToLower(line.substr(0, colon)),
                                  std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
  return true;
}

bool HttpExchange::AddBody(std::string_view data) {
  if (m_response.body.size() + data.size() > m_options.max_body_bytes) {
    return Reject("body is larger than " + std::to_string(m_options.max_body_bytes) + " bytes");
  }
  m_response.body.append(data);
  return true;
}

bool HttpExchange::Reject(std::string reason) {
  m_rejection = std::move(reason);
  return false;
}

bool HttpExchange::AnswerHasBody() const {
  return m_request.method != "HEAD" && m_response.status != 204 && m_response.status != 304;
}

std::string HttpExchange::FindIncompleteness() const {
  if (!m_headers_complete) return "ended within the header";
  if (!AnswerHasBody()) return "";
  std::optional<std::uint64_t> length;
  bool chunked = false;
  for (const auto& [name, value] : m_response.headers) {
    if (name == "transfer-encoding") chunked = true;
    if (name != "content-length") continue;
    std::uint64_t parsed = 0;
    if (!absl::SimpleAtoi(value, &parsed)) return "malformed content-length";
    if (length.has_value() && *length != parsed) return "contradictory content-length";
    length = parsed;
  }
  if (chunked) return "";  // libcurl fails unless the last chunk was received
  // Without a length a complete body cannot be distinguished from a truncated one.
  if (!length.has_value()) return "has neither content-length nor chunks";
  if (*length != m_response.body.size()) return "body is truncated";
  return "";
}

Result<HttpResponse> HttpExchange::ToFailure(void* curl, int curl_code, absl::Duration timeout) const {
  const auto code = static_cast<CURLcode>(curl_code);
  std::string message = m_rejection;
  if (message.empty()) message = m_error_text[0] != '\0' ? m_error_text.data() : curl_easy_strerror(code);
  if (m_request_started) {
    // After the request was sent this code stands for an answer that is not HTTP/1, not for an unsuitable URL.
    const bool unknown_protocol = code == CURLE_UNSUPPORTED_PROTOCOL;
    return MayHaveRun(unknown_protocol ? FailureCode::kCorrupt : CodeOf(code), std::move(message));
  }
  if (m_lacks_connection) return NotRun(FailureCode::kRefused, "no connection that the request may use");
  long os_error = 0;
  curl_easy_getinfo(curl, CURLINFO_OS_ERRNO, &os_error);
  if (code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED) {
    return NotRun(FailureCode::kConnectionRefused, std::move(message));
  }
  // The peer was not reached within the connect timeout, although the caller would have waited longer.
  if (code == CURLE_OPERATION_TIMEDOUT && m_options.connect_timeout < timeout) {
    return NotRun(FailureCode::kUnavailable, std::move(message));
  }
  return NotRun(CodeOf(code), std::move(message));
}

}  // namespace berylgauge
