#include "transport/send_buffer.h"

#include <sys/socket.h>

#include <cerrno>

namespace berylgauge {

void SendBuffer::Append(const std::uint8_t* data, std::size_t size) {
  m_data.append(reinterpret_cast<const char*>(data), size);
}

SendBuffer::Status SendBuffer::WriteTo(int fd) {
  while (pending() > 0) {
    const ssize_t count = send(fd, m_data.data() + m_offset, pending(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? Status::kBlocked : Status::kFailed;
    }
    m_offset += static_cast<std::size_t>(count);
    m_written += static_cast<std::uint64_t>(count);
  }
  m_data.clear();
  m_offset = 0;
  return Status::kDrained;
}

}  // namespace berylgauge
