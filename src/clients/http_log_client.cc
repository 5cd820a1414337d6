#include "clients/http_log_client.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "clients/json_answer.h"

namespace berylgauge {
namespace {

constexpr int kMaxRecords = 10'000;
constexpr std::size_t kMaxStreamNameBytes = 128;
/// Part of the timeout that a read may spend waiting; the rest is for the way there and back.
constexpr double kMaxWaitShare = 0.9;

Result<void> CheckStreamName(const std::string& stream) {
  const bool valid = !stream.empty() && stream.size() <= kMaxStreamNameBytes &&
                     std::all_of(stream.begin(), stream.end(), [](unsigned char c) {
                       return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
                     });
  if (valid) return {};
  return NotRun(FailureCode::kInvalidArgument, "stream name must have 1 to 128 letters, digits, '-', '_' or '.'",
                "stream");
}

std::string DecodeBase64(JsonObjectReader& record, const std::string& key, std::size_t max_bytes) {
  const std::string encoded = record.String(key, {.min_length = 0, .max_length = max_bytes});
  std::string decoded;
  // Abseil skips blanks and accepts missing padding, so the canonical form is compared.
  if (!absl::Base64Unescape(encoded, &decoded) || absl::Base64Escape(decoded) != encoded) {
    record.AddError(key, "is not base64");
  }
  return decoded;
}

void ReadPage(JsonObjectReader& answer, Offset from, int max_records, std::size_t body_bytes, LogPage& page) {
  page.first_offset = answer.Integer("first_offset");
  page.next_offset = answer.Integer("next_offset", {.min = page.first_offset});
  for (JsonObjectReader& record : answer.Objects("records", static_cast<std::size_t>(max_records))) {
    const Offset expected = from + static_cast<Offset>(page.records.size());
    const Offset offset = record.Integer("offset");
    if (offset != expected) record.AddError("offset", absl::StrCat("is not ", expected, ", the next one"));
    if (offset >= page.next_offset) record.AddError("offset", "is not below next_offset");
    page.records.push_back({.offset = offset, .payload = DecodeBase64(record, "payload", body_bytes)});
    record.Finish();
  }
  if (from < page.first_offset) answer.AddError("first_offset", "is above the requested offset");
  if (page.records.empty() && from < page.next_offset) answer.AddError("records", "lacks the requested offset");
}

}  // namespace

HttpLogClient::HttpLogClient(HttpClient& http, const std::string& address)
    : m_http(http), m_url("http://" + address + "/v1/streams/") {}

Result<Offset> HttpLogClient::Append(const std::string& stream, const std::string& payload, absl::Duration timeout) {
  if (const Result<void> checked = CheckStreamName(stream); !checked) return tl::make_unexpected(checked.error());
  const HttpRequest request{.method = "POST",
                            .url = absl::StrCat(m_url, stream, "/records"),
                            .headers = {{"content-type", "application/octet-stream"}},
                            .body = payload};
  const Result<HttpResponse> response = m_http.Call(request, timeout);
  if (!response) return tl::make_unexpected(response.error());
  Offset offset = kNoOffset;
  const Result<void> read =
      ReadJsonAnswer(*response, [&](JsonObjectReader& answer) { offset = answer.Integer("offset"); });
  if (!read) return tl::make_unexpected(read.error());
  return offset;
}

Result<LogPage> HttpLogClient::Read(const std::string& stream, Offset from, int max_records, absl::Duration wait,
                                    absl::Duration timeout) {
  if (const Result<void> checked = CheckStreamName(stream); !checked) return tl::make_unexpected(checked.error());
  if (from < 0) return NotRun(FailureCode::kInvalidArgument, "offset must not be negative", "from");
  if (max_records < 1 || max_records > kMaxRecords) {
    return NotRun(FailureCode::kInvalidArgument, "number of records must be from 1 to 10000", "max_records");
  }
  const absl::Duration allowed_wait = std::max(absl::ZeroDuration(), std::min(wait, timeout * kMaxWaitShare));
  const HttpRequest request{
      .method = "GET",
      .url = absl::StrCat(m_url, stream, "/records?from=", from, "&max=", max_records,
                          "&wait_ms=", absl::ToInt64Milliseconds(allowed_wait)),
  };
  const Result<HttpResponse> response = m_http.Call(request, timeout);
  if (!response) return tl::make_unexpected(response.error());
  LogPage page;
  const Result<void> read = ReadJsonAnswer(
      *response, [&](JsonObjectReader& answer) { ReadPage(answer, from, max_records, response->body.size(), page); });
  if (!read) return tl::make_unexpected(read.error());
  return page;
}

Result<LogBounds> HttpLogClient::Bounds(const std::string& stream, absl::Duration timeout) {
  if (const Result<void> checked = CheckStreamName(stream); !checked) return tl::make_unexpected(checked.error());
  const Result<HttpResponse> response = m_http.Call({.method = "GET", .url = m_url + stream}, timeout);
  if (!response) return tl::make_unexpected(response.error());
  LogBounds bounds;
  const Result<void> read = ReadJsonAnswer(*response, [&](JsonObjectReader& answer) {
    bounds.first_offset = answer.Integer("first_offset");
    bounds.next_offset = answer.Integer("next_offset", {.min = bounds.first_offset});
  });
  if (!read) return tl::make_unexpected(read.error());
  return bounds;
}

}  // namespace berylgauge
