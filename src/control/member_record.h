#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/failure.h"

namespace berylgauge::control {

enum class MemberKind { kAgent, kEntry };

inline constexpr auto kMemberKindNames = MakeEnumNames<MemberKind>({
    {MemberKind::kAgent, "agent"},
    {MemberKind::kEntry, "entry"},
});

/// Where a process listens for the other processes of the system; the record's key is the name of its host.
struct MemberRecord {
  MemberKind kind = MemberKind::kAgent;
  std::string address;  ///< numeric IP address
  int port = 0;
  std::size_t job_memory_bytes = 0;  ///< of an entry, for accepted jobs; 0 if it states no limit

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

std::string EncodeMember(const MemberRecord& member);
Result<MemberRecord> DecodeMember(std::string_view bytes);

}  // namespace berylgauge::control
