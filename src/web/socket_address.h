#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>

namespace berylgauge {

/// IP address and port in the form that the socket functions take.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_storage);

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }

  int Port() const;

  /// `address` is a numeric IPv4 or IPv6 address.
  static std::optional<SocketAddress> Parse(const std::string& address, int port);
};

/// IP address without the port; empty for other kinds of address.
std::string IpAddressOf(const sockaddr* address);

}  // namespace berylgauge
