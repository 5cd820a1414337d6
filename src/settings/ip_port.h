#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace berylgauge {

/// A numeric IP address and a TCP port.
struct IpPort {
  std::string address;  ///< IPv4 or IPv6 in canonical form, without brackets
  int port = 0;

  bool operator==(const IpPort&) const = default;

  /// "address:port", with brackets around an IPv6 address.
  std::string ToString() const;

  /// True if two listeners cannot have these addresses at the same time.
  bool CollidesWith(const IpPort& other) const;

  /// True for 0.0.0.0 and ::, which mean all addresses of the host and cannot be connected to.
  bool IsWildcard() const;

  /// Reads "address:port" or "[address]:port" with a port from 1 to 65535.
  static std::optional<IpPort> Parse(std::string_view text);
};

/// Canonical form of a numeric IPv4 or IPv6 address, or nothing if `text` is none (host names are none).
std::optional<std::string> CanonicalIpAddress(std::string_view text);

}  // namespace berylgauge
