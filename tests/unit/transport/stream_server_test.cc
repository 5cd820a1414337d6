#include <rapidcheck.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "countdown.h"
#include "held_responders.h"
#include "raw_peer.h"
#include "test_endpoints.h"

namespace berylgauge {
namespace {

bool Answers(EventLoop& loop, int port) {
  const auto client = MakeTestClient(loop, port);
  const Result<StreamResponse> result = client->Call({.path = "/x", .headers = {}, .body = "b"}, kLongTimeout);
  return result && result->body == "b";
}

/// Waits until no stream of the server is open; false if that takes too long.
bool WaitUntilIdle(const StreamServer& server) {
  const SystemClock clock;
  const MonotonicTime limit = clock.Now() + kLongTimeout;
  while (server.OpenStreams() > 0) {
    if (clock.Now() > limit) return false;
    std::this_thread::yield();
  }
  return true;
}

// ":method POST", ":scheme http", ":path /x" and ":authority a".
std::string RequestHeaderBlock() { return std::string("\x83\x86\x04\x02/x\x01\x01") + "a"; }

std::string RequestStart() {
  return std::string(kClientPreface) + Frame(kSettingsFrame, 0, 0, {}) +
         Frame(kHeadersFrame, kEndHeaders, 1, RequestHeaderBlock());
}

struct InputCase {
  std::string name;
  std::string bytes;
};

// Guards against crashes and hangs on input that is not HTTP/2 or breaks its rules.
TEST_CASE("malformed input closes the connection and nothing else", "[transport]") {
  const std::string start = std::string(kClientPreface) + Frame(kSettingsFrame, 0, 0, {});
  const auto test = GENERATE_COPY(values<InputCase>({
      {"HTTP/1.1", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"zeros", std::string(1000, '\0')},
      {"high bytes", std::string(100'000, '\xff')},
      {"no settings after the preface", std::string(kClientPreface) + Frame(kDataFrame, 0, 1, "x")},
      {"frame over the maximum size", start + std::string("\xff\xff\xff\x00\x00\x00\x00\x00\x01", 9)},
      {"headers on stream 0", start + Frame(kHeadersFrame, kEndHeaders, 0, RequestHeaderBlock())},
      {"headers on an even stream", start + Frame(kHeadersFrame, kEndHeaders, 2, RequestHeaderBlock())},
      {"header block that cannot be decoded", start + Frame(kHeadersFrame, kEndHeaders, 1, "\xff\xff\xff\xff\xff\xff")},
      {"header block that is never continued",
       start + Frame(kHeadersFrame, 0, 1, "\x83") + Frame(kDataFrame, 0, 1, "x")},
      {"data on an idle stream", start + Frame(kDataFrame, 0, 1, "x")},
      {"settings of a wrong length", start + Frame(kSettingsFrame, 0, 0, "12345")},
      {"window update of zero", start + Frame(kWindowUpdateFrame, 0, 0, Uint32(0))},
  }));
  INFO(test.name);
  EventLoop loop;
  std::atomic<int> handled{0};
  const TestServer server([&](StreamRequest request, const StreamServer::Responder& responder) {
    if (request.body.empty()) handled.fetch_add(1);
    Echo(std::move(request), responder);
  });
  const RawConnection connection = RawConnection::ConnectTo(server.port);
  connection.Write(test.bytes);
  CHECK(connection.ReadUntilClosed());
  CHECK(Answers(loop, server.port));
  CHECK(handled.load() == 0);
}

// Guards against input that only a random search finds.
TEST_CASE("random changes of valid input never harm the server", "[transport][property]") {
  EventLoop loop;
  const TestServer server(Echo, {.handshake_timeout = absl::Milliseconds(100),
                                 .keepalive_timeout = absl::Milliseconds(100),
                                 .receive_timeout = absl::Milliseconds(100)});
  const auto client = MakeTestClient(loop, server.port);
  CHECK(rc::check("survives", [&] {
    std::string bytes = RequestStart() + Frame(kDataFrame, kEndStream, 1, "some body") +
                        Frame(kHeadersFrame, kEndHeaders | kEndStream, 3, RequestHeaderBlock()) +
                        Frame(kResetFrame, 0, 3, Uint32(8)) + Frame(kGoawayFrame, 0, 0, Uint32(0) + Uint32(0));
    const int changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[position] = *rc::gen::arbitrary<char>();
    }
    if (*rc::gen::arbitrary<bool>()) bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    const RawConnection connection = RawConnection::ConnectTo(server.port);
    connection.Write(bytes);
    const Result<StreamResponse> result = client->Call({.path = "/x", .headers = {}, .body = bytes}, kLongTimeout);
    RC_ASSERT(result.has_value());
    RC_ASSERT(result->body == bytes);
  }));
  CHECK(WaitUntilIdle(*server.server));
}

struct SlowCase {
  std::string name;
  std::string bytes;
};

// Guards against peers that hold connections and streams by doing nothing.
TEST_CASE("silent peers are disconnected", "[transport]") {
  const auto test = GENERATE(values<SlowCase>({
      {"nothing at all", ""},
      {"half a preface", "PRI * HTTP/2.0\r\n"},
      {"settings, then silence", std::string(kClientPreface) + Frame(kSettingsFrame, 0, 0, {})},
      {"half a request", RequestStart() + Frame(kDataFrame, 0, 1, "x")},
  }));
  INFO(test.name);
  const TestServer server(Echo,
                          {.handshake_timeout = absl::Milliseconds(200), .keepalive_timeout = absl::Milliseconds(200)});
  const RawConnection connection = RawConnection::ConnectTo(server.port);
  connection.Write(test.bytes);
  CHECK(connection.ReadUntilClosed());
  CHECK(WaitUntilIdle(*server.server));
}

// Guards against a request that never ends although its peer is alive.
TEST_CASE("a request that does not arrive in time is refused", "[transport]") {
  const TestServer server(Echo, {.receive_timeout = absl::Milliseconds(100)});
  RawConnection connection = RawConnection::ConnectTo(server.port);
  connection.Write(RequestStart() + Frame(kDataFrame, 0, 1, "x"));
  CHECK(connection.ReadUntilFrame(kResetFrame) == 1);
  CHECK(WaitUntilIdle(*server.server));
}

// Guards against an answer that waits for ever for window credit of a peer that is alive.
TEST_CASE("an answer that cannot be sent in time is given up", "[transport]") {
  const TestServer server(
      [](const StreamRequest&, const StreamServer::Responder& responder) {
        responder({.status = 200, .headers = {}, .body = std::string(std::size_t{1024} * 1024, 'x')});
      },
      {.send_timeout = absl::Milliseconds(100)});
  RawConnection connection = RawConnection::ConnectTo(server.port);
  connection.Write(RequestStart() + Frame(kDataFrame, kEndStream, 1, "x"));
  CHECK(connection.ReadUntilFrame(kResetFrame) == 1);
  CHECK(WaitUntilIdle(*server.server));
}

struct LimitCase {
  std::string name;
  StreamServerOptions options;
};

// Guards against requests beyond the server's limits that run, or that are reported as run.
TEST_CASE("requests beyond the server's limits are not run", "[transport]") {
  const auto test = GENERATE(values<LimitCase>({
      {"body", {.max_request_body_bytes = 9999}},
      {"all bodies", {.max_body_bytes = 9999}},
      {"headers", {.max_header_list_bytes = 300}},
  }));
  INFO(test.name);
  EventLoop loop;
  std::atomic<int> handled{0};
  const TestServer server(
      [&](StreamRequest request, const StreamServer::Responder& responder) {
        if (request.path == "/large") handled.fetch_add(1);
        Echo(std::move(request), responder);
      },
      test.options);
  const auto client = MakeTestClient(loop, server.port);
  const Result<StreamResponse> large = client->Call(
      {.path = "/large", .headers = {{"x-a", std::string(400, 'a')}}, .body = std::string(10'000, 'x')}, kLongTimeout);
  REQUIRE_FALSE(large.has_value());
  CHECK(large.error().verdict == Verdict::kNotRun);
  CHECK(handled.load() == 0);
  CHECK(client->Call({.path = "/small", .headers = {}, .body = "b"}, kLongTimeout).has_value());
}

// Guards against streams beyond the limit of the whole server that wait or fail with a wrong verdict.
TEST_CASE("streams beyond the server's limit are refused", "[transport]") {
  constexpr int kLimit = 3;
  constexpr int kRequests = 10;
  EventLoop loop;
  HeldResponders held;
  const TestServer server(held.handler(), {.max_open_streams = kLimit});
  const auto client = MakeTestClient(loop, server.port);
  std::atomic<int> not_run{0};
  Countdown refused(kRequests - kLimit);
  Countdown answered(kLimit);
  for (int i = 0; i < kRequests; ++i) {
    client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout, [&](const Result<StreamResponse>& result) {
      if (result) return static_cast<void>(answered.Decrement());
      if (result.error().verdict == Verdict::kNotRun) not_run.fetch_add(1);
      refused.Decrement();
    });
  }
  refused.Wait();
  held.WaitForCount(kLimit);
  CHECK(not_run.load() == kRequests - kLimit);
  CHECK(server.server->OpenStreams() == kLimit);
  held.AnswerAll({.status = 200, .headers = {}, .body = {}});
  answered.Wait();
  CHECK(WaitUntilIdle(*server.server));
}

// Guards against connections without bound.
TEST_CASE("connections beyond the limit are closed", "[transport]") {
  EventLoop loop;
  const TestServer server(Echo, {.max_connections = 1});
  const auto first = MakeTestClient(loop, server.port);
  REQUIRE(first->Call({.path = "/x", .headers = {}, .body = {}}, kLongTimeout).has_value());
  const auto second = MakeTestClient(loop, server.port);
  const Result<StreamResponse> result = second->Call({.path = "/x", .headers = {}, .body = {}}, kLongTimeout);
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().verdict == Verdict::kNotRun);
}

struct ResponderCase {
  std::string name;
  std::function<void(const StreamServer::Responder&)> answer;
};

// Guards against callers that wait for their whole timeout, or receive a damaged answer, after a fault of a handler.
TEST_CASE("an answer that cannot be sent resets its stream", "[transport]") {
  const auto test = GENERATE(values<ResponderCase>({
      {"no answer", [](const StreamServer::Responder&) {}},
      {"status", [](const StreamServer::Responder& answer) { answer({.status = 99, .headers = {}, .body = {}}); }},
      {"header name",
       [](const StreamServer::Responder& answer) {
         answer({.status = 200, .headers = {{"Bad Name", "1"}}, .body = {}});
       }},
      {"truncated body",
       [](const StreamServer::Responder& answer) {
         answer({.status = 200, .headers = {{"content-length", "10"}}, .body = "12345"});
       }},
      {"body over the limit",
       [](const StreamServer::Responder& answer) {
         answer({.status = 200, .headers = {}, .body = std::string(1001, 'x')});
       }},
  }));
  INFO(test.name);
  EventLoop loop;
  const TestServer server(
      [&](const StreamRequest&, const StreamServer::Responder& responder) { test.answer(responder); },
      {.max_response_body_bytes = 1000});
  const auto client = MakeTestClient(loop, server.port);
  const Result<StreamResponse> result = client->Call({.path = "/x", .headers = {}, .body = {}}, kLongTimeout);
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().verdict == Verdict::kMayHaveRun);
  CHECK(WaitUntilIdle(*server.server));
}

// Guards against requests that are cut off by a planned stop.
TEST_CASE("shutdown refuses new streams and finishes the open ones", "[transport]") {
  EventLoop loop;
  HeldResponders held;
  auto server = std::make_unique<TestServer>(held.handler());
  const auto client = MakeTestClient(loop, server->port);
  Countdown done(1);
  Result<StreamResponse> result = NotRun(FailureCode::kInternal, "");
  client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout, [&](Result<StreamResponse> answer) {
    result = std::move(answer);
    done.Decrement();
  });
  held.WaitForCount(1);
  server->server->BeginShutdown();
  // The listener is closed on the loop's thread; until then a second client may still be accepted, never answered.
  const auto second = MakeTestClient(loop, server->port);
  const Result<StreamResponse> refused = second->Call({.path = "/y", .headers = {}, .body = {}}, kLongTimeout);
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().verdict == Verdict::kNotRun);
  CHECK(server->server->OpenStreams() == 1);
  CHECK_FALSE(done.IsDone());
  held.AnswerAll({.status = 200, .headers = {}, .body = std::string(std::size_t{1024} * 1024, 'x')});
  done.Wait();
  REQUIRE(result.has_value());
  CHECK(result->body.size() == std::size_t{1024} * 1024);
  CHECK(WaitUntilIdle(*server->server));
  server->server->Stop();
}

// Guards against answers lost between the last write and the close, which OpenStreams must cover.
TEST_CASE("an answer is whole when the server stops as soon as no stream is open", "[transport]") {
  constexpr int kRequests = 20;
  constexpr std::size_t kSize = 200'000;
  EventLoop loop;
  HeldResponders held;
  TestServer server(held.handler());
  const auto client = MakeTestClient(loop, server.port);
  std::atomic<int> whole{0};
  Countdown done(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout, [&](const Result<StreamResponse>& result) {
      if (result && result->body.size() == kSize) whole.fetch_add(1);
      done.Decrement();
    });
  }
  held.WaitForCount(kRequests);
  server.server->BeginShutdown();
  held.AnswerAll({.status = 200, .headers = {}, .body = std::string(kSize, 'x')});
  CHECK(WaitUntilIdle(*server.server));
  server.server->Stop();
  done.Wait();
  CHECK(whole.load() == kRequests);
}

