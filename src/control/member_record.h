#pragma once

#include <string>
#include <string_view>

#include "base/failure.h"

namespace berylgauge::control {

/// Where an agent listens for the owner; the record's key is the name of its host.
struct MemberRecord {
  std::string address;  ///< numeric IP address
  int port = 0;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

std::string EncodeMember(const MemberRecord& member);
Result<MemberRecord> DecodeMember(std::string_view bytes);

}  // namespace berylgauge::control
