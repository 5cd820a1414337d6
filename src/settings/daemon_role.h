#pragma once

#include "base/enum_names.h"

namespace berylgauge {

/// What a daemon process does.
enum class DaemonRole {
  kEntry,  ///< accepts callers' requests and operators' commands, owns shares of the jobs
  kAgent,  ///< admits work to one worker
};

inline constexpr auto kDaemonRoleNames = MakeEnumNames<DaemonRole>({
    {DaemonRole::kEntry, "entry"},
    {DaemonRole::kAgent, "agent"},
});

}  // namespace berylgauge
