#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <deque>
#include <list>
#include <string>
#include <thread>
#include <utility>

namespace berylgauge {

/// Passes TCP connections on to a server and can stop or delay the traffic of each direction, as a faulty network does.
class TcpRelay {
 public:
  /// Listens on `address`:`port` and connects to `server_address`:`server_port` for each connection.
  TcpRelay(const std::string& address, int port, std::string server_address, int server_port);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  /// Holds back all bytes towards the server, those towards the client, or both, until the next call.
  void Cut(bool to_server, bool to_client);

  /// Lets all bytes pass again; those that were held back arrive late.
  void Heal() { Cut(false, false); }

  /// Passes bytes that arrive from now on after this time.
  void SetDelay(absl::Duration delay) { m_delay_ms = absl::ToInt64Milliseconds(delay); }

 private:
  /// One direction of a connection.
  struct Flow {
    int from = -1;
    int to = -1;
    std::deque<std::pair<absl::Time, std::string>> chunks;
    bool ended = false;
  };
  struct Link {
    Flow to_server;
    Flow to_client;
  };

  void Run();
  void Accept();

  /// Moves what can be moved; false if the connection has broken or ended in this direction.
  bool Move(Flow& flow, bool held, bool readable);

  const std::string m_server_address;
  const int m_server_port;
  int m_socket = -1;
  std::atomic<bool> m_hold_to_server = false;
  std::atomic<bool> m_hold_to_client = false;
  std::atomic<std::int64_t> m_delay_ms = 0;
  std::atomic<bool> m_stopping = false;
  std::list<Link> m_links;
  std::thread m_thread;
};

}  // namespace berylgauge
