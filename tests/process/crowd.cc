#include "process/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <thread>

namespace berylgauge {
namespace {

/// Longest wait of one call; a listener that reads nothing must not hang the test.
constexpr timeval kSendLimit{.tv_sec = 2};

/// Longest wait for a process to begin to listen.
constexpr std::chrono::seconds kListeningLimit{20};

}  // namespace

Crowd::Crowd(const std::string& address, int connections) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  const auto limit = std::chrono::steady_clock::now() + kListeningLimit;
  while (static_cast<int>(m_open.size() + m_given_up.size()) < connections) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &kSendLimit, sizeof(kSendLimit));
    const bool is_connected = connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0;
    if (!is_connected && m_open.empty() && std::chrono::steady_clock::now() < limit) {
      close(socket);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    (is_connected ? m_open : m_given_up).push_back(socket);
  }
}

Crowd::~Crowd() {
  for (const int socket : m_open) {
    if (socket >= 0) close(socket);
  }
  for (const int socket : m_given_up) close(socket);
}

void Crowd::SendWhole(std::string_view bytes) {
  for (int& socket : m_open) Send(socket, bytes);
}

void Crowd::SendInTurns(std::string_view bytes, std::size_t piece) {
  for (; !bytes.empty(); bytes.remove_prefix(std::min(piece, bytes.size()))) {
    for (int& socket : m_open) Send(socket, bytes.substr(0, piece));
  }
}

void Crowd::Send(int& socket, std::string_view bytes) {
  while (socket >= 0 && !bytes.empty()) {
    const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      m_given_up.push_back(socket);
      socket = -1;
      return;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

}  // namespace berylgauge
