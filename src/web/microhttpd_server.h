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
#include <vector>

#include "base/clock.h"
#include "web/connection_acceptor.h"
#include "web/connection_closer.h"
#include "web/request_memory.h"
#include "web/web_connection.h"
#include "web/web_server.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace berylgauge {

struct MicrohttpdCallbacks;

/// `WebServer` on libmicrohttpd: a pool of threads, each with its own epoll set, and an acceptor.
class MicrohttpdServer final : public WebServer, public ConnectionCloser {
 public:
  MicrohttpdServer() = default;
  ~MicrohttpdServer() override;
  MicrohttpdServer(const MicrohttpdServer&) = delete;
  MicrohttpdServer& operator=(const MicrohttpdServer&) = delete;

  Result<int> Start(const WebServerOptions& options, Handler handler) override;
  void BeginShutdown() override;
  int OpenRequests() const override;
  void Stop() override;
  void CloseForMemory(const std::vector<ConnectionId>& connections) override;

 private:
  friend struct MicrohttpdCallbacks;

  /// Passes an accepted socket to the library, unless there is no memory for it.
  bool TakeOver(int socket, const ListenerAddress& peer, bool is_replacement);
  std::optional<ConnectionId> OpenInMemory(const std::string& peer, bool is_replacement);
  /// Closes what was named and logs the report.
  void CarryOut(const RequestMemory::Decision& decision);
  /// False if the connection is to be closed.
  bool ReserveBody(const WebConnection& state, std::size_t capacity);
  std::size_t HeadBlockBytes() const;

  void OnOpen(MHD_Connection* connection, void** context);
  void OnClose(void** context);
  /// Processes a step of a request; false closes the connection at once.
  bool OnAccess(MHD_Connection* connection, WebConnection& state, const char* method, const char* version,
                const char* upload_data, std::size_t* upload_size);
  void OnCompleted(WebConnection& state);

  bool OnHead(MHD_Connection* connection, WebConnection& state, const char* method, const char* version);
  bool OnBody(WebConnection& state, const char* data, std::size_t size);
  bool DiscardBody(WebConnection& state, std::size_t size);
  void Dispatch(WebConnection& state);
  bool Queue(MHD_Connection* connection, WebConnection& state, WebResponse response);
  bool Refuse(MHD_Connection* connection, WebConnection& state, int status, const Failure& failure);
  bool Register(WebConnection& state, MHD_Connection* connection);
  void SetDeadline(WebConnection& state, std::optional<std::chrono::seconds> limit);
  void CutOffOverduePeers();

  WebServerOptions m_options;
  Handler m_handler;
  SystemClock m_clock;
  ConnectionAcceptor m_acceptor;
  MHD_Daemon* m_daemon = nullptr;
  std::atomic<bool> m_shutting_down{false};

  mutable std::mutex m_mutex;
  std::condition_variable m_stop_changed;
  bool m_stopping = false;
  std::condition_variable m_connection_closed;
  std::unordered_map<WebConnection*, std::unique_ptr<WebConnection>> m_connections;
  std::unordered_map<ConnectionId, WebConnection*> m_connections_by_id;
  std::unordered_map<int, ConnectionId> m_admitted;  ///< by socket, until the library reports the connection
  std::unordered_set<std::shared_ptr<WebExchange>> m_exchanges;
  std::thread m_overdue_thread;
};

}  // namespace berylgauge
