#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace berylgauge {

/// Many connections from 127.0.0.1 to one listener, used by one thread. A connection that the listener closes, or that
/// takes nothing for some time, is left alone from then on but stays open on this side.
class Crowd {
 public:
  /// `address` is "IP:PORT". Waits until the process listens there.
  Crowd(const std::string& address, int connections);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends all of `bytes` on each connection, one connection after the other.
  void SendWhole(std::string_view bytes);

  /// Sends `bytes` on all connections in turns of `piece` bytes each.
  void SendInTurns(std::string_view bytes, std::size_t piece);

 private:
  void Send(int& socket, std::string_view bytes);

  std::vector<int> m_open;
  std::vector<int> m_given_up;
};

}  // namespace berylgauge
