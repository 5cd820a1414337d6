#include "settings/ip_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <charconv>

namespace berylgauge {
namespace {

constexpr int kMaxPort = 65535;

std::optional<int> ParsePort(std::string_view text) {
  int port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size() || port < 1 || port > kMaxPort) return std::nullopt;
  return port;
}

bool IsIpv6(const std::string& address) { return address.find(':') != std::string::npos; }

}  // namespace

std::optional<std::string> CanonicalIpAddress(std::string_view text) {
  // inet_pton reads up to the first NUL, so that a longer text would be accepted.
  if (text.find('\0') != std::string_view::npos) return std::nullopt;
  const std::string terminated(text);
  for (const int family : {AF_INET, AF_INET6}) {
    in6_addr binary{};
    if (inet_pton(family, terminated.c_str(), &binary) != 1) continue;
    std::array<char, INET6_ADDRSTRLEN> canonical{};
    if (inet_ntop(family, &binary, canonical.data(), canonical.size()) != nullptr) return canonical.data();
  }
  return std::nullopt;
}

std::string IpPort::ToString() const {
  return (IsIpv6(address) ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

bool IpPort::IsWildcard() const { return address == "0.0.0.0" || address == "::"; }

bool IpPort::CollidesWith(const IpPort& other) const {
  if (port != other.port) return false;
  if (address == other.address) return true;
  // "::" covers IPv4 as well unless the system is told otherwise.
  if (address == "::" || other.address == "::") return true;
  return (IsWildcard() || other.IsWildcard()) && IsIpv6(address) == IsIpv6(other.address);
}

std::optional<IpPort> IpPort::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::optional<int> port = ParsePort(text.substr(colon + 1));
  const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (has_brackets) host = host.substr(1, host.size() - 2);
  const std::optional<std::string> address = CanonicalIpAddress(host);
  if (!port || !address || has_brackets != IsIpv6(*address)) return std::nullopt;
  return IpPort{.address = *address, .port = *port};
}

}  // namespace berylgauge
