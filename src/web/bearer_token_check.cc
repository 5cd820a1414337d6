#include "web/bearer_token_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <fstream>

#include "web/json_error_response.h"

namespace berylgauge {
namespace {

constexpr std::size_t kMaxTokenBytes = 4096;
constexpr char kScheme[] = "Bearer ";
constexpr int kUnauthorized = 401;

tl::unexpected<Failure> InvalidTokenFile(const std::string& path, const std::string& reason) {
  return NotRun(FailureCode::kInvalidArgument, "token file " + path + ": " + reason, "operator_token_file");
}

}  // namespace

Result<BearerTokenCheck> BearerTokenCheck::FromFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return InvalidTokenFile(path, "cannot be read");
  std::string token(kMaxTokenBytes + 1, '\0');
  file.read(token.data(), static_cast<std::streamsize>(token.size()));
  if (file.bad()) return InvalidTokenFile(path, "cannot be read");
  token.resize(static_cast<std::size_t>(file.gcount()));
  if (token.size() > kMaxTokenBytes) return InvalidTokenFile(path, "has more than 4096 bytes");
  absl::StripTrailingAsciiWhitespace(&token);
  if (token.empty()) return InvalidTokenFile(path, "contains no token");
  if (!std::all_of(token.begin(), token.end(), [](unsigned char c) { return absl::ascii_isgraph(c); })) {
    return InvalidTokenFile(path, "contains a character other than visible ASCII");
  }
  return BearerTokenCheck(std::move(token));
}

std::optional<WebResponse> BearerTokenCheck::Refusal(const WebRequest& request) const {
  const auto count = std::count_if(request.headers.begin(), request.headers.end(),
                                   [](const auto& header) { return header.first == "authorization"; });
  const std::string value = request.Header("authorization");
  const bool has_scheme = absl::StartsWithIgnoreCase(value, kScheme);
  if (count == 1 && has_scheme && Equals(std::string_view(value).substr(sizeof(kScheme) - 1))) return std::nullopt;
  WebResponse response = JsonErrorResponse(
      {.code = FailureCode::kRefused, .message = "a valid bearer token is required", .field = "authorization"},
      kUnauthorized);
  response.headers.emplace_back("WWW-Authenticate", "Bearer");
  return response;
}

bool BearerTokenCheck::Equals(std::string_view presented) const {
  // Always walks the whole presented text, so that the time tells nothing about how many characters were right.
  unsigned int difference = presented.size() == m_token.size() ? 0 : 1;
  for (std::size_t i = 0; i < presented.size(); ++i) {
    difference |= static_cast<unsigned char>(presented[i]) ^ static_cast<unsigned char>(m_token[i % m_token.size()]);
  }
  return difference == 0;
}

}  // namespace berylgauge
