#pragma once

#include <sys/socket.h>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include "base/failure.h"
#include "web/listener_address.h"

namespace berylgauge {

/// Limits on the connections of a listener.
struct AcceptorLimits {
  int connections = 1;           ///< further ones wait in the queue of the operating system
  int replacements = 0;          ///< accepted all the same, each in place of one that is closed for it
  int connections_per_peer = 0;  ///< further ones are closed at once; 0 means no limit
  int backlog = SOMAXCONN;       ///< connections that wait to be accepted; further ones are not answered
  int receive_buffer_bytes = 0;  ///< SO_RCVBUF of each connection; 0 leaves it to the operating system
};

/// Listens on a TCP port and hands each accepted connection over, in a thread of its own.
///
/// libmicrohttpd 0.9.75 could listen itself, but its MHD_quiesce_daemon aborts the program when a thread of its pool
/// removes the listening socket from its epoll set at the same time ("Failed to remove listen FD from epoll set").
class ConnectionAcceptor {
 public:
  /// Takes over the socket; returns false if it has closed it instead. `is_replacement` means that there are more
  /// connections than the limit. Called on the acceptor's thread.
  using OnConnection = std::function<bool(int socket, const ListenerAddress& peer, bool is_replacement)>;

  ConnectionAcceptor() = default;
  ~ConnectionAcceptor();
  ConnectionAcceptor(const ConnectionAcceptor&) = delete;
  ConnectionAcceptor& operator=(const ConnectionAcceptor&) = delete;

  /// Begins to listen and returns the port.
  Result<int> Start(const std::string& address, int port, const AcceptorLimits& limits, OnConnection on_connection);

  /// Must be called when a connection of `peer` (an IP address) has been closed.
  void Release(const std::string& peer);

  /// Hands over the connections that the operating system has completed already, then stops listening. Idempotent, but
  /// not to be called by two threads at once.
  void Stop();

 private:
  void Run();
  /// Accepts until nothing waits or the limit is reached.
  void AcceptWaiting();
  bool Admit(const std::string& peer);
  bool IsFull() const;
  bool IsOverLimit() const;
  void Wake() const;

  AcceptorLimits m_limits;
  OnConnection m_on_connection;
  int m_listen_socket = -1;
  int m_wake_event = -1;
  std::thread m_thread;

  mutable std::mutex m_mutex;
  bool m_stopping = false;
  int m_connections = 0;
  std::unordered_map<std::string, int> m_connections_by_peer;
};

}  // namespace berylgauge
