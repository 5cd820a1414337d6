#include "control/member_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/cbor_document.h"
#include "base/json_number.h"
#include "transport/option_checks.h"
#include "transport/socket_address.h"

namespace berylgauge::control {

namespace {

constexpr std::size_t kColumnsBeforeJobMemory = 3;

}  // namespace

std::string EncodeMember(const MemberRecord& member) {
  return ToCbor(nlohmann::json::array(
      {kMemberKindNames.NameOf(member.kind), member.address, member.port, member.job_memory_bytes}));
}

Result<MemberRecord> DecodeMember(std::string_view bytes) {
  return ReadCbor<MemberRecord>(bytes, "member record", [](const nlohmann::json& document) -> Result<MemberRecord> {
    const std::optional<MemberKind> kind = kMemberKindNames.ValueOf(document.at(0).get<std::string>());
    if (!kind) return NotRun(FailureCode::kCorrupt, "member record names an unknown kind");
    MemberRecord member{.kind = *kind,
                        .address = document.at(1).get<std::string>(),
                        .port = ReadInteger<int>(document.at(2), 1, kMaxPort)};
    // Earlier versions end their records here.
    if (document.size() > kColumnsBeforeJobMemory) {
      member.job_memory_bytes =
          static_cast<std::size_t>(ReadInteger<std::int64_t>(document.at(kColumnsBeforeJobMemory), 0));
    }
    if (Result<SocketAddress> address = SocketAddress::Parse(member.address, member.port); !address) {
      return NotRun(FailureCode::kCorrupt, "member record: " + address.error().message);
    }
    return member;
  });
}

}  // namespace berylgauge::control
