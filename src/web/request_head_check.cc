#include "web/request_head_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace berylgauge {
namespace {

constexpr std::string_view kLineEnd("\0\0", 2);

bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || kSymbols.find(c) != std::string_view::npos;
}

bool IsValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

HeadRefusal Refuse(std::string message, std::string field) {
  return {.status = 400,
          .failure = {.code = FailureCode::kInvalidArgument, .message = std::move(message), .field = std::move(field)}};
}

/// Removes spaces and tabs at the start of `text`.
std::string_view SkipBlanks(std::string_view text) {
  const std::size_t start = text.find_first_not_of(" \t");
  return start == std::string_view::npos ? std::string_view() : text.substr(start);
}

/// Values of all headers called `name`.
std::vector<std::string_view> ValuesOf(const std::vector<std::pair<std::string, std::string>>& headers,
                                       std::string_view name) {
  std::vector<std::string_view> values;
  for (const auto& [key, value] : headers) {
    if (key == name) values.emplace_back(value);
  }
  return values;
}

}  // namespace

bool HasStrictLineEnds(std::string_view lines, const std::vector<RawHeader>& headers) {
  if (!lines.starts_with(kLineEnd)) return false;
  lines.remove_prefix(kLineEnd.size());
  for (const RawHeader& header : headers) {
    if (header.name.data() != lines.data()) return false;
    if (header.name.size() >= lines.size() || lines[header.name.size()] != '\0') return false;
    lines.remove_prefix(header.name.size() + 1);
    lines = SkipBlanks(lines);
    if (!lines.starts_with(header.value)) return false;
    lines.remove_prefix(header.value.size());
    lines = SkipBlanks(lines);
    if (!lines.starts_with(kLineEnd)) return false;
    lines.remove_prefix(kLineEnd.size());
  }
  return lines == kLineEnd;
}

std::optional<HeadRefusal> CheckHead(std::string_view method, std::string_view version,
                                     const std::vector<std::pair<std::string, std::string>>& headers) {
  if (method.empty() || !std::all_of(method.begin(), method.end(), IsTokenCharacter)) {
    return Refuse("the method contains a character that is not allowed", "method");
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return Refuse("the version must be HTTP/1.0 or HTTP/1.1", "version");
  for (const auto& [name, value] : headers) {
    if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenCharacter)) {
      return Refuse("a header name is empty or contains a character that is not allowed", name);
    }
    if (!std::all_of(value.begin(), value.end(), IsValueCharacter)) {
      return Refuse("the header value contains a control character", name);
    }
  }
  const auto lengths = ValuesOf(headers, "content-length");
  const auto codings = ValuesOf(headers, "transfer-encoding");
  if (!lengths.empty() && !codings.empty()) {
    return Refuse("Content-Length and Transfer-Encoding exclude each other", "transfer-encoding");
  }
  if (lengths.size() > 1) return Refuse("there must be only one Content-Length header", "content-length");
  if (!lengths.empty()) {
    const bool is_number = !lengths[0].empty() && std::all_of(lengths[0].begin(), lengths[0].end(),
                                                              [](unsigned char c) { return absl::ascii_isdigit(c); });
    if (!is_number) return Refuse("Content-Length must be a decimal number", "content-length");
  }
  if (codings.size() > 1 || (!codings.empty() && !absl::EqualsIgnoreCase(std::string(codings[0]), "chunked"))) {
    return Refuse("the only supported transfer coding is chunked, once", "transfer-encoding");
  }
  if (!codings.empty() && version != "HTTP/1.1") {
    return Refuse("Transfer-Encoding requires HTTP/1.1", "transfer-encoding");
  }
  const std::size_t hosts = ValuesOf(headers, "host").size();
  if (hosts > 1 || (hosts == 0 && version == "HTTP/1.1")) {
    return Refuse("there must be exactly one Host header", "host");
  }
  return std::nullopt;
}

}  // namespace berylgauge
