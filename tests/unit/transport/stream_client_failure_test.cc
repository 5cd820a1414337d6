
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "countdown.h"
#include "held_responders.h"
#include "raw_peer.h"
#include "test_endpoints.h"

namespace berylgauge {
namespace {

struct PeerCase {
  std::string name;
  RawPeer::Script script;
  Verdict verdict;
  FailureCode code;
};

// Waits for the request and returns its stream id.
std::uint32_t AcceptRequest(RawConnection& connection) {
  connection.AcceptHandshake();
  return connection.ReadUntilFrame(kHeadersFrame);
}

std::vector<PeerCase> PeerCases() {
  return {
      {"an HTTP/1.1 server",
       [](RawConnection& peer) { peer.Write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"); },
       Verdict::kNotRun, FailureCode::kUnavailable},
      {"a peer that closes at once", [](RawConnection&) {}, Verdict::kNotRun, FailureCode::kUnavailable},
      {"a peer that resets the connection before its settings", [](RawConnection& peer) { peer.Abort(); },
       Verdict::kNotRun, FailureCode::kUnavailable},
      {"a peer that accepts and says nothing", [](RawConnection& peer) { peer.ReadUntilClosed(); }, Verdict::kNotRun,
       FailureCode::kUnavailable},
      {"a peer killed before it answers",
       [](RawConnection& peer) {
         AcceptRequest(peer);
         peer.Abort();
       },
       Verdict::kMayHaveRun, FailureCode::kUnavailable},
      {"a peer killed in the middle of its answer",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kHeadersFrame, kEndHeaders, id, ResponseHeaderBlock("10")));
         peer.Write(Frame(kDataFrame, 0, id, "12345"));
       },
       Verdict::kMayHaveRun, FailureCode::kUnavailable},
      {"an answer shorter than its content-length",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kHeadersFrame, kEndHeaders, id, ResponseHeaderBlock("10")));
         peer.Write(Frame(kDataFrame, kEndStream, id, "12345"));
         peer.ReadUntilFrame(kResetFrame);
       },
       Verdict::kMayHaveRun, FailureCode::kCorrupt},
      {"an answer longer than its content-length",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kHeadersFrame, kEndHeaders, id, ResponseHeaderBlock("3")));
         peer.Write(Frame(kDataFrame, kEndStream, id, "12345"));
         peer.ReadUntilFrame(kResetFrame);
       },
       Verdict::kMayHaveRun, FailureCode::kCorrupt},
      {"an empty answer with a content-length",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kHeadersFrame, kEndHeaders | kEndStream, id, ResponseHeaderBlock("3")));
         peer.ReadUntilFrame(kResetFrame);
       },
       Verdict::kMayHaveRun, FailureCode::kCorrupt},
      {"a stream reset after the answer has begun",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kHeadersFrame, kEndHeaders, id, ResponseHeaderBlock("10")));
         peer.Write(Frame(kResetFrame, 0, id, Uint32(kRefusedStreamCode)));
         peer.ReadUntilClosed();
       },
       Verdict::kMayHaveRun, FailureCode::kUnavailable},
      {"a stream reset with INTERNAL_ERROR",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kResetFrame, 0, id, Uint32(2)));
         peer.ReadUntilClosed();
       },
       Verdict::kMayHaveRun, FailureCode::kUnavailable},
      {"a refused stream",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kResetFrame, 0, id, Uint32(kRefusedStreamCode)));
         peer.ReadUntilClosed();
       },
       Verdict::kNotRun, FailureCode::kOverloaded},
      {"GOAWAY below the stream",
       [](RawConnection& peer) {
         AcceptRequest(peer);
         peer.Write(Frame(kGoawayFrame, 0, 0, Uint32(0) + Uint32(0)));
         peer.ReadUntilClosed();
       },
       Verdict::kNotRun, FailureCode::kUnavailable},
      {"GOAWAY at the stream, then a close",
       [](RawConnection& peer) {
         const std::uint32_t id = AcceptRequest(peer);
         peer.Write(Frame(kGoawayFrame, 0, 0, Uint32(id) + Uint32(0)));
       },
       Verdict::kMayHaveRun, FailureCode::kUnavailable},
      {"garbage after the settings",
       [](RawConnection& peer) {
         AcceptRequest(peer);
         peer.Write(std::string(200, '\xff'));
         peer.ReadUntilClosed();
       },
       Verdict::kMayHaveRun, FailureCode::kUnavailable},
      {"a peer that stops to answer anything",
       [](RawConnection& peer) {
         AcceptRequest(peer);
         peer.ReadUntilClosed();
       },
       Verdict::kMayHaveRun, FailureCode::kUnavailable},
  };
}

