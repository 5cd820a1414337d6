#pragma once

#include <cstdint>

namespace berylgauge {

/// Receives the readiness events of one file descriptor on the event loop's thread.
class IoHandler {
 public:
  virtual ~IoHandler() = default;

  /// `events` is a mask of EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP.
  virtual void OnIo(std::uint32_t events) = 0;
};

}  // namespace berylgauge
