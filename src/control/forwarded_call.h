#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/failure.h"

namespace berylgauge::control {

inline constexpr std::string_view kForwardPath = "/internal/client";
inline constexpr std::string_view kPeerReadyPath = "/internal/ready";

/// A client's request that an entry passes on to another one.
struct ForwardedCall {
  std::string method;
  std::string path;
  std::string host;         ///< of the request
  std::string deadline_ms;  ///< as the client gave it; empty if it did not
  std::string body;

  friend bool operator==(const ForwardedCall&, const ForwardedCall&) = default;
};

/// The answer for the client.
struct ForwardedAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::int64_t configuration = 0;  ///< version in force at the entry that answered; 0 for none

  friend bool operator==(const ForwardedAnswer&, const ForwardedAnswer&) = default;
};

std::string EncodeForwardedCall(const ForwardedCall& call);
Result<ForwardedCall> DecodeForwardedCall(std::string_view bytes);
std::string EncodeForwardedAnswer(const ForwardedAnswer& answer);
Result<ForwardedAnswer> DecodeForwardedAnswer(std::string_view bytes);

}  // namespace berylgauge::control