// Guards against wrong verdicts, which let the router run a request twice or drop it.
TEST_CASE("the verdict of a failed request fits what the peer did", "[transport]") {
  const std::vector<PeerCase> cases = PeerCases();
  const std::size_t index = GENERATE_COPY(range<std::size_t>(0, cases.size()));
  const PeerCase& test = cases[index];
  INFO(test.name);
  EventLoop loop;
  MetricsRegistry metrics;
  {
    RawPeer peer(test.script);
    const auto client = MakeTestClient(loop, peer.port(),
                                       {.connect_timeout = absl::Milliseconds(300),
                                        .keepalive_timeout = absl::Milliseconds(300),
                                        .metrics = &metrics});
    const Result<StreamResponse> result =
        client->Call({.path = "/internal/x", .headers = {}, .body = "body"}, kLongTimeout);
    REQUIRE_FALSE(result.has_value());
    CHECK(kVerdictNames.NameOf(result.error().verdict) == kVerdictNames.NameOf(test.verdict));
    CHECK(kFailureCodeNames.NameOf(result.error().code) == kFailureCodeNames.NameOf(test.code));
  }
  const auto failed = [&](const std::string& verdict) {
    return metrics
        .GetCounter("berylgauge_transport_streams_failed_total", "", "side=\"client\",verdict=\"" + verdict + "\"")
        .value();
  };
  CHECK(failed("not-run") == (test.verdict == Verdict::kNotRun ? 1 : 0));
  CHECK(failed("may-have-run") == (test.verdict == Verdict::kMayHaveRun ? 1 : 0));
}

// Guards against requests to a dead host that wait for their whole timeout.
TEST_CASE("a refused connection is reported at once as not run", "[transport]") {
  EventLoop loop;
  const ClosedPort closed;
  const auto client = MakeTestClient(loop, closed.port());
  for (int i = 0; i < 20; ++i) {
    const Result<StreamResponse> result = client->Call({.path = "/x", .headers = {}, .body = {}}, kLongTimeout);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().verdict == Verdict::kNotRun);
    CHECK(result.error().code == FailureCode::kUnavailable);
  }
}

// Guards against a stream that stays open at the server after its caller has given up.
TEST_CASE("a request without an answer times out and cancels its stream", "[transport]") {
  EventLoop loop;
  Countdown reset(1);
  RawPeer peer([&](RawConnection& connection) {
    const std::uint32_t id = AcceptRequest(connection);
    if (connection.ReadUntilFrame(kResetFrame) == id) reset.Decrement();
  });
  const auto client = MakeTestClient(loop, peer.port());
  const Result<StreamResponse> result =
      client->Call({.path = "/x", .headers = {}, .body = "b"}, absl::Milliseconds(100));
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().verdict == Verdict::kMayHaveRun);
  CHECK(result.error().code == FailureCode::kDeadlineExceeded);
  CHECK_NOTHROW(reset.Wait());
}

struct RefusedCase {
  std::string name;
  StreamRequest request;
  absl::Duration timeout;
  FailureCode code;
  std::string field;
};

// Guards against requests that the peer would reject, and against growth without bound.
TEST_CASE("requests that cannot be sent are refused as not run", "[transport]") {
  const auto test = GENERATE(values<RefusedCase>({
      {"no time left",
       {.path = "/x", .headers = {}, .body = {}},
       absl::ZeroDuration(),
       FailureCode::kDeadlineExceeded,
       ""},
      {"body over the limit",
       {.path = "/x", .headers = {}, .body = std::string(1001, 'x')},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       "body"},
      {"relative path", {.path = "x", .headers = {}, .body = {}}, kLongTimeout, FailureCode::kInvalidArgument, "path"},
      {"line feed in path",
       {.path = "/x\ny", .headers = {}, .body = {}},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       "path"},
      {"upper case header",
       {.path = "/x", .headers = {{"X-A", "1"}}, .body = {}},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       "X-A"},
      {"pseudo-header",
       {.path = "/x", .headers = {{":path", "/y"}}, .body = {}},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       ":path"},
      {"connection header",
       {.path = "/x", .headers = {{"transfer-encoding", "chunked"}}, .body = {}},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       "transfer-encoding"},
      {"line feed in value",
       {.path = "/x", .headers = {{"x-a", "1\n2"}}, .body = {}},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       "x-a"},
      {"wrong content-length",
       {.path = "/x", .headers = {{"content-length", "3"}}, .body = "12"},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       "content-length"},
      {"headers over the limit",
       {.path = "/x", .headers = {{"x-a", std::string(500, 'a')}}, .body = {}},
       kLongTimeout,
       FailureCode::kInvalidArgument,
       "headers"},
  }));
  INFO(test.name);
  EventLoop loop;
  const TestServer server;
  const auto client = MakeTestClient(loop, server.port, {.max_request_body_bytes = 1000, .max_header_list_bytes = 500});
  const Result<StreamResponse> result = client->Call(test.request, test.timeout);
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().verdict == Verdict::kNotRun);
  CHECK(result.error().code == test.code);
  CHECK(result.error().field == test.field);
}

