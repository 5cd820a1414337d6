#pragma once

#include <cstdint>
#include <string_view>

namespace berylgauge {

/// Writes lines to a descriptor and never waits: what a full pipe does not take is dropped and counted. Not
/// thread-safe.
class LineWriter {
 public:
  explicit LineWriter(int fd) : m_fd(fd) {}

  /// `line` ends with a newline; a longer one than a pipe takes at once (PIPE_BUF) is cut.
  void Write(std::string_view line);

  /// Lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  const int m_fd;
  std::uint64_t m_dropped = 0;
};

}  // namespace berylgauge
