#include "transport/listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/event_log.h"
#include "transport/socket_address.h"

namespace berylgauge {
namespace {

constexpr int kMaxAcceptsPerTurn = 64;

// Without a pause, a process out of descriptors would be woken for the same connection again and again.
constexpr absl::Duration kAcceptPause = absl::Milliseconds(100);

tl::unexpected<Failure> SystemFailure(const std::string& what) {
  return NotRun(FailureCode::kUnavailable, what + ": " + std::strerror(errno), "address");
}

}  // namespace

Result<std::unique_ptr<Listener>> Listener::Open(EventLoop& loop, const SocketAddress& address,
                                                 const ListenerOptions& options) {
  UniqueFd fd(socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) return SystemFailure("socket");
  const int on = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  // Accepted connections inherit it, and those that are not accepted yet have it already.
  if (options.receive_buffer_bytes > 0) {
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &options.receive_buffer_bytes, sizeof(options.receive_buffer_bytes));
  }
  if (bind(fd.get(), address.get(), address.size()) != 0) return SystemFailure("bind " + address.text());
  if (listen(fd.get(), options.backlog) != 0) return SystemFailure("listen " + address.text());
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  if (getsockname(fd.get(), reinterpret_cast<sockaddr*>(&bound), &size) != 0) return SystemFailure("getsockname");
  const int port = bound.ss_family == AF_INET6 ? ntohs(reinterpret_cast<const sockaddr_in6&>(bound).sin6_port)
                                               : ntohs(reinterpret_cast<const sockaddr_in&>(bound).sin_port);
  return std::unique_ptr<Listener>(new Listener(loop, std::move(fd), port));
}

Listener::Listener(EventLoop& loop, UniqueFd fd, int port) : m_loop(loop), m_fd(std::move(fd)), m_port(port) {}

Listener::~Listener() = default;

void Listener::Start(AcceptCallback on_accept) {
  m_on_accept = std::move(on_accept);
  m_watch_token = m_loop.Watch(m_fd.get(), EPOLLIN, this);
}

void Listener::Stop() {
  m_loop.CancelTimer(m_resume_timer);
  if (m_watch_token != 0) m_loop.Unwatch(std::exchange(m_watch_token, 0), m_fd.get());
  m_fd.Reset();
}

void Listener::OnIo(std::uint32_t) {
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    UniqueFd fd(accept4(m_fd.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.valid()) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) PauseAccepting();
      return;
    }
    const int on = 1;
    setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    m_on_accept(std::move(fd));
  }
}

void Listener::PauseAccepting() {
  LogEvent(LogLevel::kError, "accept_paused", {{"reason", std::strerror(errno)}});
  m_loop.ChangeWatch(m_watch_token, m_fd.get(), 0);
  m_resume_timer = m_loop.AddTimer(m_loop.Now() + kAcceptPause, [this] {
    m_resume_timer = {};
    m_loop.ChangeWatch(m_watch_token, m_fd.get(), EPOLLIN);
  });
}

}  // namespace berylgauge
