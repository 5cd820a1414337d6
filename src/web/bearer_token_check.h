#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/failure.h"
#include "web/web_server.h"

namespace berylgauge {

/// Admits requests with the header `Authorization: Bearer TOKEN`.
class BearerTokenCheck {
 public:
  /// Reads the token from a file. White space at its end is removed; an empty token, one of more than 4096 bytes and
  /// one with other than visible ASCII characters are refused.
  static Result<BearerTokenCheck> FromFile(const std::string& path);

  /// The answer to a request without the right token (status 401), or nothing if the request may pass. The time taken
  /// depends on the length of the presented token, but not on its content.
  std::optional<WebResponse> Refusal(const WebRequest& request) const;

 private:
  explicit BearerTokenCheck(std::string token) : m_token(std::move(token)) {}

  bool Equals(std::string_view presented) const;

  std::string m_token;
};

}  // namespace berylgauge
