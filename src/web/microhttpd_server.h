#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "web/connection_acceptor.h"
#include "web/web_connection.h"
#include "web/web_server.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace berylgauge {

struct MicrohttpdCallbacks;

/// `WebServer` on libmicrohttpd: a pool of threads, each with its own epoll set, and an acceptor.
class MicrohttpdServer final : public WebServer {
 public:
  MicrohttpdServer() = default;
  ~MicrohttpdServer() override;
  MicrohttpdServer(const MicrohttpdServer&) = delete;
  MicrohttpdServer& operator=(const MicrohttpdServer&) = delete;

  Result<int> Start(const WebServerOptions& options, Handler handler) override;
  void BeginShutdown() override;
  int OpenRequests() const override;
  void Stop() override;

 private:
  friend struct MicrohttpdCallbacks;

  void OnOpen(MHD_Connection* connection, void** context);
  void OnClose(void** context);
  /// Processes a step of a request; false closes the connection at once.
  bool OnAccess(MHD_Connection* connection, WebConnection& state, const char* method, const char* version,
                const char* upload_data, std::size_t* upload_size);
  void OnCompleted(WebConnection& state);

  bool OnHead(MHD_Connection* connection, WebConnection& state, const char* method, const char* version);
  bool OnBody(WebConnection& state, const char* data, std::size_t size);
  void Dispatch(WebConnection& state);
  bool Queue(MHD_Connection* connection, WebConnection& state, WebResponse response);
  bool Refuse(MHD_Connection* connection, WebConnection& state, int status, const Failure& failure);
  bool Register(WebConnection& state, MHD_Connection* connection);
  void SetDeadline(WebConnection& state, std::optional<std::chrono::seconds> limit);
  void CutOffOverduePeers();

  WebServerOptions m_options;
  Handler m_handler;
  ConnectionAcceptor m_acceptor;
  MHD_Daemon* m_daemon = nullptr;
  std::atomic<bool> m_shutting_down{false};

  mutable std::mutex m_mutex;
  std::condition_variable m_stop_changed;
  bool m_stopping = false;
  std::unordered_map<WebConnection*, std::unique_ptr<WebConnection>> m_connections;
  std::unordered_set<std::shared_ptr<WebExchange>> m_exchanges;
  std::thread m_overdue_thread;
};

}  // namespace berylgauge
