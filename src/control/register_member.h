#pragma once

#include <string>

#include "control/log_writer.h"
#include "control/member_record.h"

namespace berylgauge::control {

/// Writes where the host's process listens, repeated until the store takes it. `writer` must not be busy.
void RegisterMember(LogWriter& writer, const std::string& host, const MemberRecord& member);

}  // namespace berylgauge::control
