#pragma once

#include <absl/time/time.h>

namespace berylgauge {

/// Intervals and limits that the processes of one installation share; sections 4 to 6 of the design.
struct TimingSettings {
  absl::Duration heartbeat;        ///< interval of the agents' heartbeats
  absl::Duration start_freshness;  ///< greatest age of the proof with which an agent starts a task
  absl::Duration share_lease;      ///< silence of an entry after which another one claims its shares
  absl::Duration task_lease;       ///< time after which a worker stops a task whose lease is not renewed
  absl::Duration outage_grace;     ///< how long tasks go on without a freshness proof
  absl::Duration worker_silent;    ///< silence of an agent after which its worker is revoked
  absl::Duration endpoint_silent;  ///< silence after which an endpoint is removed from the routing table
  absl::Duration shutdown_limit;   ///< longest time for a graceful shutdown
};

}  // namespace berylgauge
