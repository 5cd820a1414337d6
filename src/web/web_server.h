#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/failure.h"

namespace berylgauge {

/// A whole HTTP/1.1 request.
struct WebRequest {
  std::string method;
  std::string path;                                          ///< without query, percent-decoded
  std::string query;                                         ///< without '?', as received
  std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case
  std::string body;
  std::string peer;  ///< IP address of the peer

  /// Value of a header by its lower-case name; empty if it is absent.
  std::string Header(std::string_view name) const;
};

/// A whole HTTP/1.1 answer.
struct WebResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Limits of a listener; a peer that exceeds one receives a 4xx or is disconnected.
struct WebServerOptions {
  std::string address;  ///< IP address
  int port = 0;         ///< 0 lets the system choose
  int threads = 2;
  int max_connections = 1000;
  int max_connections_per_peer = 0;  ///< 0 means no limit
  std::size_t max_body_bytes = 1 << 20;
  int idle_timeout_s = 30;
};

/// Listens for HTTP/1.1 requests of callers, endpoints or operators.
class WebServer {
 public:
  /// Sends the answer; may be called from any thread, once.
  using Responder = std::function<void(WebResponse)>;

  /// Called with each whole request on a listener thread; must not block. The connection is suspended until the
  /// responder is called.
  using Handler = std::function<void(WebRequest, Responder)>;

  virtual ~WebServer() = default;

  /// Begins to listen and returns the port.
  virtual Result<int> Start(const WebServerOptions& options, Handler handler) = 0;

  /// From now on every answer carries `Connection: close`, and no new connection is accepted.
  virtual void BeginShutdown() = 0;

  /// Number of requests whose answer has not been handed over.
  virtual int OpenRequests() const = 0;

  /// Closes everything; every responder must have been called.
  virtual void Stop() = 0;
};

}  // namespace berylgauge