// Guards against use of a connection or loop that is gone.
TEST_CASE("a responder may be used after its client, its server or both are gone", "[transport]") {
  EventLoop loop;
  HeldResponders held;
  auto server = std::make_unique<TestServer>(held.handler());
  auto client = MakeTestClient(loop, server->port);
  std::atomic<int> failed{0};
  client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout, [&](const Result<StreamResponse>& result) {
    if (!result && result.error().verdict == Verdict::kMayHaveRun) failed.fetch_add(1);
  });
  held.WaitForCount(1);
  client.reset();
  CHECK(failed.load() == 1);
  CHECK(WaitUntilIdle(*server->server));
  held.AnswerAll({.status = 200, .headers = {}, .body = {}});
  server.reset();
  held.AnswerAll({.status = 200, .headers = {}, .body = {}});
}

// Guards against work for a caller that has given up before the handler was called.
TEST_CASE("a request reset in the same segment is not handled", "[transport]") {
  EventLoop loop;
  std::atomic<int> handled{0};
  const TestServer server([&](StreamRequest request, const StreamServer::Responder& responder) {
    handled.fetch_add(1);
    Echo(std::move(request), responder);
  });
  const RawConnection connection = RawConnection::ConnectTo(server.port);
  connection.Write(RequestStart() + Frame(kDataFrame, kEndStream, 1, "x") + Frame(kResetFrame, 0, 1, Uint32(8)) +
                   Frame(kGoawayFrame, 0, 0, Uint32(0) + Uint32(0)));
  CHECK(connection.ReadUntilClosed());
  CHECK(handled.load() == 0);
}

// Guards against a second start that would leak the first listener, and against a port taken by another process.
TEST_CASE("start fails for a port in use, a bad address and a second time", "[transport]") {
  const TestServer server;
  CHECK(server.server->Start(kLoopback, 0, Echo).error().code == FailureCode::kConflict);
  const auto other = MakeStreamServer({});
  REQUIRE(other.has_value());
  CHECK((*other)->Start(kLoopback, server.port, Echo).error().code == FailureCode::kUnavailable);
  CHECK((*other)->Start("localhost", 0, Echo).error().field == "address");
  CHECK((*other)->Start(kLoopback, 0, Echo).has_value());
}

}  // namespace
}  // namespace berylgauge