struct QueueCase {
  StreamClientOptions options;
  int accepted;
};

// Guards against memory that grows while the peer does not answer.
TEST_CASE("requests beyond the limits of the queue are refused", "[transport]") {
  const auto test = GENERATE(values<QueueCase>({
      {{.max_queued_requests = 5}, 6},   // one on the stream, five that wait
      {{.max_request_bytes = 4000}, 4},  // bodies of 1,000 bytes
      {{.max_queued_requests = 5, .max_request_bytes = 3000}, 3},
  }));
  constexpr int kRequests = 50;
  EventLoop loop;
  HeldResponders held;
  const TestServer server(held.handler(), {.max_concurrent_streams = 1});
  std::atomic<int> overloaded{0};
  std::atomic<int> callbacks{0};
  {
    const auto client = MakeTestClient(loop, server.port, test.options);
    Countdown refused(kRequests - test.accepted);
    client->Send({.path = "/x", .headers = {}, .body = std::string(1000, 'x')}, kLongTimeout,
                 [&](const Result<StreamResponse>&) { callbacks.fetch_add(1); });
    // From here on the first request has its stream and no longer counts as waiting.
    held.WaitForCount(1);
    for (int i = 1; i < kRequests; ++i) {
      client->Send({.path = "/x", .headers = {}, .body = std::string(1000, 'x')}, kLongTimeout,
                   [&](const Result<StreamResponse>& result) {
                     callbacks.fetch_add(1);
                     if (result || result.error().code != FailureCode::kOverloaded) return;
                     overloaded.fetch_add(1);
                     refused.Decrement();
                   });
    }
    refused.Wait();
  }
  CHECK(overloaded.load() == kRequests - test.accepted);
  CHECK(callbacks.load() == kRequests);
}

struct AnswerLimitCase {
  StreamClientOptions options;
  FailureCode code;
};

