#pragma once

#include "base/enum_names.h"

namespace berylgauge {

enum class TaskKind {
  kService,  ///< replica of a latency-critical service; runs until it is stopped
  kBatch,    ///< runs to completion; may be checkpointed, throttled and moved
};

inline constexpr auto kTaskKindNames = MakeEnumNames<TaskKind>({
    {TaskKind::kService, "service"},
    {TaskKind::kBatch, "batch"},
});

}  // namespace berylgauge
