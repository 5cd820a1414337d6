#include "control/member_record.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace berylgauge::control {

std::string EncodeMember(const MemberRecord& member) {
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json::array({kMemberKindNames.NameOf(member.kind), member.address, member.port}),
                          bytes);
  return bytes;
}

Result<MemberRecord> DecodeMember(std::string_view bytes) {
  try {
    const nlohmann::json document = nlohmann::json::from_cbor(bytes);
    const std::optional<MemberKind> kind = kMemberKindNames.ValueOf(document.at(0).get<std::string>());
    if (!kind) return NotRun(FailureCode::kCorrupt, "member record names an unknown kind");
    return MemberRecord{.kind = *kind, .address = document.at(1).get<std::string>(), .port = document.at(2).get<int>()};
  } catch (const nlohmann::json::exception& error) {
    return NotRun(FailureCode::kCorrupt, std::string("member record: ") + error.what());
  }
}

}  // namespace berylgauge::control
