#include "state/decimal_text.h"

#include <charconv>

#include "base/json_object_reader.h"

namespace berylgauge {

std::uint64_t ReadDecimalText(JsonObjectReader& reader, const std::string& key) {
  const std::string text = reader.String(key);
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec == std::errc() && parsed.ptr == end) return number;
  // A missing or wrongly typed value was reported by the reader already.
  if (!text.empty()) reader.AddError(key, "must be an unsigned number in decimal digits");
  return 0;
}

}  // namespace berylgauge
