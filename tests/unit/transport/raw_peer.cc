#include "raw_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace berylgauge {
namespace {

constexpr int kReadTimeoutSeconds = 30;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

UniqueFd BindLoopback() {
  UniqueFd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(0);
  if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    throw std::runtime_error("bind failed");
  }
  return fd;
}

void LimitReads(int fd) {
  const timeval timeout{.tv_sec = kReadTimeoutSeconds, .tv_usec = 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

}  // namespace

std::string Uint32(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
  return bytes;
}

std::string Frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream_id, std::string_view payload) {
  std::string frame = Uint32(static_cast<std::uint32_t>(payload.size())).substr(1);
  frame += static_cast<char>(type);
  frame += static_cast<char>(flags);
  frame += Uint32(stream_id);
  frame += payload;
  return frame;
}

std::string ResponseHeaderBlock(std::string_view content_length) {
  std::string block = "\x88";  // indexed field ":status: 200"
  if (!content_length.empty()) {
    block += "\x0f\x0d";  // literal without indexing, name at index 28, "content-length"
    block += static_cast<char>(content_length.size());
    block += content_length;
  }
  return block;
}

RawConnection RawConnection::ConnectTo(int port) {
  UniqueFd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  LimitReads(fd.get());
  const sockaddr_in address = Loopback(port);
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    throw std::runtime_error("connect failed");
  }
  return RawConnection(std::move(fd));
}

void RawConnection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t count = send(m_fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) return;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

bool RawConnection::ReadUntilClosed() const {
  std::array<char, 4096> buffer;
  for (;;) {
    const ssize_t count = recv(m_fd.get(), buffer.data(), buffer.size(), 0);
    if (count == 0) return true;
    if (count < 0) return errno == ECONNRESET;
  }
}

bool RawConnection::ReadExactly(char* data, std::size_t size) const {
  return recv(m_fd.get(), data, size, MSG_WAITALL) == static_cast<ssize_t>(size);
}

std::uint32_t RawConnection::ReadUntilFrame(std::uint8_t type) {
  for (;;) {
    std::array<char, 9> header;
    if (!ReadExactly(header.data(), header.size())) return 0;
    const auto byte = [&](int i) { return static_cast<std::uint32_t>(static_cast<std::uint8_t>(header[i])); };
    std::string payload((byte(0) << 16U) | (byte(1) << 8U) | byte(2), '\0');
    if (!payload.empty() && !ReadExactly(payload.data(), payload.size())) return 0;
    if (byte(3) == type) return (byte(5) << 24U) | (byte(6) << 16U) | (byte(7) << 8U) | byte(8);
  }
}

void RawConnection::AcceptHandshake() {
  std::string preface(kClientPreface.size(), '\0');
  ReadExactly(preface.data(), preface.size());
  Write(Frame(kSettingsFrame, 0, 0, {}));
}

void RawConnection::Abort() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  m_fd.Reset();
}

RawPeer::RawPeer(Script script) : m_listener(BindLoopback()) {
  listen(m_listener.get(), SOMAXCONN);
  m_port = PortOf(m_listener.get());
  m_thread = std::thread([this, script = std::move(script)] { Run(script); });
}

RawPeer::~RawPeer() {
  shutdown(m_listener.get(), SHUT_RDWR);
  m_thread.join();
}

void RawPeer::Run(const Script& script) {
  for (;;) {
    UniqueFd fd(accept(m_listener.get(), nullptr, nullptr));
    if (!fd.valid()) return;
    LimitReads(fd.get());
    RawConnection connection(std::move(fd));
    script(connection);
  }
}

ClosedPort::ClosedPort() : m_fd(BindLoopback()), m_port(PortOf(m_fd.get())) {}

}  // namespace berylgauge
