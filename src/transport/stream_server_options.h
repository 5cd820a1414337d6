#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace berylgauge {

class MetricsRegistry;

/// Settings of a server made by `MakeStreamServer`.
struct StreamServerOptions {
  int loops = 1;  ///< event loops, each with a thread; connections are distributed in turn
  int max_connections = 1024;
  int backlog = 1024;                           ///< connections that wait to be accepted
  int receive_buffer_bytes = 0;                 ///< SO_RCVBUF of each connection; 0 leaves it to the operating system
  std::uint32_t max_concurrent_streams = 1024;  ///< per connection
  int max_open_streams = 8192;                  ///< of all connections; more are refused (REFUSED_STREAM)

  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;          ///< bodies of all open streams, each way counted
  std::size_t max_request_body_bytes = std::size_t{4} * 1024 * 1024;   ///< of one request
  std::size_t max_response_body_bytes = std::size_t{4} * 1024 * 1024;  ///< of one response
  std::uint32_t max_header_list_bytes = 16 * 1024;                     ///< each way, as RFC 9113 counts them

  std::int32_t stream_window_bytes = 256 * 1024;
  std::int32_t connection_window_bytes = 1024 * 1024;

  /// Limits the time from accept to the peer's HTTP/2 settings.
  absl::Duration handshake_timeout = absl::Seconds(3);

  /// A peer from which nothing arrives for this time, although it was sent a PING after half of it, is given up.
  absl::Duration keepalive_timeout = absl::Seconds(3);

  /// Limits the time from the first frame of a request to its last.
  absl::Duration receive_timeout = absl::Seconds(10);

  /// Limits the time from an answer to its last frame.
  absl::Duration send_timeout = absl::Seconds(10);

  /// A connection whose socket takes no byte for this time is closed.
  absl::Duration write_timeout = absl::Seconds(10);

  /// Receives the counters; must outlive the server. Null for none.
  MetricsRegistry* metrics = nullptr;
};

}  // namespace berylgauge
