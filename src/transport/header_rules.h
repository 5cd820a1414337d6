#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/failure.h"

namespace berylgauge {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Size of one header as SETTINGS_MAX_HEADER_LIST_SIZE counts it (RFC 9113, 6.5.2).
std::size_t HeaderSize(std::size_t name_size, std::size_t value_size);

/// Checks that `headers` may be sent: names in lower case, no pseudo-headers, no headers of HTTP/1 connections, at
/// most `max_bytes` in total, and a content-length, if there is one, that equals `body_size`.
Result<void> CheckHeaders(const HeaderList& headers, std::size_t body_size, std::size_t max_bytes);

/// Checks that `path` may be sent as `:path`.
Result<void> CheckPath(std::string_view path);

/// Parses the value of a content-length header.
std::optional<std::size_t> ParseContentLength(std::string_view value);

/// Refers to `name` and `value` without copying them; both must live until the frame is serialised.
nghttp2_nv MakeHeaderField(std::string_view name, std::string_view value);

/// Appends a field for each of `headers` but content-length, which the caller sets from the body.
template <typename Fields>
void AppendHeaderFields(const HeaderList& headers, Fields& fields) {
  for (const auto& [name, value] : headers) {
    if (name != "content-length") fields.push_back(MakeHeaderField(name, value));
  }
}

}  // namespace berylgauge
