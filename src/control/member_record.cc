#include "control/member_record.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "base/cbor_document.h"
#include "base/json_number.h"
#include "transport/option_checks.h"
#include "transport/socket_address.h"

namespace berylgauge::control {

std::string EncodeMember(const MemberRecord& member) {
  return ToCbor(nlohmann::json::array({kMemberKindNames.NameOf(member.kind), member.address, member.port}));
}

Result<MemberRecord> DecodeMember(std::string_view bytes) {
  return ReadCbor<MemberRecord>(bytes, "member record", [](const nlohmann::json& document) -> Result<MemberRecord> {
    const std::optional<MemberKind> kind = kMemberKindNames.ValueOf(document.at(0).get<std::string>());
    if (!kind) return NotRun(FailureCode::kCorrupt, "member record names an unknown kind");
    MemberRecord member{.kind = *kind,
                        .address = document.at(1).get<std::string>(),
                        .port = ReadInteger<int>(document.at(2), 1, kMaxPort)};
    if (Result<SocketAddress> address = SocketAddress::Parse(member.address, member.port); !address) {
      return NotRun(FailureCode::kCorrupt, "member record: " + address.error().message);
    }
    return member;
  });
}

}  // namespace berylgauge::control
