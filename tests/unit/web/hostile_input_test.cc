#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "raw_client.h"
#include "test_server.h"

namespace berylgauge {
namespace {

using namespace std::string_literals;  // NOLINT(google-build-using-namespace): texts with NUL

constexpr std::size_t kMaxBody = 1000;

/// Who words the answer.
enum class Body {
  kJson,     ///< this package, as JSON
  kLibrary,  ///< libmicrohttpd, which gives the application no say in what it refuses itself
  kNone,     ///< nobody: the library closes the connection
};

struct HostileCase {
  std::string input;
  int status;
  std::string field;
  Body body = Body::kJson;
};

HostileCase Head(const std::string& header_lines, int status, const std::string& field, Body body = Body::kJson) {
  return {.input = Request("/x", header_lines), .status = status, .field = field, .body = body};
}

HostileCase Line(const std::string& request_line, int status, const std::string& field, Body body = Body::kJson) {
  return {.input = request_line + "\r\nHost: test\r\n\r\n", .status = status, .field = field, .body = body};
}

HostileCase Post(const std::string& header_lines, const std::string& body, int status, const std::string& field,
                 Body kind = Body::kJson) {
  return {.input = Request("/x", header_lines, body, "POST"), .status = status, .field = field, .body = kind};
}

std::vector<HostileCase> HostileCases() {
  std::string many_headers;
  for (int i = 0; i < 120; ++i) many_headers += "A: b\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {
      // Two readings of the length of the body.
      Post("Content-Length: 0\r\nContent-Length: 35\r\n", "", 400, "content-length"),
      Post("Content-Length: 35\r\nContent-Length: 0\r\n", "", 400, "content-length"),
      Post("Content-Length: 0\r\nContent-Length: 0\r\n", "", 400, "content-length"),
      Post("Content-Length: 3\r\n" + chunked, "0\r\n\r\n", 400, "transfer-encoding"),
      Post(chunked + "Content-Length: 3\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Content-Length: x\r\n" + chunked, "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding: gzip\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding: identity\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding: \"chunked\"\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding:\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post(chunked + chunked, "0\r\n\r\n", 400, "transfer-encoding"),
      Post(chunked + "Transfer-Encoding: identity\r\n", "0\r\n\r\n", 400, "transfer-encoding"),
      Post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n", 400, "transfer-encoding "),
      Post("Transfer-Encoding\t: chunked\r\n", "0\r\n\r\n", 400, "transfer-encoding\t"),
      Post("Content-Length : 3\r\n", "abc", 400, "content-length "),
      Post("X: a\r\n Transfer-Encoding: chunked\r\n", "", 400, "headers"),
      {"POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "transfer-encoding"},
      Post("Content-Length: 0, 35\r\n", "", 400, "", Body::kLibrary),
      Post("Content-Length: -1\r\n", "", 400, "", Body::kLibrary),
      Post("Content-Length: +1\r\n", "", 400, "", Body::kLibrary),
      Post("Content-Length: 0x1\r\n", "", 400, "", Body::kLibrary),
      Post("Content-Length: 1e1\r\n", "", 400, "", Body::kLibrary),
      Post("Content-Length:\r\n", "", 400, "", Body::kLibrary),
      Post("Content-Length: 18446744073709551617\r\n", "", 413, "", Body::kLibrary),
      Post(chunked, "zz\r\nabc\r\n0\r\n\r\n", 400, "", Body::kLibrary),
      Post(chunked, "-3\r\nabc\r\n0\r\n\r\n", 400, "", Body::kLibrary),
      Post(chunked, "ffffffffffffffffff\r\nabc\r\n0\r\n\r\n", 413, "", Body::kLibrary),
      // Line ends and characters that another reader takes differently.
      Head("X: a\rY: b\r\n", 400, "x"),
      Head("X: a\r Y: b\r\n", 400, "x"),
      Head("X: a\rContent-Length: 35\r\n", 400, "x"),
      Head("X: a\nY: b\r\n", 400, "headers"),
      Head("X: a\n", 400, "headers"),
      Head("X: a\r\n\n", 400, "headers"),
      Head("X: a\r\n b\r\n", 400, "headers"),
      Head("X: a\r\n\tb\r\n", 400, "headers"),
      Head("X: a\0b\r\n"s, 400, "headers"),
      Head("X: a\0\0Y: b\r\n"s, 400, "headers"),
      Head("X: \0\r\n"s, 400, "headers"),
      Head("X\0: b\r\n"s, 400, "", Body::kLibrary),
      Head("X: a\x01\r\n", 400, "x"),
      Head("X: a\x7f\r\n", 400, "x"),
      Head("X(Y): a\r\n", 400, "x(y)"),
      Head("X Y: a\r\n", 400, "x y"),
      Head("\xc3\xa9: a\r\n", 400, "\xc3\xa9"),
      Head(": a\r\n", 400, "headers"),
      Head("no colon\r\n", 400, "", Body::kLibrary),
      Head("Host: other\r\n", 400, "host"),
      {"GET /x HTTP/1.1\r\n\r\n", 400, "host"},
      {"GET /x HTTP/1.1\r\n X: y\r\nHost: test\r\n\r\n", 400, " x"},
      // Request lines.
      Line("GET /x HTTP/1.2", 400, "version"),
      Line("GET /x HTTP/2.0", 505, "", Body::kLibrary),
      Line("GET /x HTTP/1.1 ", 400, "", Body::kLibrary),
      Line("GET /x http/1.1", 400, "", Body::kLibrary),
      Line("GET /x", 400, "", Body::kLibrary),
      Line("GET", 0, "", Body::kNone),
      Line("GET\t/x\tHTTP/1.1", 0, "", Body::kNone),
      Line("\x16\x03\x01\x02", 0, "", Body::kNone),
      Line("GET  /x  HTTP/1.1", 400, "url"),
      Line("GET /x y HTTP/1.1", 400, "url"),
      Line("GET /x\0y HTTP/1.1"s, 400, "url"),
      Line("GET /x\x01y HTTP/1.1", 400, "url"),
      Line("GET /x HTTP/1.1\rX: y", 400, "", Body::kLibrary),
      Line("GET x HTTP/1.1", 400, "url"),
      Line("GET http://test/x HTTP/1.1", 400, "url"),
      Line("OPTIONS * HTTP/1.1", 400, "url"),
      Line("CONNECT test:80 HTTP/1.1", 400, "url"),
      Line("GET /%00 HTTP/1.1", 400, "url"),
      Line("GET /%0d%0aX:y HTTP/1.1", 400, "url"),
      Line("GET /%zz HTTP/1.1", 400, "url"),
      Line("GET /a% HTTP/1.1", 400, "url"),
      Line("GET /a%4 HTTP/1.1", 400, "url"),
      Line("GET /a/../b HTTP/1.1", 400, "url"),
      Line("GET /a/%2e%2E/b HTTP/1.1", 400, "url"),
      Line("GET /. HTTP/1.1", 400, "url"),
      Line("G(T /x HTTP/1.1", 400, "method"),
      // Sizes.
      Line("GET /" + std::string(9000, 'x') + " HTTP/1.1", 414, "url"),
      Line("GET /?" + std::string(9000, 'x') + " HTTP/1.1", 414, "url"),
      Line("GET /" + std::string(200000, 'x') + " HTTP/1.1", 414, "", Body::kLibrary),
      Head(many_headers, 431, "headers"),
      Head("A: " + std::string(20000, 'b') + "\r\n", 431, "headers"),
      Head(std::string(20000, 'b') + ": a\r\n", 431, "headers"),
      Head("A: " + std::string(200000, 'b') + "\r\n", 431, "", Body::kLibrary),
      Post("Content-Length: 1001\r\n", std::string(1001, 'x'), 413, "body"),
      Post("Content-Length: 1000000\r\n", std::string(1000000, 'x'), 413, "body"),
      Post("Content-Length: 9999999999999999999\r\n", "", 413, "body"),
      Post("Content-Length: 1001\r\nExpect: 100-continue\r\n", "", 413, "body"),
      Post(chunked, "3e9\r\n" + std::string(1001, 'x') + "\r\n0\r\n\r\n", 413, "body"),
  };
}

// Guards against request smuggling: input that another program may read differently must not yield a request, neither
// itself nor from the bytes that follow it.
TEST_CASE("hostile input is refused and the connection is closed", "[web]") {
  TestServer server({.max_body_bytes = kMaxBody});
  for (const HostileCase& test : HostileCases()) {
    CAPTURE(test.input.substr(0, 200));
    RawClient client(server.port());
    REQUIRE(client.is_connected());
    // The result does not matter: the server may close before it has read everything.
    client.Send(test.input + Request("/smuggled"));
    const std::optional<RawResponse> response = client.Read();
    if (test.body == Body::kNone) {
      CHECK_FALSE(response.has_value());
    } else {
      REQUIRE(response.has_value());
      CHECK(response->status == test.status);
      CHECK(response->HasHeader("connection: close"));
    }
    if (test.body == Body::kJson) {
      CHECK(response->HasHeader("content-type: application/json"));
      CHECK(response->HasHeader("berylgauge-verdict: not-run"));
      const nlohmann::json body = nlohmann::json::parse(response->body);
      CHECK(body["error"]["code"] == "invalid-argument");
      CHECK_FALSE(body["error"]["message"].get<std::string>().empty());
      CHECK(body["error"]["field"] == test.field);
      CHECK(client.ReadsEnd());
    }
    CHECK(server.Requests().empty());
  }
  // All refused requests are completed, and the server still serves.
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
  RawClient client(server.port());
  client.Send(Request("/after"));
  CHECK(client.Read().value().body == "/after");
}

// Guards against smuggling through the library's lenient reading of chunk lines and trailers.
TEST_CASE("nothing after a chunked body is read as a request", "[web]") {
  const std::string body = GENERATE(values<std::string>({
      "3\r\nabc\r\n0\r\n\r\n",
      "3;extension=\"x\"\r\nabc\r\n0\r\n\r\n",
      "3\nabc\n0\n\n",
      "3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n",
      "3\r\nabc\r\n0\r\nContent-Length: 5\r\n\r\n",
      "3\r\nabc\r\n0\r\n\r",
      "3\r\nabc\r\n0\r\n\n",
      "3\r\nabc\r\n0\r\n\rX\r\n\r\n",
  }));
  CAPTURE(body);
  TestServer server;
  RawClient client(server.port());
  client.Send(Request("/x", "Transfer-Encoding: chunked\r\n", body, "POST") + Request("/smuggled"));
  // Some of the bodies are incomplete for the library, which then waits for the rest.
  if (!client.HasInput(std::chrono::milliseconds(300))) client.CloseForSending();
  if (const std::optional<RawResponse> response = client.Read()) CHECK(response->HasHeader("connection: close"));
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
  for (const WebRequest& request : server.Requests()) CHECK(request.path == "/x");
}

// Guards against refusals that depend on where the network splits the input.
TEST_CASE("hostile input in single bytes is refused as well", "[web]") {
  const std::string lines = GENERATE(values<std::string>({
      "X: a\rY: b\r\n",
      "X: a\0b\r\n"s,
      "X: a\r\n b\r\n",
      "Content-Length: 1\r\nContent-Length: 2\r\n",
      "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
  }));
  CAPTURE(lines);
  TestServer server;
  RawClient client(server.port());
  // The empty line comes last in one piece: after its last byte the server may close.
  for (const char c : "POST /x HTTP/1.1\r\nHost: test\r\n" + lines) REQUIRE(client.Send({&c, 1}));
  client.Send("\r\n");
  const std::optional<RawResponse> response = client.Read();
  REQUIRE(response.has_value());
  CHECK(response->status == 400);
  CHECK(client.ReadsEnd());
  CHECK(server.Requests().empty());
}

// Guards against checks that hold for the first request of a connection only.
TEST_CASE("hostile input after a valid request is refused", "[web]") {
  const std::string lines = GENERATE(values<std::string>({
      "X: a\rY: b\r\n",
      "X: a\0b\r\n"s,
      "X: a\r\n b\r\n",
      "Content-Length: 0\r\nContent-Length: 35\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
  }));
  const bool in_one_piece = GENERATE(true, false);
  CAPTURE(lines, in_one_piece);
  TestServer server;
  RawClient client(server.port());
  const std::string first = Request("/first", "Content-Length: 2\r\n", "ab", "POST");
  const std::string second = Request("/x", lines, "", "POST") + Request("/smuggled");
  client.Send(in_one_piece ? first + second : first);
  CHECK(client.Read().value().body == "/first");
  if (!in_one_piece) client.Send(second);
  const std::optional<RawResponse> response = client.Read();
  REQUIRE(response.has_value());
  CHECK(response->status == 400);
  CHECK(client.ReadsEnd());
  CHECK(server.Requests().size() == 1);
}

// Guards against an endless body that keeps a connection busy.
TEST_CASE("an endless chunked body is cut off", "[web]") {
  TestServer server({.max_body_bytes = kMaxBody});
  RawClient client(server.port());
  client.Send(Request("/x", "Transfer-Encoding: chunked\r\n", "", "POST"));
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  bool is_open = true;
  for (int i = 0; i < 2000 && is_open; ++i) is_open = client.Send(chunk);
  CHECK_FALSE(is_open);
  // The reset that follows unread input can overtake the answer, so that it is not always seen.
  if (const std::optional<RawResponse> response = client.Read()) CHECK(response->status == 413);
  CHECK(server.Requests().empty());
}

// Guards against crashes and hangs on arbitrary bytes.
TEST_CASE("mutated requests never stop the server", "[web]") {
  // The time-out ends the connections whose body is cut short by a mutation.
  TestServer server({.max_body_bytes = kMaxBody, .idle_timeout_s = 1});
  const std::vector<std::string> seeds = {
      Request("/a?b=c", "X: y\r\nCookie: a=b; c=d\r\n"),
      Request("/a", "Content-Length: 5\r\n", "hello", "POST"),
      Request("/a", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\nT: u\r\n\r\n", "POST"),
  };
  CHECK(rc::check([&] {
    std::string input = *rc::gen::elementOf(seeds);
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, input.size());
      const char byte = *rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::elementOf("\r\n\0 :,%?\t"s));
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          input[at] = byte;
          break;
        case 1:
          input.insert(at, 1, byte);
          break;
        default:
          input.erase(at, 1);
          break;
      }
    }
    RawClient client(server.port());
    client.Send(input);
    client.CloseForSending();
    while (client.Read()) {
    }
    RawClient next(server.port());
    next.Send(Request("/alive"));
    const std::optional<RawResponse> response = next.Read();
    RC_ASSERT(response.has_value());
    RC_ASSERT(response->body == "/alive");
  }));
}

}  // namespace
}  // namespace berylgauge
