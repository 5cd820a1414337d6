#include "control/member_record.h"

#include <nlohmann/json.hpp>

namespace berylgauge::control {

std::string EncodeMember(const MemberRecord& member) {
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json::array({member.address, member.port}), bytes);
  return bytes;
}

Result<MemberRecord> DecodeMember(std::string_view bytes) {
  try {
    const nlohmann::json document = nlohmann::json::from_cbor(bytes);
    return MemberRecord{.address = document.at(0).get<std::string>(), .port = document.at(1).get<int>()};
  } catch (const nlohmann::json::exception& error) {
    return NotRun(FailureCode::kCorrupt, std::string("member record: ") + error.what());
  }
}

}  // namespace berylgauge::control
