#include "support/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace berylgauge {
namespace {

/// True if `request` contains a whole header and the body that its content-length announces.
bool IsWhole(const std::string& request) {
  const std::size_t header_end = request.find("\r\n\r\n");
  if (header_end == std::string::npos) return false;
  constexpr std::string_view kName = "Content-Length: ";
  const std::size_t length_at = request.find(kName);
  if (length_at == std::string::npos || length_at > header_end) return true;
  const std::size_t length = std::strtoul(request.c_str() + length_at + kName.size(), nullptr, 10);
  return request.size() >= header_end + 4 + length;
}

}  // namespace

RawServer::RawServer(std::string answer) : m_answer(std::move(answer)) {
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(m_socket, generic, size) != 0 || listen(m_socket, 64) != 0 || getsockname(m_socket, generic, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  m_port = ntohs(address.sin_port);
  m_stop_fd = eventfd(0, EFD_CLOEXEC);
  m_thread = std::thread([this] { Run(); });
}

RawServer::~RawServer() {
  eventfd_write(m_stop_fd, 1);
  m_thread.join();
  close(m_socket);
  close(m_stop_fd);
}

std::vector<std::string> RawServer::Requests() const {
  const std::lock_guard lock(m_mutex);
  return m_requests;
}

void RawServer::Run() {
  while (true) {
    pollfd ready[] = {{.fd = m_socket, .events = POLLIN, .revents = 0},
                      {.fd = m_stop_fd, .events = POLLIN, .revents = 0}};
    poll(ready, 2, -1);
    if (ready[1].revents != 0) return;
    const int connection = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) continue;
    Serve(connection);
    close(connection);
  }
}

void RawServer::Serve(int connection) {
  std::string request;
  char buffer[4096];
  while (!IsWhole(request)) {
    pollfd ready[] = {{.fd = connection, .events = POLLIN, .revents = 0},
                      {.fd = m_stop_fd, .events = POLLIN, .revents = 0}};
    poll(ready, 2, -1);
    if (ready[1].revents != 0) return;
    const ssize_t count = read(connection, buffer, sizeof(buffer));
    if (count <= 0) return;
    request.append(buffer, static_cast<std::size_t>(count));
  }
  {
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(request);
  }
  std::size_t sent = 0;
  while (sent < m_answer.size()) {
    const ssize_t count = send(connection, m_answer.data() + sent, m_answer.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return;
    sent += static_cast<std::size_t>(count);
  }
  shutdown(connection, SHUT_WR);
}

}  // namespace berylgauge
