#include "transport/make_stream_server.h"

#include "transport/http2_stream_server.h"
#include "transport/option_checks.h"

namespace berylgauge {
namespace {

constexpr std::int64_t kMaxLoops = 64;
constexpr std::int64_t kMaxServerConnections = 65'536;
constexpr std::int64_t kMaxServerStreams = 1'000'000;

Result<void> CheckOptions(const StreamServerOptions& options) {
  OptionChecks checks;
  checks.InRange("loops", options.loops, 1, kMaxLoops);
  checks.InRange("max_connections", options.max_connections, 1, kMaxServerConnections);
  checks.InRange("backlog", options.backlog, 1, kMaxServerConnections);
  checks.InRange("receive_buffer_bytes", options.receive_buffer_bytes, 0, kMaxWindowBytes);
  checks.InRange("max_concurrent_streams", options.max_concurrent_streams, 1, kMaxStreamsPerConnection);
  checks.InRange("max_open_streams", options.max_open_streams, 1, kMaxServerStreams);
  checks.InRange("stream_window_bytes", options.stream_window_bytes, kMinWindowBytes, kMaxWindowBytes);
  checks.InRange("connection_window_bytes", options.connection_window_bytes, kMinWindowBytes, kMaxWindowBytes);
  checks.Positive("handshake_timeout", options.handshake_timeout);
  checks.Positive("keepalive_timeout", options.keepalive_timeout);
  checks.Positive("receive_timeout", options.receive_timeout);
  checks.Positive("send_timeout", options.send_timeout);
  checks.Positive("write_timeout", options.write_timeout);
  return checks.result();
}

}  // namespace

Result<std::unique_ptr<StreamServer>> MakeStreamServer(StreamServerOptions options) {
  if (const Result<void> check = CheckOptions(options); !check) return tl::make_unexpected(check.error());
  return std::make_unique<Http2StreamServer>(options);
}

}  // namespace berylgauge
