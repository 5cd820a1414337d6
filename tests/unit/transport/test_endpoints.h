#pragma once

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <utility>

#include "transport/event_loop.h"
#include "transport/make_stream_client.h"
#include "transport/make_stream_server.h"

namespace berylgauge {

inline constexpr char kLoopback[] = "127.0.0.1";

/// Far longer than any step of a test takes; reached only when something hangs.
inline constexpr absl::Duration kLongTimeout = absl::Seconds(60);

/// Answers each request with its own body and headers.
void Echo(StreamRequest request, const StreamServer::Responder& responder);

/// A started server.
struct TestServer {
  explicit TestServer(StreamServer::Handler handler = Echo, StreamServerOptions options = {}, int port = 0);

  std::unique_ptr<StreamServer> server;
  int port = 0;
};

/// A client of `port` on the loopback address; the options may be changed before.
std::unique_ptr<StreamClient> MakeTestClient(EventLoop& loop, int port, StreamClientOptions options = {});

/// Deterministic text of `size` bytes that differs for each `seed`.
std::string MakeBody(std::size_t size, unsigned seed);

}  // namespace berylgauge
