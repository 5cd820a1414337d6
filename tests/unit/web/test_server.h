#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "web/web_server.h"

namespace berylgauge {

/// A `WebServer` on 127.0.0.1 that records its requests.
///
/// Paths that start with "/wait" are answered by the test through `NextWaiting`; others at once with the path as body.
class TestServer {
 public:
  struct Waiting {
    WebRequest request;
    WebServer::Responder responder;
  };

  explicit TestServer(WebServerOptions options = {});
  ~TestServer();
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  int port() const { return m_port; }
  WebServer& server() { return *m_server; }

  /// Blocks until a request to "/wait..." has arrived; fails the test after 20 s.
  Waiting NextWaiting();

  /// Requests that the handler received so far.
  std::vector<WebRequest> Requests() const;

 private:
  void Handle(WebRequest request, WebServer::Responder responder);

  std::unique_ptr<WebServer> m_server;
  int m_port = 0;
  mutable std::mutex m_mutex;
  std::condition_variable m_arrived;
  std::vector<WebRequest> m_requests;
  std::deque<Waiting> m_waiting;
};

/// Repeats `condition` until it holds, for at most 20 s.
bool Eventually(const std::function<bool()>& condition);

/// "METHOD TARGET HTTP/1.1" with a Host header, further header lines and a body.
std::string Request(const std::string& target, const std::string& header_lines = "", const std::string& body = "",
                    const std::string& method = "GET");

}  // namespace berylgauge
