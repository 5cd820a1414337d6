#include "web/connection_acceptor.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <utility>

#include "base/event_log.h"

namespace berylgauge {
namespace {

/// Pause after a failure to accept that would recur at once, for example when there are no file descriptors.
constexpr int kRetryIntervalMs = 100;

}  // namespace

ConnectionAcceptor::~ConnectionAcceptor() {
  Stop();
  if (m_wake_event >= 0) close(m_wake_event);
}

Result<int> ConnectionAcceptor::Start(const std::string& address, int port, const AcceptorLimits& limits,
                                      OnConnection on_connection) {
  if (m_thread.joinable()) return NotRun(FailureCode::kInternal, "the listener has been started already");
  std::optional<ListenerAddress> bound = ListenerAddress::Parse(address, port);
  if (!bound) return NotRun(FailureCode::kInvalidArgument, "must be an IP address", "address");
  m_listen_socket = socket(bound->get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listen_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bound->get()->sa_family == AF_INET6) setsockopt(m_listen_socket, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof(on));
  // Accepted connections inherit it, and those that are not accepted yet have it already.
  if (limits.receive_buffer_bytes > 0) {
    setsockopt(m_listen_socket, SOL_SOCKET, SO_RCVBUF, &limits.receive_buffer_bytes,
               sizeof(limits.receive_buffer_bytes));
  }
  if (m_wake_event < 0) m_wake_event = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  const bool is_listening = m_wake_event >= 0 && bind(m_listen_socket, bound->get(), bound->size) == 0 &&
                            listen(m_listen_socket, limits.backlog) == 0 &&
                            getsockname(m_listen_socket, bound->get(), &bound->size) == 0;
  if (!is_listening) {
    const std::string reason = std::strerror(errno);
    if (m_listen_socket >= 0) close(std::exchange(m_listen_socket, -1));
    return NotRun(FailureCode::kUnavailable,
                  "cannot listen on " + address + " port " + std::to_string(port) + ": " + reason, "address");
  }
  m_limits = limits;
  m_on_connection = std::move(on_connection);
  m_stopping = false;
  m_thread = std::thread([this] { Run(); });
  return bound->Port();
}

void ConnectionAcceptor::Release(const std::string& peer) {
  bool was_full = false;
  {
    const std::lock_guard lock(m_mutex);
    was_full = m_connections >= m_limits.connections;
    --m_connections;
    const auto it = m_connections_by_peer.find(peer);
    if (it != m_connections_by_peer.end() && --it->second <= 0) m_connections_by_peer.erase(it);
  }
  if (was_full) Wake();
}

void ConnectionAcceptor::Stop() {
  if (!m_thread.joinable()) return;
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  Wake();
  m_thread.join();
  close(std::exchange(m_listen_socket, -1));
}

void ConnectionAcceptor::Run() {
  while (true) {
    const bool is_full = IsFull();
    std::array<pollfd, 2> entries = {{{.fd = m_wake_event, .events = POLLIN, .revents = 0},
                                      {.fd = is_full ? -1 : m_listen_socket, .events = POLLIN, .revents = 0}}};
    poll(entries.data(), entries.size(), -1);
    std::uint64_t ignored = 0;
    // Clears the event; the result does not matter because the state is read below.
    (void)!read(m_wake_event, &ignored, sizeof(ignored));
    // Read before accepting, so that whoever connected before the stop is accepted.
    bool is_stopping = false;
    {
      const std::lock_guard lock(m_mutex);
      is_stopping = m_stopping;
    }
    AcceptWaiting();
    if (is_stopping) return;
  }
}

void ConnectionAcceptor::AcceptWaiting() {
  while (!IsFull()) {
    ListenerAddress peer;
    const int socket = accept4(m_listen_socket, peer.get(), &peer.size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (errno == EINTR || errno == ECONNABORTED) continue;
      LogEvent(LogLevel::kWarning, "web_accept_failed", {{"error", std::strerror(errno)}});
      pollfd wake{.fd = m_wake_event, .events = POLLIN, .revents = 0};
      poll(&wake, 1, kRetryIntervalMs);
      return;
    }
    const std::string address = IpAddressOf(peer.get());
    if (!Admit(address)) {
      close(socket);
    } else if (!m_on_connection(socket, peer, IsOverLimit())) {
      Release(address);
    }
  }
}

bool ConnectionAcceptor::Admit(const std::string& peer) {
  const std::lock_guard lock(m_mutex);
  int& of_peer = m_connections_by_peer[peer];
  if (m_limits.connections_per_peer > 0 && of_peer >= m_limits.connections_per_peer) return false;
  ++of_peer;
  ++m_connections;
  return true;
}

bool ConnectionAcceptor::IsFull() const {
  const std::lock_guard lock(m_mutex);
  return m_connections >= m_limits.connections + m_limits.replacements;
}

bool ConnectionAcceptor::IsOverLimit() const {
  const std::lock_guard lock(m_mutex);
  return m_connections > m_limits.connections;
}

void ConnectionAcceptor::Wake() const {
  const std::uint64_t one = 1;
  // Fails only if the event is set already.
  (void)!write(m_wake_event, &one, sizeof(one));
}

}  // namespace berylgauge
