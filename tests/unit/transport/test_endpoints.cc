#include "test_endpoints.h"

#include <stdexcept>

namespace berylgauge {

void Echo(StreamRequest request, const StreamServer::Responder& responder) {
  responder({.status = 200, .headers = std::move(request.headers), .body = std::move(request.body)});
}

TestServer::TestServer(StreamServer::Handler handler, StreamServerOptions options, int wanted_port) {
  Result<std::unique_ptr<StreamServer>> made = MakeStreamServer(options);
  if (!made) throw std::runtime_error(made.error().message);
  server = std::move(*made);
  const Result<int> started = server->Start(kLoopback, wanted_port, std::move(handler));
  if (!started) throw std::runtime_error(started.error().message);
  port = *started;
}

std::unique_ptr<StreamClient> MakeTestClient(EventLoop& loop, int port, StreamClientOptions options) {
  options.address = kLoopback;
  options.port = port;
  Result<std::unique_ptr<StreamClient>> made = MakeStreamClient(loop, std::move(options));
  if (!made) throw std::runtime_error(made.error().message);
  return std::move(*made);
}

std::string MakeBody(std::size_t size, unsigned seed) {
  std::string body(size, '\0');
  unsigned state = seed * 2654435761U + 1;
  for (char& c : body) {
    state = state * 1664525U + 1013904223U;
    c = static_cast<char>(state >> 24U);
  }
  return body;
}

}  // namespace berylgauge
