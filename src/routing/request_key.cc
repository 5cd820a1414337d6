#include "routing/request_key.h"

#include <absl/strings/str_format.h>

#include <charconv>
#include <string>

namespace berylgauge {
namespace {

constexpr std::size_t kIncarnationDigits = 16;

}  // namespace

RequestId FormatRequestId(const RequestKey& key) {
  return RequestId(absl::StrFormat("%016x-%x", key.entry_incarnation, key.number));
}

std::optional<RequestKey> ParseRequestId(const RequestId& id) {
  const std::string& text = id.value();
  if (text.size() < kIncarnationDigits + 2 || text[kIncarnationDigits] != '-') return std::nullopt;
  RequestKey key;
  const char* begin = text.data();
  const char* end = begin + text.size();
  std::from_chars(begin, begin + kIncarnationDigits, key.entry_incarnation, 16);
  std::from_chars(begin + kIncarnationDigits + 1, end, key.number, 16);
  if (key.entry_incarnation == 0 || key.number == 0 || FormatRequestId(key) != id) return std::nullopt;
  return key;
}

}  // namespace berylgauge
