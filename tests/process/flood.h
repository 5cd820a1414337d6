#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace berylgauge {

struct FloodOptions {
  int connections = 1;
  int sources = 1;  ///< addresses that the connections come from, 127.0.1.1 and following
};

/// Connections that are opened all at once, without waiting until the listener accepts them. They stay open until the
/// object is destroyed.
class Flood {
 public:
  /// `address` is "IP:PORT".
  Flood(const std::string& address, const FloodOptions& options);
  ~Flood();
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

  /// Sends `bytes` on each connection as far as the peer takes them within `limit`. Returns early once all are sent.
  void Send(std::string_view bytes, std::chrono::milliseconds limit);

 private:
  std::vector<int> m_sockets;
};

}  // namespace berylgauge
