#include "clients/http_client.h"

#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdlib>

#include "support/raw_server.h"
#include "support/standin.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(20);

struct InvalidRequest {
  const char* name;
  HttpRequest request;
  const char* field;
};

// Guards against requests with injected lines and against ones that are sent although they are invalid.
TEST_CASE("invalid requests are not sent", "[http]") {
  RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  const std::string url = "http://" + server.Address();
  const std::vector<InvalidRequest> cases = {
      {"method with a blank", {.method = "GET /x", .url = url}, "method"},
      {"empty method", {.method = "", .url = url}, "method"},
      {"HEAD with a body", {.method = "HEAD", .url = url, .body = "x"}, "body"},
      {"other scheme", {.method = "GET", .url = "file:///dev/null"}, "url"},
      {"TLS", {.method = "GET", .url = "https://127.0.0.1/"}, "url"},
      {"no host", {.method = "GET", .url = "http://"}, "url"},
      {"user in the URL", {.method = "GET", .url = "http://a@127.0.0.1/"}, "url"},
      {"blank in the path", {.method = "GET", .url = url + "/a b"}, "url"},
      {"line break in the path", {.method = "GET", .url = url + "/a\r\nb: c"}, "url"},
      {"fragment", {.method = "GET", .url = url + "/a#b"}, "url"},
      {"line break in a header", {.method = "GET", .url = url, .headers = {{"a", "b\r\nc: d"}}}, "a"},
      {"blank in a header name", {.method = "GET", .url = url, .headers = {{"a b", "c"}}}, "a b"},
      {"empty header name", {.method = "GET", .url = url, .headers = {{"", "c"}}}, ""},
      {"content-length", {.method = "GET", .url = url, .headers = {{"Content-Length", "7"}}}, "Content-Length"},
      {"chunks", {.method = "GET", .url = url, .headers = {{"transfer-encoding", "chunked"}}}, "transfer-encoding"},
      {"connection", {.method = "GET", .url = url, .headers = {{"connection", "close"}}}, "connection"},
  };
  HttpClient http;
  for (const InvalidRequest& test : cases) {
    INFO(test.name);
    const auto result = http.Call(test.request, kTimeout);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().code == FailureCode::kInvalidArgument);
    CHECK(result.error().verdict == Verdict::kNotRun);
    CHECK(result.error().field == test.field);
  }
  CHECK(server.Requests().empty());
}

struct RawAnswer {
  const char* name;
  std::string answer;
  FailureCode code;
};

