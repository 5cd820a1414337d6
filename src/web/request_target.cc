#include "web/request_target.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace berylgauge {
namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
  if (lower >= 'a' && lower <= 'f') return lower - 'a' + 10;
  return -1;
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

tl::unexpected<Failure> InvalidUrl(std::string message) {
  return NotRun(FailureCode::kInvalidArgument, std::move(message), "url");
}

}  // namespace

Result<RequestTarget> RequestTarget::Parse(std::string_view raw) {
  if (raw.empty() || raw[0] != '/') return InvalidUrl("the request target must start with '/'");
  for (const char c : raw) {
    if (IsControl(c) || c == ' ') return InvalidUrl("the request target contains a space or a control character");
  }
  const std::size_t question_mark = raw.find('?');
  RequestTarget target;
  if (question_mark != std::string_view::npos) target.query = raw.substr(question_mark + 1);
  const std::string_view path = raw.substr(0, question_mark);
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] != '%') {
      target.path += path[i];
      continue;
    }
    const int high = i + 2 < path.size() ? HexDigit(path[i + 1]) : -1;
    const int low = i + 2 < path.size() ? HexDigit(path[i + 2]) : -1;
    if (high < 0 || low < 0) return InvalidUrl("the path contains '%' without two hexadecimal digits");
    const auto decoded = static_cast<char>(high * 16 + low);
    if (IsControl(decoded)) return InvalidUrl("the path contains an escaped control character");
    target.path += decoded;
    i += 2;
  }
  for (const absl::string_view segment : absl::StrSplit(target.path, '/')) {
    if (segment == "." || segment == "..") return InvalidUrl("the path contains the segment '.' or '..'");
  }
  return target;
}

}  // namespace berylgauge
