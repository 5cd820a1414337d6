#include "transport/header_rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace berylgauge {
namespace {

constexpr std::size_t kHeaderOverhead = 32;

// HTTP/2 forbids them (RFC 9113, 8.2.2); the peer would reset the stream.
constexpr std::array<std::string_view, 6> kConnectionHeaders = {
    "connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade",
};

const std::uint8_t* Bytes(std::string_view text) { return reinterpret_cast<const std::uint8_t*>(text.data()); }

bool IsNameAllowed(std::string_view name) {
  if (name.empty() || name.front() == ':') return false;
  if (nghttp2_check_header_name(Bytes(name), name.size()) == 0) return false;
  return std::find(kConnectionHeaders.begin(), kConnectionHeaders.end(), name) == kConnectionHeaders.end();
}

}  // namespace

std::size_t HeaderSize(std::size_t name_size, std::size_t value_size) {
  return name_size + value_size + kHeaderOverhead;
}

Result<void> CheckHeaders(const HeaderList& headers, std::size_t body_size, std::size_t max_bytes) {
  std::size_t total = 0;
  for (const auto& [name, value] : headers) {
    if (!IsNameAllowed(name)) {
      return NotRun(FailureCode::kInvalidArgument, "the header name is not allowed in HTTP/2", name);
    }
    if (nghttp2_check_header_value_rfc9113(Bytes(value), value.size()) == 0) {
      return NotRun(FailureCode::kInvalidArgument, "the header value contains characters that are not allowed", name);
    }
    if (name == "content-length" && ParseContentLength(value) != body_size) {
      return NotRun(FailureCode::kInvalidArgument,
                    "content-length " + value + " differs from the body of " + std::to_string(body_size) + " bytes",
                    name);
    }
    total += HeaderSize(name.size(), value.size());
  }
  if (total > max_bytes) {
    return NotRun(FailureCode::kInvalidArgument,
                  "headers of " + std::to_string(total) + " bytes exceed " + std::to_string(max_bytes), "headers");
  }
  return {};
}

Result<void> CheckPath(std::string_view path) {
  if (path.empty() || path.front() != '/' || nghttp2_check_path(Bytes(path), path.size()) == 0) {
    return NotRun(FailureCode::kInvalidArgument, "the path does not begin with / or contains a character not allowed",
                  "path");
  }
  return {};
}

std::optional<std::size_t> ParseContentLength(std::string_view value) {
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
  if (error != std::errc() || end != value.data() + value.size()) return std::nullopt;
  return length;
}

nghttp2_nv MakeHeaderField(std::string_view name, std::string_view value) {
  // nghttp2 takes pointers to mutable bytes but does not change them.
  return nghttp2_nv{.name = const_cast<std::uint8_t*>(Bytes(name)),
                    .value = const_cast<std::uint8_t*>(Bytes(value)),
                    .namelen = name.size(),
                    .valuelen = value.size(),
                    .flags = NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE};
}

}  // namespace berylgauge
