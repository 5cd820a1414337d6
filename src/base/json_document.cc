#include "base/json_document.h"

#include <string>

namespace berylgauge {
namespace {

/// Whether the lists and objects are at most `kMaxJsonDepth` deep; meaningful for valid JSON only.
bool IsShallow(std::string_view text) {
  int depth = 0;
  bool is_in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (is_in_string) {
      if (c == '\\') ++i;
      if (c == '"') is_in_string = false;
    } else if (c == '"') {
      is_in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return false;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return true;
}

}  // namespace

Result<nlohmann::json> ParseJsonDocument(std::string_view text) {
  if (!IsShallow(text)) {
    return NotRun(FailureCode::kInvalidArgument,
                  "is nested more than " + std::to_string(kMaxJsonDepth) + " levels deep", "$");
  }
  nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) return NotRun(FailureCode::kInvalidArgument, "is not valid JSON", "$");
  return document;
}

}  // namespace berylgauge
