#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace berylgauge {
namespace {

constexpr int kMaxPort = 65535;

}  // namespace

Result<SocketAddress> SocketAddress::Parse(const std::string& address, int port) {
  if (port < 0 || port > kMaxPort) {
    return NotRun(FailureCode::kInvalidArgument, "port " + std::to_string(port) + " is not in 0..65535", "port");
  }
  SocketAddress result;
  auto* const v4 = reinterpret_cast<sockaddr_in*>(&result.m_storage);
  if (inet_pton(AF_INET, address.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(static_cast<std::uint16_t>(port));
    result.m_size = sizeof(sockaddr_in);
    result.m_text = address + ":" + std::to_string(port);
    return result;
  }
  auto* const v6 = reinterpret_cast<sockaddr_in6*>(&result.m_storage);
  if (inet_pton(AF_INET6, address.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<std::uint16_t>(port));
    result.m_size = sizeof(sockaddr_in6);
    result.m_text = "[" + address + "]:" + std::to_string(port);
    return result;
  }
  return NotRun(FailureCode::kInvalidArgument, "'" + address + "' is not an IP address", "address");
}

}  // namespace berylgauge