// Guards against a peer that fills the client's memory.
TEST_CASE("answers beyond the client's limits fail and leave the connection usable", "[transport]") {
  const auto test = GENERATE(values<AnswerLimitCase>({
      {{.max_response_body_bytes = 9999}, FailureCode::kRefused},
      {{.max_response_bytes = 9999}, FailureCode::kOverloaded},
      {{.max_header_list_bytes = 300}, FailureCode::kRefused},
  }));
  EventLoop loop;
  MetricsRegistry metrics;
  const TestServer server([](const StreamRequest& request, const StreamServer::Responder& responder) {
    if (request.path == "/small") return responder({.status = 200, .headers = {}, .body = "ok"});
    responder({.status = 200, .headers = {{"x-a", std::string(400, 'a')}}, .body = std::string(10'000, 'x')});
  });
  StreamClientOptions options = test.options;
  options.metrics = &metrics;
  const auto client = MakeTestClient(loop, server.port, options);
  const Result<StreamResponse> large = client->Call({.path = "/large", .headers = {}, .body = {}}, kLongTimeout);
  REQUIRE_FALSE(large.has_value());
  CHECK(large.error().verdict == Verdict::kMayHaveRun);
  CHECK(large.error().code == test.code);
  const Result<StreamResponse> small = client->Call({.path = "/small", .headers = {}, .body = {}}, kLongTimeout);
  REQUIRE(small.has_value());
  CHECK(small->body == "ok");
  CHECK(metrics.GetCounter("berylgauge_transport_connections_opened_total", "", "side=\"client\"").value() == 1);
}

// Guards against callbacks that are lost, run twice or run after the destructor.
TEST_CASE("the destructor completes each pending callback exactly once", "[transport]") {
  const bool connected = GENERATE(true, false);
  constexpr int kRequests = 100;
  EventLoop loop;
  HeldResponders held;
  const TestServer server(held.handler(), {.max_concurrent_streams = 10});
  std::vector<int> calls(kRequests + 1);
  std::atomic<int> not_run{0};
  auto client = MakeTestClient(loop, server.port);
  for (int i = 0; i < kRequests; ++i) {
    client->Send({.path = "/x", .headers = {}, .body = "b"}, kLongTimeout,
                 [&, i](const Result<StreamResponse>& result) {
                   ++calls[i];
                   if (!result && result.error().verdict == Verdict::kNotRun) not_run.fetch_add(1);
                   // A retry from a callback is completed by the destructor as well.
                   if (i == 0) {
                     client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout,
                                  [&](const Result<StreamResponse>&) { ++calls[kRequests]; });
                   }
                 });
  }
  if (connected) held.WaitForCount(10);
  // reset() would make the pointer null before the callbacks use it.
  delete client.get();
  static_cast<void>(client.release());
  CHECK(calls == std::vector<int>(kRequests + 1, 1));
  if (connected) CHECK(not_run.load() == kRequests - 10);
}

// Guards against a crash when the last owner lets the client go inside a callback.
TEST_CASE("a client may be destroyed in its own callback", "[transport]") {
  EventLoop loop;
  const TestServer server;
  auto client = MakeTestClient(loop, server.port);
  std::atomic<int> failed{0};
  Countdown done(2);
  loop.RunSync([&] {
    client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout, [&](const Result<StreamResponse>&) {
      client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout, [&](const Result<StreamResponse>& result) {
        if (!result) failed.fetch_add(1);
        done.Decrement();
      });
      client.reset();
      done.Decrement();
    });
  });
  done.Wait();
  CHECK(failed.load() == 1);
}

// Guards against a client that stays dead, or that loses requests, after its peer was restarted.
TEST_CASE("a client reconnects after the server was restarted", "[transport]") {
  EventLoop loop;
  auto first = std::make_unique<TestServer>();
  const int port = first->port;
  const auto client = MakeTestClient(loop, port, {.reconnect_max_delay = absl::Milliseconds(50)});
  REQUIRE(client->Call({.path = "/x", .headers = {}, .body = "1"}, kLongTimeout).has_value());
  first.reset();
  const Result<StreamResponse> while_down = client->Call({.path = "/x", .headers = {}, .body = "2"}, kLongTimeout);
  REQUIRE_FALSE(while_down.has_value());
  CHECK(while_down.error().verdict == Verdict::kNotRun);
  const TestServer second(Echo, {}, port);
  Result<StreamResponse> result = NotRun(FailureCode::kInternal, "");
  const SystemClock clock;
  const MonotonicTime limit = clock.Now() + kLongTimeout;
  while (!result && clock.Now() < limit) {
    result = client->Call({.path = "/x", .headers = {}, .body = "3"}, kLongTimeout);
    if (!result) CHECK(result.error().verdict == Verdict::kNotRun);
  }
  REQUIRE(result.has_value());
  CHECK(result->body == "3");
}

constexpr absl::Duration kShort = absl::Milliseconds(300);
constexpr std::uint32_t kLargeWindow = 0x7fff0000;

struct BlockedCase {
  std::string name;
  std::uint32_t window;  ///< that the peer grants to each stream and to the connection in addition to the first
  absl::Duration keepalive_timeout;
  absl::Duration write_timeout;
};