// Guards against answers that are reported as whole although a part is missing or cannot be trusted, and against a
// verdict `not run` after the request was sent.
TEST_CASE("incomplete and malformed answers are failures with an unknown effect", "[http]") {
  const auto test = GENERATE(values<RawAnswer>({
      {"no byte", "", FailureCode::kUnavailable},
      {"not HTTP", "hello\r\n\r\n", FailureCode::kCorrupt},
      {"part of the status line", "HTTP/1.", FailureCode::kUnavailable},
      {"part of the header", "HTTP/1.1 200 OK\r\nContent-Le", FailureCode::kCorrupt},
      {"header without its end", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", FailureCode::kCorrupt},
      {"interim answer only", "HTTP/1.1 100 Continue\r\n\r\n", FailureCode::kUnavailable},
      {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd", FailureCode::kCorrupt},
      {"body missing", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", FailureCode::kCorrupt},
      {"no length", "HTTP/1.1 200 OK\r\n\r\nabcd", FailureCode::kCorrupt},
      {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nabcd", FailureCode::kCorrupt},
      {"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd", FailureCode::kCorrupt},
      {"last chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
       FailureCode::kCorrupt},
      {"part of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", FailureCode::kCorrupt},
      {"malformed chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab", FailureCode::kUnavailable},
      {"header line without a colon", "HTTP/1.1 200 OK\r\nabc\r\nContent-Length: 0\r\n\r\n", FailureCode::kCorrupt},
      {"folded header line", "HTTP/1.1 200 OK\r\na: b\r\n c\r\nContent-Length: 0\r\n\r\n", FailureCode::kCorrupt},
      {"large header", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\na: " + std::string(5000, 'x') + "\r\n\r\n",
       FailureCode::kCorrupt},
      {"large body", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'), FailureCode::kCorrupt},
      {"large chunked body",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n",
       FailureCode::kCorrupt},
  }));
  INFO(test.name);
  RawServer server(test.answer);
  HttpClient http({.max_body_bytes = 100, .max_header_bytes = 4000});
  const auto result = http.Call({.method = "POST", .url = "http://" + server.Address(), .body = "x"}, kTimeout);
  REQUIRE_FALSE(result.has_value());
  INFO(result.error().message);
  CHECK(kFailureCodeNames.NameOf(result.error().code) == kFailureCodeNames.NameOf(test.code));
  CHECK(result.error().verdict == Verdict::kMayHaveRun);
  CHECK(server.Requests().size() == 1);
}

struct WholeAnswer {
  const char* name;
  const char* method;
  const char* answer;
  int status;
  HeaderList headers;
  const char* body;
};

// Guards against answers that are changed on the way, redirects that are followed, and trailers or interim answers that
// are mixed into the header.
TEST_CASE("whole answers are returned as they are", "[http]") {
  const auto test = GENERATE(values<WholeAnswer>({
      {"length",
       "GET",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A:  b \r\n\r\nabc",
       200,
       {{"content-length", "3"}, {"x-a", "b"}},
       "abc"},
      {"bytes after the body",
       "GET",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef",
       200,
       {{"content-length", "3"}},
       "abc"},
      {"chunks and trailer",
       "GET",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nX-T: 1\r\n\r\n",
       200,
       {{"transfer-encoding", "chunked"}},
       "abc"},
      {"interim answer",
       "GET",
       "HTTP/1.1 103 Early Hints\r\nX-E: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
       200,
       {{"content-length", "1"}},
       "a"},
      {"redirect",
       "GET",
       "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
       302,
       {{"location", "http://127.0.0.1:1/"}, {"content-length", "0"}},
       ""},
      {"error status",
       "POST",
       "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno",
       503,
       {{"content-length", "2"}},
       "no"},
      {"no content", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", 204, {}, ""},
      {"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n", 200, {{"content-length", "30"}}, ""},
      {"compressed",
       "GET",
       "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
       200,
       {{"content-encoding", "gzip"}, {"content-length", "3"}},
       "abc"},
  }));
  INFO(test.name);
  RawServer server(test.answer);
  HttpClient http;
  const auto result = http.Call({.method = test.method, .url = "http://" + server.Address()}, kTimeout);
  REQUIRE(result.has_value());
  CHECK(result->status == test.status);
  CHECK(result->headers == test.headers);
  CHECK(result->body == test.body);
}

struct SentRequest {
  const char* method;
  const char* target;
  const char* sent_target;
  HeaderList headers;
  const char* body;
  const char* sent_header;  ///< after the request line and the host
};

// Guards against headers that libcurl adds by itself and against paths that it normalises.
TEST_CASE("a request is sent exactly as given", "[http]") {
  const auto test = GENERATE(values<SentRequest>({
      {"GET", "", "/", {}, "", ""},
      {"GET", "?a=1", "/?a=1", {}, "", ""},
      {"GET", "/a/../b//c/./d%2f?x=%20&y={z}", "/a/../b//c/./d%2f?x=%20&y={z}", {}, "", ""},
      {"DELETE", "/a", "/a", {{"x-a", "1"}, {"x-a", "2"}, {"x-b", ""}}, "", "x-a: 1\r\nx-a: 2\r\nx-b:\r\n"},
      {"POST", "/a", "/a", {}, "", "Content-Length: 0\r\n"},
      {"POST", "/a", "/a", {{"content-type", "a/b"}}, "xyz", "content-type: a/b\r\nContent-Length: 3\r\n"},
      {"PATCH", "/a", "/a", {{"accept", "a/b"}}, "xyz", "accept: a/b\r\nContent-Length: 3\r\n"},
      {"DELETE", "/a", "/a", {}, "xyz", "Content-Length: 3\r\n"},
      {"PUT", "/a", "/a", {}, "", "Content-Length: 0\r\n"},
      {"OPTIONS", "/a", "/a", {}, "", ""},
      {"HEAD", "/a", "/a", {}, "", ""},
  }));
  RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  HttpClient http;
  const HttpRequest request{.method = test.method,
                            .url = "http://" + server.Address() + test.target,
                            .headers = test.headers,
                            .body = test.body};
  REQUIRE(http.Call(request, kTimeout).has_value());
  const std::string expected = std::string(test.method) + " " + test.sent_target +
                               " HTTP/1.1\r\nHost: " + server.Address() + "\r\n" + test.sent_header + "\r\n" +
                               test.body;
  REQUIRE(server.Requests().size() == 1);
  CHECK(server.Requests()[0] == expected);
}

/// A port of 127.0.0.1 that refuses connections for as long as the object lives.
class RefusingPort {
 public:
  RefusingPort() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
  }
  ~RefusingPort() { close(m_socket); }
  RefusingPort(const RefusingPort&) = delete;
  RefusingPort& operator=(const RefusingPort&) = delete;

  std::string Url() const { return "http://127.0.0.1:" + std::to_string(m_port) + "/"; }

 private:
  int m_socket;
  int m_port = 0;
};

// Guards against `may have run` for a request that cannot have reached anybody, because it must not be retried then.
TEST_CASE("a request without a connection was not run", "[http]") {
  const RefusingPort port;
  HttpClient http;
  const auto refused = http.Call({.method = "POST", .url = port.Url(), .body = "x"}, kTimeout);
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().code == FailureCode::kUnavailable);
  CHECK(refused.error().verdict == Verdict::kNotRun);
  const auto expired = http.Call({.method = "POST", .url = port.Url(), .body = "x"}, absl::ZeroDuration());
  REQUIRE_FALSE(expired.has_value());
  CHECK(expired.error().code == FailureCode::kDeadlineExceeded);
  CHECK(expired.error().verdict == Verdict::kNotRun);
}

/// A listening port whose queue of connections is full, so that no further connection is established.
class FullPort {
 public:
  FullPort() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    socklen_t size = sizeof(m_address);
    m_address.sin_family = AF_INET;
    m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&m_address), size) == 0);
    listen(m_socket, 0);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&m_address), &size);
    for (int& client : m_clients) {
      client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      // Those beyond the capacity of the queue stay in progress.
      const int connected = connect(client, reinterpret_cast<sockaddr*>(&m_address), size);
      REQUIRE((connected == 0 || errno == EINPROGRESS));
    }
  }
  ~FullPort() {
    for (const int client : m_clients) close(client);
    close(m_socket);
  }
  FullPort(const FullPort&) = delete;
  FullPort& operator=(const FullPort&) = delete;

  std::string Url() const { return "http://127.0.0.1:" + std::to_string(ntohs(m_address.sin_port)) + "/"; }

 private:
  int m_socket;
  sockaddr_in m_address{};
  int m_clients[4] = {};
};

