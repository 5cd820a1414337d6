#include "raw_client.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace berylgauge {
namespace {

constexpr int kWaitLimitS = 20;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

bool RawResponse::HasHeader(std::string_view line_in_lower_case) const {
  return head.find("\r\n" + std::string(line_in_lower_case) + "\r\n") != std::string::npos;
}

RawClient::RawClient(int port, const std::string& source) {
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{.tv_sec = kWaitLimitS};
  setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in own = Address(source, 0);
  const sockaddr_in peer = Address("127.0.0.1", port);
  if (bind(m_socket, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0 ||
      connect(m_socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) != 0) {
    Close();
  }
}

RawClient::~RawClient() { Close(); }

RawClient::RawClient(RawClient&& other) noexcept
    : m_socket(std::exchange(other.m_socket, -1)), m_buffer(std::move(other.m_buffer)) {}

bool RawClient::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool RawClient::Receive() {
  std::array<char, 65536> chunk{};
  const ssize_t received = recv(m_socket, chunk.data(), chunk.size(), 0);
  if (received <= 0) return false;
  m_buffer.append(chunk.data(), static_cast<std::size_t>(received));
  return true;
}

std::optional<RawResponse> RawClient::Read(bool has_body) {
  std::size_t head_end = 0;
  while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive()) return std::nullopt;
  }
  RawResponse response;
  response.head = absl::AsciiStrToLower(m_buffer.substr(0, head_end + 4));
  m_buffer.erase(0, head_end + 4);
  if (response.head.size() < 12) return std::nullopt;
  response.status = std::atoi(response.head.c_str() + 9);
  const std::string length_name = "\r\ncontent-length: ";
  const std::size_t at = response.head.find(length_name);
  const std::size_t length = at == std::string::npos || !has_body
                                 ? 0
                                 : std::strtoul(response.head.c_str() + at + length_name.size(), nullptr, 10);
  while (m_buffer.size() < length) {
    if (!Receive()) return std::nullopt;
  }
  response.body = m_buffer.substr(0, length);
  m_buffer.erase(0, length);
  return response;
}

bool RawClient::ReadsEnd() {
  if (!m_buffer.empty()) return false;
  if (!HasInput(std::chrono::seconds(kWaitLimitS))) return false;
  return !Receive();
}

bool RawClient::HasInput(std::chrono::milliseconds limit) const {
  pollfd poll_entry{.fd = m_socket, .events = POLLIN, .revents = 0};
  return poll(&poll_entry, 1, static_cast<int>(limit.count())) > 0;
}

void RawClient::CloseForSending() { shutdown(m_socket, SHUT_WR); }

void RawClient::Reset() {
  const linger no_wait{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &no_wait, sizeof(no_wait));
  Close();
}

void RawClient::Close() {
  if (m_socket >= 0) close(m_socket);
  m_socket = -1;
}

}  // namespace berylgauge
