#include "base/line_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <utility>

namespace berylgauge {

void LineWriter::Write(std::string_view line) {
  pollfd ready{.fd = m_fd, .events = POLLOUT, .revents = 0};
  // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
  const bool writable = poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
  const std::string_view part = line.substr(0, PIPE_BUF);
  if (!writable || write(m_fd, part.data(), part.size()) < 0) ++m_dropped;
}

std::uint64_t LineWriter::TakeDropped() { return std::exchange(m_dropped, 0); }

}  // namespace berylgauge
