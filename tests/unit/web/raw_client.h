#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace berylgauge {

/// A whole response as a raw client received it.
struct RawResponse {
  int status = 0;
  std::string head;  ///< status line and headers, in lower case
  std::string body;

  bool HasHeader(std::string_view line_in_lower_case) const;
};

/// A TCP connection to 127.0.0.1 that sends exactly the bytes of a test. Each wait is limited to 20 s.
class RawClient {
 public:
  /// `source` is the client's own address, so that a test can have several peers.
  explicit RawClient(int port, const std::string& source = "127.0.0.1");
  ~RawClient();
  RawClient(RawClient&& other) noexcept;
  RawClient& operator=(RawClient&&) = delete;
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool is_connected() const { return m_socket >= 0; }

  /// Returns false if the peer has closed the connection.
  bool Send(std::string_view bytes);

  /// Reads one response, with body unless `has_body` is false; nothing if the connection ends before.
  std::optional<RawResponse> Read(bool has_body = true);

  /// True if the peer closes the connection, cleanly or not, without sending anything else.
  bool ReadsEnd();

  /// True if there is input or the end within `limit`.
  bool HasInput(std::chrono::milliseconds limit) const;

  /// Bytes that were received but not returned yet.
  const std::string& rest() const { return m_buffer; }

  void CloseForSending();
  /// Closes with a reset instead of a clean end.
  void Reset();
  void Close();

 private:
  bool Receive();

  int m_socket = -1;
  std::string m_buffer;
};

}  // namespace berylgauge
