#include "control/member_record.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "base/cbor_document.h"

namespace berylgauge::control {

std::string EncodeMember(const MemberRecord& member) {
  return ToCbor(nlohmann::json::array({kMemberKindNames.NameOf(member.kind), member.address, member.port}));
}

Result<MemberRecord> DecodeMember(std::string_view bytes) {
  return ReadCbor<MemberRecord>(bytes, "member record", [](const nlohmann::json& document) -> Result<MemberRecord> {
    const std::optional<MemberKind> kind = kMemberKindNames.ValueOf(document.at(0).get<std::string>());
    if (!kind) return NotRun(FailureCode::kCorrupt, "member record names an unknown kind");
    return MemberRecord{.kind = *kind, .address = document.at(1).get<std::string>(), .port = document.at(2).get<int>()};
  });
}

}  // namespace berylgauge::control