// Guards against a writer that waits for ever for window credit, or for a socket that takes no more bytes.
TEST_CASE("a peer that does not read is given up", "[transport]") {
  const auto test = GENERATE(values<BlockedCase>({
      {"no window, keepalive", 0, kShort, kLongTimeout},
      {"full socket, keepalive", kLargeWindow, kShort, kLongTimeout},
      {"full socket, write timeout", kLargeWindow, kLongTimeout, kShort},
  }));
  INFO(test.name);
  constexpr int kRequests = 8;  // 32 MB, more than the socket buffers of both sides hold
  EventLoop loop;
  Countdown finished(1);
  RawPeer peer([&](RawConnection& connection) {
    connection.AcceptHandshake();
    if (test.window > 0) {
      const std::string initial_window_setting{'\0', '\4'};
      connection.Write(Frame(kSettingsFrame, 0, 0, initial_window_setting + Uint32(test.window)));
      connection.Write(Frame(kWindowUpdateFrame, 0, 0, Uint32(test.window)));
    }
    finished.Wait();
  });
  std::atomic<int> may_have_run{0};
  Countdown done(kRequests);
  const auto client = MakeTestClient(
      loop, peer.port(), {.keepalive_timeout = test.keepalive_timeout, .write_timeout = test.write_timeout});
  for (int i = 0; i < kRequests; ++i) {
    client->Send({.path = "/x", .headers = {}, .body = std::string(4'000'000, 'x')}, kLongTimeout,
                 [&](const Result<StreamResponse>& result) {
                   if (!result && result.error().verdict == Verdict::kMayHaveRun) may_have_run.fetch_add(1);
                   done.Decrement();
                 });
  }
  done.Wait();
  finished.Decrement();
  // Requests whose first byte never left the client are not run; the first one has been sent in each case.
  CHECK(may_have_run.load() >= 1);
}

// Guards against streams below the last stream id of a GOAWAY that are reported as not run, and the other way round.
TEST_CASE("GOAWAY separates processed from unprocessed streams", "[transport]") {
  constexpr int kRequests = 3;
  EventLoop loop;
  RawPeer peer([](RawConnection& connection) {
    const std::uint32_t first = AcceptRequest(connection);
    for (int i = 1; i < kRequests; ++i) connection.ReadUntilFrame(kHeadersFrame);
    connection.Write(Frame(kGoawayFrame, 0, 0, Uint32(first) + Uint32(0)));
    connection.Write(Frame(kHeadersFrame, kEndHeaders, first, ResponseHeaderBlock("5")));
    connection.Write(Frame(kDataFrame, kEndStream, first, "12345"));
    connection.ReadUntilClosed();
  });
  const auto client = MakeTestClient(loop, peer.port());
  std::atomic<int> answered{0};
  std::atomic<int> not_run{0};
  Countdown done(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    client->Send({.path = "/x", .headers = {}, .body = {}}, kLongTimeout, [&](const Result<StreamResponse>& result) {
      if (result && result->body == "12345") answered.fetch_add(1);
      if (!result && result.error().verdict == Verdict::kNotRun) not_run.fetch_add(1);
      done.Decrement();
    });
  }
  done.Wait();
  CHECK(answered.load() == 1);
  CHECK(not_run.load() == kRequests - 1);
}

// Guards against an informational answer that is taken for the final one.
TEST_CASE("informational answers are skipped", "[transport]") {
  EventLoop loop;
  RawPeer peer([](RawConnection& connection) {
    const std::uint32_t id = AcceptRequest(connection);
    connection.Write(Frame(kHeadersFrame, kEndHeaders, id,
                           "\x08\x03"
                           "103"));  // literal ":status: 103"
    connection.Write(Frame(kHeadersFrame, kEndHeaders, id, ResponseHeaderBlock("")));
    connection.Write(Frame(kDataFrame, kEndStream, id, "12345"));
    connection.ReadUntilClosed();
  });
  const auto client = MakeTestClient(loop, peer.port());
  const Result<StreamResponse> result = client->Call({.path = "/x", .headers = {}, .body = {}}, kLongTimeout);
  REQUIRE(result.has_value());
  CHECK(result->status == 200);
  CHECK(result->body == "12345");
}

struct OptionCase {
  StreamClientOptions options;
  std::string field;
};

// Guards against options that would fail later, far from their cause.
TEST_CASE("options out of range are refused", "[transport]") {
  const auto test = GENERATE(values<OptionCase>({
      {{.address = "localhost", .port = 1}, "address"},
      {{.address = "127.0.0.1", .port = 0}, "port"},
      {{.address = "127.0.0.1", .port = 65536}, "port"},
      {{.address = "127.0.0.1", .port = 1, .connect_timeout = absl::ZeroDuration()}, "connect_timeout"},
      {{.address = "127.0.0.1", .port = 1, .max_connections = 0}, "max_connections"},
      {{.address = "::1", .port = 1, .stream_window_bytes = 10}, "stream_window_bytes"},
  }));
  EventLoop loop;
  const auto client = MakeStreamClient(loop, test.options);
  REQUIRE_FALSE(client.has_value());
  CHECK(client.error().code == FailureCode::kInvalidArgument);
  CHECK(client.error().field == test.field);
}

}  // namespace
}  // namespace berylgauge
