#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace berylgauge {

/// Serialised bytes on their way to a socket, with their positions counted from the start of the connection.
class SendBuffer {
 public:
  enum class Status { kDrained, kBlocked, kFailed };

  void Append(const std::uint8_t* data, std::size_t size);

  /// Writes to the non-blocking socket `fd` as much as it takes. On `kFailed` errno tells the reason.
  Status WriteTo(int fd);

  std::size_t pending() const { return m_data.size() - m_offset; }

  /// Position after the last byte appended.
  std::uint64_t appended() const { return m_written + pending(); }

  /// Position after the last byte that the socket took.
  std::uint64_t written() const { return m_written; }

 private:
  std::string m_data;
  std::size_t m_offset = 0;
  std::uint64_t m_written = 0;
};

}  // namespace berylgauge