// Guards against a host that is down using up the whole deadline, so that nothing is left for a retry elsewhere.
TEST_CASE("the connect timeout ends an attempt to connect with not run", "[http]") {
  const FullPort port;
  HttpClient http({.connect_timeout = absl::Milliseconds(100)});
  const absl::Time start = absl::Now();
  const auto result = http.Call({.method = "POST", .url = port.Url(), .body = "x"}, kTimeout);
  CHECK(absl::Now() - start < kTimeout / 2);
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().code == FailureCode::kUnavailable);
  CHECK(result.error().verdict == Verdict::kNotRun);
  const auto expired = http.Call({.method = "POST", .url = port.Url(), .body = "x"}, absl::Milliseconds(50));
  REQUIRE_FALSE(expired.has_value());
  CHECK(expired.error().code == FailureCode::kDeadlineExceeded);
  CHECK(expired.error().verdict == Verdict::kNotRun);
}

// Guards against requests that leave through a proxy that the environment names.
TEST_CASE("proxies of the environment are ignored", "[http]") {
  const RefusingPort port;
  RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  for (const char* name : {"http_proxy", "all_proxy", "ALL_PROXY"}) setenv(name, port.Url().c_str(), 1);
  HttpClient http;
  const auto result = http.Call({.method = "GET", .url = "http://" + server.Address()}, kTimeout);
  for (const char* name : {"http_proxy", "all_proxy", "ALL_PROXY"}) unsetenv(name);
  CHECK(result.has_value());
}

// Guards against SIGPIPE, which would end the process, and against a wrong verdict when the peer stops reading.
TEST_CASE("a peer that resets the connection during the request does not end the process", "[http]") {
  Standin endpoint("standin_endpoint");
  HttpClient http;
  const std::string large(std::size_t{40} << 20, 'x');  // above the stand-in's limit, upon which it closes
  const auto result =
      http.Call({.method = "POST", .url = "http://" + endpoint.Address() + "/", .body = large}, kTimeout);
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().verdict == Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace berylgauge
