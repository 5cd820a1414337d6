#include "clients/async_http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>

#include <utility>
#include <vector>

#include "clients/http_request_check.h"
#include "transport/io_handler.h"

namespace berylgauge {

struct AsyncHttpClient::Call {
  HttpRequest request;
  std::string body;
  UrlParts url;
  absl::Duration timeout;
  Callback callback;
  CurlHandle handle;
  std::unique_ptr<HttpExchange> exchange;
};

/// Passes the readiness of one socket on to libcurl.
class AsyncHttpClient::SocketWatch : public IoHandler {
 public:
  SocketWatch(AsyncHttpClient& client, int socket) : m_client(client), m_socket(socket) {}
  ~SocketWatch() override { m_client.m_loop.Unwatch(m_token, m_socket); }

  void Set(int what) {
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0) events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0) events |= EPOLLOUT;
    if (m_token == 0) {
      m_token = m_client.m_loop.Watch(m_socket, events, this);
    } else if (events != m_events) {
      m_client.m_loop.ChangeWatch(m_token, m_socket, events);
    }
    m_events = events;
  }

  void OnIo(std::uint32_t events) override {
    int mask = 0;
    if ((events & EPOLLIN) != 0) mask |= CURL_CSELECT_IN;
    if ((events & EPOLLOUT) != 0) mask |= CURL_CSELECT_OUT;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) mask |= CURL_CSELECT_ERR;
    m_client.Act(m_socket, mask);  // may destroy this object
  }

 private:
  AsyncHttpClient& m_client;
  const int m_socket;
  std::uint64_t m_token = 0;
  std::uint32_t m_events = 0;
};

AsyncHttpClient::AsyncHttpClient(EventLoop& loop, const AsyncHttpClientOptions& options)
    : m_loop(loop),
      m_options{.max_body_bytes = options.max_body_bytes,
                .max_header_bytes = options.max_header_bytes,
                .connect_timeout = options.connect_timeout},
      m_multi(curl_multi_init()),
      m_alive(std::make_shared<bool>(true)) {
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &AsyncHttpClient::OnSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &AsyncHttpClient::OnTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.max_connections_per_host));
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.max_idle_connections));
}

AsyncHttpClient::~AsyncHttpClient() {
  *m_alive = false;
  for (auto& [handle, call] : m_calls) {
    curl_multi_remove_handle(m_multi, handle);
    call->handle.reset();
  }
  m_calls.clear();
  curl_multi_cleanup(m_multi);
  m_loop.CancelTimer(m_timer);
  for (SocketWatch* watch : m_watches) delete watch;
}

void AsyncHttpClient::Send(HttpRequest request, std::string body, absl::Duration timeout, Callback callback) {
  auto call = std::make_unique<Call>();
  call->request = std::move(request);
  call->body = std::move(body);
  call->request.body = call->body;
  call->timeout = timeout;
  Result<void> checked = CheckRequest(call->request);
  if (!checked) return Fail(std::move(callback), std::move(checked.error()));
  Result<UrlParts> url = SplitUrl(call->request.url);
  if (!url) return Fail(std::move(callback), std::move(url.error()));
  call->url = std::move(*url);
  call->callback = std::move(callback);
  call->handle.reset(curl_easy_init());
  call->exchange = std::make_unique<HttpExchange>(call->request, m_options);
  void* handle = call->handle.get();
  const bool added = handle != nullptr &&
                     call->exchange->Prepare(handle, call->url.origin, call->url.target, timeout) &&
                     curl_multi_add_handle(m_multi, handle) == CURLM_OK;
  if (!added) {
    return Fail(std::move(call->callback),
                Failure{.code = FailureCode::kInternal, .message = "libcurl rejected the request", .field = {}});
  }
  m_calls.emplace(handle, std::move(call));
}

void AsyncHttpClient::Fail(Callback callback, Failure failure) {
  m_loop.Defer([callback = std::move(callback), failure = std::move(failure)]() mutable {
    callback(tl::make_unexpected(std::move(failure)));
  });
}

int AsyncHttpClient::OnSocket(void*, int socket, int what, void* self, void* watch) {
  auto* client = static_cast<AsyncHttpClient*>(self);
  auto* present = static_cast<SocketWatch*>(watch);
  if (what == CURL_POLL_REMOVE) {
    if (present != nullptr) {
      client->m_watches.erase(present);
      curl_multi_assign(client->m_multi, socket, nullptr);
      delete present;
    }
    return 0;
  }
  if (present == nullptr) {
    present = new SocketWatch(*client, socket);
    client->m_watches.insert(present);
    curl_multi_assign(client->m_multi, socket, present);
  }
  present->Set(what);
  return 0;
}

int AsyncHttpClient::OnTimer(void*, long timeout_ms, void* self) {
  auto* client = static_cast<AsyncHttpClient*>(self);
  client->m_loop.CancelTimer(client->m_timer);
  if (timeout_ms < 0) return 0;
  if (timeout_ms == 0) {
    // A deferred call saves a turn of the loop; libcurl forbids calling it from here.
    client->m_loop.Defer([client, alive = client->m_alive] {
      if (*alive) client->Act(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }
  const MonotonicTime deadline = client->m_loop.Now() + absl::Milliseconds(timeout_ms);
  client->m_timer = client->m_loop.AddTimer(deadline, [client] { client->Act(CURL_SOCKET_TIMEOUT, 0); });
  return 0;
}

void AsyncHttpClient::Act(int socket, int events) {
  int running = 0;
  curl_multi_socket_action(m_multi, socket, events, &running);
  TakeFinished();
}

void AsyncHttpClient::TakeFinished() {
  std::vector<std::pair<std::unique_ptr<Call>, int>> finished;
  int remaining = 0;
  while (const CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
    if (message->msg != CURLMSG_DONE) continue;
    void* handle = message->easy_handle;
    const int code = message->data.result;
    curl_multi_remove_handle(m_multi, handle);
    const auto found = m_calls.find(handle);
    if (found == m_calls.end()) continue;
    finished.emplace_back(std::move(found->second), code);
    m_calls.erase(found);
  }
  const std::shared_ptr<bool> alive = m_alive;
  for (auto& [call, code] : finished) {
    Result<HttpResponse> answer = call->exchange->Finish(call->handle.get(), code, call->url.origin, call->timeout);
    call->callback(std::move(answer));
    if (!*alive) return;
  }
}

}  // namespace berylgauge
