#include "process/flood.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <thread>

namespace berylgauge {
namespace {

constexpr std::chrono::milliseconds kPause{5};
constexpr std::uint32_t kFirstSource = (127U << 24U) + (1U << 8U) + 1;  // 127.0.1.1

}  // namespace

Flood::Flood(const std::string& address, const FloodOptions& options) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  for (int i = 0; i < options.connections; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0) throw std::runtime_error("no socket for a connection of the flood");
    m_sockets.push_back(socket);
    sockaddr_in source{};
    source.sin_family = AF_INET;
    source.sin_addr.s_addr = htonl(kFirstSource + static_cast<std::uint32_t>(i % options.sources));
    const bool is_bound = bind(socket, reinterpret_cast<const sockaddr*>(&source), sizeof(source)) == 0;
    const bool is_begun = is_bound && (connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0 ||
                                       errno == EINPROGRESS);
    if (!is_begun) throw std::runtime_error("cannot connect to " + address);
  }
}

Flood::~Flood() {
  for (const int socket : m_sockets) close(socket);
}

void Flood::Send(std::string_view bytes, std::chrono::milliseconds limit) {
  std::vector<std::string_view> left(m_sockets.size(), bytes);
  const auto end = std::chrono::steady_clock::now() + limit;
  for (bool is_done = false; !is_done && std::chrono::steady_clock::now() < end;) {
    is_done = true;
    for (std::size_t i = 0; i < m_sockets.size(); ++i) {
      while (!left[i].empty()) {
        const ssize_t sent = send(m_sockets[i], left[i].data(), left[i].size(), MSG_NOSIGNAL);
        if (sent <= 0) break;
        left[i].remove_prefix(static_cast<std::size_t>(sent));
      }
      const bool is_closed = !left[i].empty() && errno != EAGAIN && errno != ENOTCONN;
      if (is_closed) left[i] = {};
      if (!left[i].empty()) is_done = false;
    }
    if (!is_done) std::this_thread::sleep_for(kPause);
  }
}

}  // namespace berylgauge
