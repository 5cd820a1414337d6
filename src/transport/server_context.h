#pragma once

#include <atomic>

#include "base/metrics.h"
#include "transport/byte_budget.h"
#include "transport/stream_server.h"
#include "transport/stream_server_options.h"
#include "transport/transport_counters.h"

namespace berylgauge {

/// What all connections of a server share. `handler` is set before the first connection and then only read.
struct ServerContext {
  explicit ServerContext(const StreamServerOptions& server_options)
      : options(server_options),
        counters(server_options.metrics != nullptr ? *server_options.metrics : own_metrics, "server"),
        body_budget(server_options.max_body_bytes) {}

  const StreamServerOptions options;
  StreamServer::Handler handler;
  MetricsRegistry own_metrics;  ///< used if the options name none
  TransportCounters counters;
  ByteBudget body_budget;
  std::atomic<int> connections{0};
  std::atomic<int> open_streams{0};
};

}  // namespace berylgauge
