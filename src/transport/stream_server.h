#pragma once

#include <functional>
#include <string>

#include "base/failure.h"
#include "transport/message_types.h"

namespace berylgauge {

/// Accepts HTTP/2 connections with prior knowledge from the system's other processes.
class StreamServer {
 public:
  /// Sends the answer; may be called from any thread, once. Does nothing if the stream has ended meanwhile.
  using Responder = std::function<void(StreamResponse)>;

  /// Called on an event loop's thread with a whole request; must not block.
  using Handler = std::function<void(StreamRequest, Responder)>;

  virtual ~StreamServer() = default;

  /// Begins to listen; `address` is an IP address, `port` 0 lets the system choose. Returns the port.
  virtual Result<int> Start(const std::string& address, int port, Handler handler) = 0;

  /// Tells the peers to open no more streams (GOAWAY) and stops accepting; open streams go on.
  virtual void BeginShutdown() = 0;

  /// Number of streams whose answer has not been sent whole.
  virtual int OpenStreams() const = 0;

  /// Closes everything.
  virtual void Stop() = 0;
};

}  // namespace berylgauge
