#include "process/tcp_relay.h"

#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

namespace berylgauge {
namespace {

/// Longest time until a change of the faults takes effect.
constexpr int kPollMillis = 5;

sockaddr_in SocketAddress(const std::string& address, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

}  // namespace

TcpRelay::TcpRelay(const std::string& address, int port, std::string server_address, int server_port)
    : m_server_address(std::move(server_address)), m_server_port(server_port) {
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in own = SocketAddress(address, port);
  if (bind(m_socket, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0 || listen(m_socket, 64) != 0) {
    throw std::runtime_error("the relay cannot listen on " + address);
  }
  m_thread = std::thread([this] { Run(); });
}

TcpRelay::~TcpRelay() {
  m_stopping = true;
  m_thread.join();
  for (const Link& link : m_links) {
    close(link.to_server.from);
    close(link.to_server.to);
  }
  close(m_socket);
}

void TcpRelay::Cut(bool to_server, bool to_client) {
  m_hold_to_server = to_server;
  m_hold_to_client = to_client;
}

void TcpRelay::Run() {
  while (!m_stopping) {
    std::vector<pollfd> ready = {{.fd = m_socket, .events = POLLIN, .revents = 0}};
    const bool hold_to_server = m_hold_to_server;
    const bool hold_to_client = m_hold_to_client;
    for (const Link& link : m_links) {
      const bool read_client = !hold_to_server && !link.to_server.ended;
      const bool read_server = !hold_to_client && !link.to_client.ended;
      ready.push_back({.fd = read_client ? link.to_server.from : -1, .events = POLLIN, .revents = 0});
      ready.push_back({.fd = read_server ? link.to_client.from : -1, .events = POLLIN, .revents = 0});
    }
    poll(ready.data(), ready.size(), kPollMillis);
    std::size_t index = 1;
    for (auto link = m_links.begin(); link != m_links.end(); index += 2) {
      const bool open = Move(link->to_server, hold_to_server, ready[index].revents != 0) &&
                        Move(link->to_client, hold_to_client, ready[index + 1].revents != 0);
      if (open && !(link->to_server.ended && link->to_client.ended)) {
        ++link;
        continue;
      }
      close(link->to_server.from);
      close(link->to_server.to);
      link = m_links.erase(link);
    }
    if (ready[0].revents != 0) Accept();
  }
}

void TcpRelay::Accept() {
  const int client = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
  if (client < 0) return;
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(m_server_address, m_server_port);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(client);
    close(server);
    return;
  }
  m_links.push_back({.to_server = {.from = client, .to = server, .chunks = {}},
                     .to_client = {.from = server, .to = client, .chunks = {}}});
}

bool TcpRelay::Move(Flow& flow, bool held, bool readable) {
  if (readable) {
    char buffer[65536];
    const ssize_t count = recv(flow.from, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count < 0) return false;
    // An empty chunk stands for the end of the stream, which must not overtake the bytes before it.
    flow.ended = count == 0;
    flow.chunks.emplace_back(absl::Now() + absl::Milliseconds(m_delay_ms.load()), std::string(buffer, count));
  }
  while (!held && !flow.chunks.empty() && flow.chunks.front().first <= absl::Now()) {
    std::string& chunk = flow.chunks.front().second;
    if (chunk.empty()) {
      shutdown(flow.to, SHUT_WR);
    } else {
      const ssize_t sent = send(flow.to, chunk.data(), chunk.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent < 0) return errno == EAGAIN;
      if (static_cast<std::size_t>(sent) < chunk.size()) {
        chunk.erase(0, static_cast<std::size_t>(sent));
        return true;
      }
    }
    flow.chunks.pop_front();
  }
  return true;
}

}  // namespace berylgauge
