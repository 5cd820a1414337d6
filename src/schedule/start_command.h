#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/resources.h"
#include "schedule/attempt_key.h"
#include "schedule/task_kind.h"

namespace berylgauge {

/// How an attempt is treated while it runs.
struct AttemptTerms {
  TaskKind kind = TaskKind::kBatch;
  std::string job_class;  ///< attempts of one class share a learnt headroom; empty for none
  int importance = 0;     ///< higher is more important; decides what stops first when capacity shrinks
  absl::Duration task_lease = absl::Milliseconds(30'000);
  absl::Duration outage_grace = absl::Milliseconds(3'900'000);  ///< how long it may run after the last proof
};

/// The owner's command to start an attempt.
struct StartCommand {
  AttemptKey key;
  WorkerId worker;
  Resources resources;
  AttemptTerms terms;
  std::uint32_t share = 0;
  ShareEpoch epoch = 0;
  Offset offset = kNoOffset;  ///< of the placement in the stream of the share
  Incarnation agent_incarnation = 0;
  ConfigVersion config_version = 0;
  std::string checkpoint;  ///< id of the checkpoint to resume from; empty for a fresh run
  std::string command;     ///< passed on unread
};

/// The owner's command to withdraw or stop an attempt.
struct EndCommand {
  AttemptKey key;
  std::uint32_t share = 0;
  Offset offset = kNoOffset;           ///< of the placement; needed to prune the tombstone
  Incarnation agent_incarnation = 0;   ///< of the agent that is addressed
  Incarnation placed_incarnation = 0;  ///< that the start command names; the agent may have been restarted since
};

}  // namespace berylgauge
