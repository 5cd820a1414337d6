#pragma once

#include <functional>

namespace berylgauge {

/// On which connections a request may be sent. A request that finds none fails with `kRefused` and has not run.
struct ConnectionRule {
  bool may_open = true;  ///< whether one may be opened for the request
  /// Decides by the connection's local port, and by whether it was opened for the request, just before the request is
  /// sent. Empty allows all. It must not end calls or begin others.
  std::function<bool(int local_port, bool is_new)> may_use = {};
};

}  // namespace berylgauge
