#include "web/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <cstdint>

namespace berylgauge {

int SocketAddress::Port() const {
  const in_port_t port = storage.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port
                                                       : reinterpret_cast<const sockaddr_in*>(&storage)->sin_port;
  return ntohs(port);
}

std::optional<SocketAddress> SocketAddress::Parse(const std::string& address, int port) {
  SocketAddress result;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  if (inet_pton(AF_INET, address.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(static_cast<std::uint16_t>(port));
    result.size = sizeof(sockaddr_in);
    return result;
  }
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
  if (inet_pton(AF_INET6, address.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(static_cast<std::uint16_t>(port));
    result.size = sizeof(sockaddr_in6);
    return result;
  }
  return std::nullopt;
}

std::string IpAddressOf(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  const void* binary = nullptr;
  if (address->sa_family == AF_INET) binary = &reinterpret_cast<const sockaddr_in*>(address)->sin_addr;
  if (address->sa_family == AF_INET6) binary = &reinterpret_cast<const sockaddr_in6*>(address)->sin6_addr;
  if (binary == nullptr) return {};
  if (inet_ntop(address->sa_family, binary, text.data(), text.size()) == nullptr) return {};
  return text.data();
}

}  // namespace berylgauge
