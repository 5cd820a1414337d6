#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace berylgauge {

class MetricsRegistry;

/// Settings of a client made by `MakeStreamClient`.
struct StreamClientOptions {
  std::string address;  ///< numeric IP address of the peer
  int port = 0;

  /// Limits TCP connect and the arrival of the peer's HTTP/2 settings together. No request is sent before both.
  absl::Duration connect_timeout = absl::Seconds(1);

  /// A peer from which nothing arrives for this time, although it was sent a PING after a third of it, is given up.
  absl::Duration keepalive_timeout = absl::Seconds(3);

  /// A connection whose socket takes no byte for this time is closed.
  absl::Duration write_timeout = absl::Seconds(10);

  /// Nominal delay after the first failed attempt to connect; it doubles up to the maximum.
  absl::Duration reconnect_initial_delay = absl::Milliseconds(20);
  absl::Duration reconnect_max_delay = absl::Seconds(1);

  /// A further connection is opened when all others are at their limit of streams and requests wait.
  int max_connections = 1;
  std::uint32_t max_concurrent_streams = 1024;  ///< per connection; the peer may allow fewer

  std::size_t max_queued_requests = 1024;                              ///< that wait for a stream
  std::size_t max_request_bytes = std::size_t{32} * 1024 * 1024;       ///< bodies of all unfinished requests together
  std::size_t max_response_bytes = std::size_t{32} * 1024 * 1024;      ///< bodies of all unfinished responses together
  std::size_t max_request_body_bytes = std::size_t{4} * 1024 * 1024;   ///< of one request
  std::size_t max_response_body_bytes = std::size_t{4} * 1024 * 1024;  ///< of one response
  std::uint32_t max_header_list_bytes = 16 * 1024;                     ///< each way, as RFC 9113 counts them

  std::int32_t stream_window_bytes = 256 * 1024;
  std::int32_t connection_window_bytes = 1024 * 1024;

  /// Receives the counters; must outlive the client. Null for none.
  MetricsRegistry* metrics = nullptr;
};

}  // namespace berylgauge
