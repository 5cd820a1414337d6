#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>

#include "base/failure.h"
#include "clients/curl_handle_pool.h"
#include "clients/http_exchange.h"
#include "clients/http_message.h"
#include "transport/event_loop.h"

namespace berylgauge {

struct AsyncHttpClientOptions {
  std::size_t max_body_bytes = std::size_t{8} << 20;
  std::size_t max_header_bytes = std::size_t{64} << 10;
  /// Upper bound for establishing a connection, so that a host that is down is reported while there is time to retry.
  absl::Duration connect_timeout = absl::Milliseconds(700);
  /// Further calls wait for a free connection. New connections to workers are priced, and a worker takes 64.
  int max_connections_per_host = 8;
  int max_idle_connections = 32;
};

/// Client for HTTP/1.1 without TLS whose calls run on an event loop and share its connections. Used on the loop's
/// thread only; the loop must outlive it.
///
/// It sends each request at most once. A connection on which a call timed out is closed.
class AsyncHttpClient {
 public:
  /// Called once, on the loop's thread, never from within `Send`. Verdicts are those of `HttpClient::Call`.
  using Callback = absl::AnyInvocable<void(Result<HttpResponse>)>;

  explicit AsyncHttpClient(EventLoop& loop, const AsyncHttpClientOptions& options = {});

  /// Ends the calls under way without calling back.
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  EventLoop& loop() { return m_loop; }

  /// `request.body` is ignored in favour of `body`, which is kept until the end of the call.
  void Send(HttpRequest request, std::string body, absl::Duration timeout, Callback callback);

 private:
  struct Call;
  class SocketWatch;

  static int OnSocket(void* curl, int socket, int what, void* self, void* watch);
  static int OnTimer(void* multi, long timeout_ms, void* self);

  void Act(int socket, int events);
  void TakeFinished();
  void Fail(Callback callback, Failure failure);

  EventLoop& m_loop;
  const HttpExchangeOptions m_options;
  void* m_multi;
  EventLoop::TimerId m_timer;
  absl::flat_hash_map<void*, std::unique_ptr<Call>> m_calls;
  absl::flat_hash_set<SocketWatch*> m_watches;
  std::shared_ptr<bool> m_alive;  ///< false once destroyed; deferred tasks look at it
};

}  // namespace berylgauge
