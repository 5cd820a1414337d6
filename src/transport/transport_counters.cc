#include "transport/transport_counters.h"

#include <string>

namespace berylgauge {
namespace {

std::string SideLabel(std::string_view side) { return "side=\"" + std::string(side) + "\""; }

std::string FailureLabels(std::string_view side, std::string_view verdict) {
  return SideLabel(side) + ",verdict=\"" + std::string(verdict) + "\"";
}

}  // namespace

TransportCounters::TransportCounters(MetricsRegistry& registry, std::string_view side)
    : streams_opened(
          registry.GetCounter("berylgauge_transport_streams_opened_total", "Streams opened.", SideLabel(side))),
      streams_completed(registry.GetCounter("berylgauge_transport_streams_completed_total",
                                            "Streams with a whole answer.", SideLabel(side))),
      streams_not_run(registry.GetCounter("berylgauge_transport_streams_failed_total",
                                          "Requests without a whole answer.", FailureLabels(side, "not-run"))),
      streams_may_have_run(registry.GetCounter("berylgauge_transport_streams_failed_total",
                                               "Requests without a whole answer.",
                                               FailureLabels(side, "may-have-run"))),
      connections_opened(registry.GetCounter("berylgauge_transport_connections_opened_total",
                                             "Connections established.", SideLabel(side))),
      connections_failed(registry.GetCounter("berylgauge_transport_connections_failed_total",
                                             "Connections that ended before the HTTP/2 settings were exchanged.",
                                             SideLabel(side))),
      connections_closed(registry.GetCounter("berylgauge_transport_connections_closed_total",
                                             "Established connections that have ended.", SideLabel(side))),
      bytes_in(registry.GetCounter("berylgauge_transport_bytes_in_total", "Bytes read from sockets.", SideLabel(side))),
      bytes_out(
          registry.GetCounter("berylgauge_transport_bytes_out_total", "Bytes written to sockets.", SideLabel(side))) {}

}  // namespace berylgauge
