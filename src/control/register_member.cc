#include "control/register_member.h"

#include <optional>

#include "base/event_log.h"

namespace berylgauge::control {

void RegisterMember(LogWriter& writer, const std::string& host, const MemberRecord& member) {
  writer.Write({{.key = host, .value = EncodeMember(member)}}, std::nullopt, std::nullopt,
               [](const AppendAnswer& answer) {
                 LogEvent(LogLevel::kInfo, "registered", {{"outcome", kAppendOutcomeNames.NameOf(answer.outcome)}});
               });
}

}  // namespace berylgauge::control
