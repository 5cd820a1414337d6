#pragma once

#include <string>

#include "base/failure.h"
#include "transport/message_types.h"

namespace berylgauge {

class ClientConnection;
struct ClientStream;

/// Owner of client connections; called on the loop's thread.
class ClientConnectionListener {
 public:
  virtual ~ClientConnectionListener() = default;

  /// The connection may have room for further streams: it is ready, a stream ended or the socket is writable again.
  virtual void OnCapacity() = 0;

  /// The peer has sent GOAWAY; open streams go on.
  virtual void OnDraining(ClientConnection& connection) = 0;

  /// The connection has ended; its streams have been reported to `OnStreamFinished` before.
  virtual void OnConnectionClosed(ClientConnection& connection, const std::string& reason) = 0;

  /// The outcome of the stream is known. Runs no user code.
  virtual void OnStreamFinished(ClientStream& stream, Result<StreamResponse> result) = 0;
};

}  // namespace berylgauge
