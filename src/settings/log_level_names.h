#pragma once

#include "base/enum_names.h"
#include "base/event_log.h"

namespace berylgauge {

inline constexpr auto kLogLevelNames = MakeEnumNames<LogLevel>({
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
});

}  // namespace berylgauge
