#pragma once

#include <cstdint>
#include <vector>

namespace berylgauge {

/// Identifies a connection among all listeners that share a `RequestMemory`; never used twice.
using ConnectionId = std::uint64_t;

/// A listener that closes connections on behalf of `RequestMemory`.
class ConnectionCloser {
 public:
  virtual ~ConnectionCloser() = default;

  /// Frees the unfinished bodies of these connections before it returns and disconnects their peers. Connections that
  /// are closed already are ignored. Called by any thread.
  virtual void CloseForMemory(const std::vector<ConnectionId>& connections) = 0;
};

}  // namespace berylgauge
