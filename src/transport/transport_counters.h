#pragma once

#include <string_view>

#include "base/metrics.h"

namespace berylgauge {

/// Counters of one side of the transport, registered with a `MetricsRegistry` that must outlive them.
struct TransportCounters {
  /// `side` is the value of the label `side`, "client" or "server". Equal sides of a registry share their counters.
  TransportCounters(MetricsRegistry& registry, std::string_view side);

  Counter& streams_opened;
  Counter& streams_completed;
  Counter& streams_not_run;       ///< failed, not run
  Counter& streams_may_have_run;  ///< failed, may have run
  Counter& connections_opened;
  Counter& connections_failed;  ///< ended before the peer proved to speak HTTP/2
  Counter& connections_closed;
  Counter& bytes_in;
  Counter& bytes_out;
};

}  // namespace berylgauge
