#pragma once

#include <sys/socket.h>

#include <string>

#include "base/failure.h"

namespace berylgauge {

/// An IPv4 or IPv6 address with a port.
class SocketAddress {
 public:
  /// Parses `address`, a numeric IP address, and `port`, 0 to 65535. No name is looked up, because that would block.
  static Result<SocketAddress> Parse(const std::string& address, int port);

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&m_storage); }
  socklen_t size() const { return m_size; }
  int family() const { return m_storage.ss_family; }

  /// "ADDRESS:PORT", with brackets around an IPv6 address.
  const std::string& text() const { return m_text; }

 private:
  SocketAddress() = default;

  sockaddr_storage m_storage{};
  socklen_t m_size = 0;
  std::string m_text;
};

}  // namespace berylgauge
