#pragma once

#include <absl/functional/any_invocable.h>

#include <cstdint>
#include <memory>
#include <string>

#include "base/failure.h"
#include "transport/event_loop.h"
#include "transport/io_handler.h"
#include "transport/unique_fd.h"

namespace berylgauge {

class SocketAddress;

struct ListenerOptions {
  int backlog = 1024;            ///< connections that wait to be accepted
  int receive_buffer_bytes = 0;  ///< SO_RCVBUF of each connection; 0 leaves it to the operating system
};

/// A listening TCP socket whose connections are accepted on an event loop.
class Listener final : public IoHandler {
 public:
  /// Receives each accepted socket, which is non-blocking and has TCP_NODELAY set.
  using AcceptCallback = absl::AnyInvocable<void(UniqueFd)>;

  /// Binds and listens; connections are accepted after `Start`. May be called on any thread.
  static Result<std::unique_ptr<Listener>> Open(EventLoop& loop, const SocketAddress& address,
                                                const ListenerOptions& options = {});

  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int port() const { return m_port; }

  /// Begins to accept; on the loop's thread.
  void Start(AcceptCallback on_accept);

  /// Stops accepting and closes the socket; on the loop's thread.
  void Stop();

  void OnIo(std::uint32_t events) override;

 private:
  Listener(EventLoop& loop, UniqueFd fd, int port);

  void PauseAccepting();

  EventLoop& m_loop;
  UniqueFd m_fd;
  const int m_port;
  AcceptCallback m_on_accept;
  std::uint64_t m_watch_token = 0;
  EventLoop::TimerId m_resume_timer;
};

}  // namespace berylgauge
