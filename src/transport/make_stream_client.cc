#include "transport/make_stream_client.h"

#include <utility>

#include "transport/client_dispatcher.h"
#include "transport/event_loop.h"
#include "transport/http2_stream_client.h"
#include "transport/option_checks.h"
#include "transport/socket_address.h"

namespace berylgauge {
namespace {

Result<void> CheckOptions(const StreamClientOptions& options) {
  OptionChecks checks;
  checks.Positive("connect_timeout", options.connect_timeout);
  checks.Positive("keepalive_timeout", options.keepalive_timeout);
  checks.Positive("write_timeout", options.write_timeout);
  checks.Positive("reconnect_initial_delay", options.reconnect_initial_delay);
  checks.AtLeast("reconnect_max_delay", options.reconnect_max_delay, options.reconnect_initial_delay);
  checks.InRange("port", options.port, 1, kMaxPort);
  checks.InRange("max_connections", options.max_connections, 1, kMaxConnectionsPerClient);
  checks.InRange("max_concurrent_streams", options.max_concurrent_streams, 1, kMaxStreamsPerConnection);
  checks.InRange("stream_window_bytes", options.stream_window_bytes, kMinWindowBytes, kMaxWindowBytes);
  checks.InRange("connection_window_bytes", options.connection_window_bytes, kMinWindowBytes, kMaxWindowBytes);
  return checks.result();
}

}  // namespace

Result<std::unique_ptr<StreamClient>> MakeStreamClient(EventLoop& loop, StreamClientOptions options) {
  if (const Result<void> check = CheckOptions(options); !check) return tl::make_unexpected(check.error());
  Result<SocketAddress> address = SocketAddress::Parse(options.address, options.port);
  if (!address) return tl::make_unexpected(address.error());
  auto dispatcher = std::make_shared<ClientDispatcher>(loop, std::move(*address), options);
  return std::make_unique<Http2StreamClient>(loop, std::move(dispatcher));
}

}  // namespace berylgauge
