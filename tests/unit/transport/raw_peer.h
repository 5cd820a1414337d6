#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include "transport/unique_fd.h"

namespace berylgauge {

/// HTTP/2 frame types and flags that the scripts of tests use.
inline constexpr std::uint8_t kDataFrame = 0;
inline constexpr std::uint8_t kHeadersFrame = 1;
inline constexpr std::uint8_t kResetFrame = 3;
inline constexpr std::uint8_t kSettingsFrame = 4;
inline constexpr std::uint8_t kGoawayFrame = 7;
inline constexpr std::uint8_t kWindowUpdateFrame = 8;
inline constexpr std::uint8_t kEndStream = 1;
inline constexpr std::uint8_t kEndHeaders = 4;
inline constexpr std::uint32_t kRefusedStreamCode = 7;

inline constexpr std::string_view kClientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Serialises one frame.
std::string Frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream_id, std::string_view payload);

/// Serialises `value` in network byte order.
std::string Uint32(std::uint32_t value);

/// Header block with `:status 200` and, unless it is empty, a content-length.
std::string ResponseHeaderBlock(std::string_view content_length);

/// A blocking connection on which a test speaks bytes of its own choice.
class RawConnection {
 public:
  explicit RawConnection(UniqueFd fd) : m_fd(std::move(fd)) {}

  /// Connects to a port of the loopback address.
  static RawConnection ConnectTo(int port);

  void Write(std::string_view bytes) const;

  /// Reads until the other side closes; false if that takes too long.
  bool ReadUntilClosed() const;

  /// Reads and skips frames until one of `type` arrives and returns its stream id; 0 if the connection ends before.
  std::uint32_t ReadUntilFrame(std::uint8_t type);

  /// As a server: reads the client's preface and sends settings.
  void AcceptHandshake();

  /// Closes at once with RST.
  void Abort();

 private:
  bool ReadExactly(char* data, std::size_t size) const;

  UniqueFd m_fd;
};

/// A TCP listener on the loopback address that runs a script for each connection, one after another.
class RawPeer {
 public:
  using Script = std::function<void(RawConnection&)>;

  explicit RawPeer(Script script);
  ~RawPeer();
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  int port() const { return m_port; }

 private:
  void Run(const Script& script);

  UniqueFd m_listener;
  int m_port = 0;
  std::thread m_thread;
};

/// Reserves a port on which nobody listens, so that connecting to it is refused.
class ClosedPort {
 public:
  ClosedPort();
  int port() const { return m_port; }

 private:
  UniqueFd m_fd;
  int m_port = 0;
};

}  // namespace berylgauge
