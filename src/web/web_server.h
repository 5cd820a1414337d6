#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/failure.h"
#include "web/request_memory.h"

namespace berylgauge {

/// A whole HTTP/1.1 request.
struct WebRequest {
  std::string method;
  std::string path;                                          ///< without query, percent-decoded
  std::string query;                                         ///< without '?', as received
  std::string target;                                        ///< path and query as received
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
  std::size_t max_url_bytes = 8192;      ///< path and query as received
  std::size_t max_header_bytes = 16384;  ///< all header lines together
  std::size_t max_headers = 100;
  int idle_timeout_s = 30;  ///< longest silence of a peer
  /// Longest time for the header, for the body and for taking the answer; cuts off peers that send a byte now and then.
  int transfer_timeout_s = 60;
  int body_timeout_s = 0;  ///< longest time for the body; 0 means `transfer_timeout_s`
  /// Shared by the listeners of a process. Null means that memory is limited by the number of connections only and that
  /// further connections wait; otherwise connections are closed when memory or places are used up.
  std::shared_ptr<RequestMemory> memory;
};

/// Listens for HTTP/1.1 requests of callers, endpoints or operators.
///
/// Refused input receives a JSON error and `Connection: close`. What libmicrohttpd refuses itself (a Content-Length
/// that is no number, a malformed chunk, a header line without colon, a head of several times the limits) receives its
/// own text with a 4xx status or 505, or no answer at all; the connection is closed as well.
class WebServer {
 public:
  /// Sends the answer; may be called from any thread, once. If all copies are destroyed without a call, the peer
  /// receives status 500 and the verdict `may-have-run`.
  using Responder = std::function<void(WebResponse)>;

  /// Called with each whole request on a listener thread; must not block. The connection is suspended until the
  /// responder is called.
  using Handler = std::function<void(WebRequest, Responder)>;

  virtual ~WebServer() = default;

  /// Begins to listen and returns the port.
  virtual Result<int> Start(const WebServerOptions& options, Handler handler) = 0;

  /// Not to be called at the same time as `Stop`. From now on every answer carries `Connection: close`, and no new
  /// connection is accepted.
  virtual void BeginShutdown() = 0;

  /// Number of requests whose answer has not been handed to the operating system as a whole.
  virtual int OpenRequests() const = 0;

  /// Closes everything; every responder should have been called. Requests without an answer receive status 503 and the
  /// verdict `may-have-run` if there is time, and their responders have no effect from then on.
  virtual void Stop() = 0;
};

/// Creates a listener based on libmicrohttpd.
std::unique_ptr<WebServer> MakeWebServer();

}  // namespace berylgauge
