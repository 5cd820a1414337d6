#include "test_server.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <utility>

namespace berylgauge {
namespace {

constexpr std::chrono::seconds kWaitLimit{20};

}  // namespace

TestServer::TestServer(WebServerOptions options) : m_server(MakeWebServer()) {
  options.address = "127.0.0.1";
  const Result<int> port = m_server->Start(options, [this](WebRequest request, WebServer::Responder responder) {
    Handle(std::move(request), std::move(responder));
  });
  REQUIRE(port.has_value());
  m_port = *port;
}

TestServer::~TestServer() { m_server->Stop(); }

void TestServer::Handle(WebRequest request, WebServer::Responder responder) {
  const std::string path = request.path;
  {
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(request);
    if (path.starts_with("/wait")) {
      m_waiting.push_back({.request = std::move(request), .responder = std::move(responder)});
      m_arrived.notify_all();
      return;
    }
  }
  responder({.status = 200, .headers = {}, .body = path});
}

TestServer::Waiting TestServer::NextWaiting() {
  std::unique_lock lock(m_mutex);
  REQUIRE(m_arrived.wait_for(lock, kWaitLimit, [this] { return !m_waiting.empty(); }));
  Waiting result = std::move(m_waiting.front());
  m_waiting.pop_front();
  return result;
}

std::vector<WebRequest> TestServer::Requests() const {
  const std::lock_guard lock(m_mutex);
  return m_requests;
}

bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::yield();
  }
  return true;
}

std::string Request(const std::string& target, const std::string& header_lines, const std::string& body,
                    const std::string& method) {
  return method + " " + target + " HTTP/1.1\r\nHost: test\r\n" + header_lines + "\r\n" + body;
}

}  // namespace berylgauge
