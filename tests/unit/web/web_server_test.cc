#include "web/web_server.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "raw_client.h"
#include "test_server.h"

namespace berylgauge {
namespace {

constexpr std::size_t kMaxBody = 1000;

// Guards against fields that handlers receive in another form than the interface says.
TEST_CASE("a handler receives the whole request", "[web]") {
  TestServer server;
  RawClient client(server.port(), "127.0.0.7");
  client.Send(
      Request("/a%20b/c?d=%41&e", "X-Name:  value \r\nx-name: second\r\nEmpty:\r\nContent-Length: 3\r\n", "", "POST"));
  client.Send(std::string("\0\r\n", 3));
  const std::optional<RawResponse> response = client.Read();
  REQUIRE(response.has_value());
  CHECK(response->status == 200);
  const WebRequest request = server.Requests().at(0);
  CHECK(request.method == "POST");
  CHECK(request.path == "/a b/c");
  CHECK(request.query == "d=%41&e");
  CHECK(request.target == "/a%20b/c?d=%41&e");
  CHECK(request.body == std::string("\0\r\n", 3));
  CHECK(request.peer == "127.0.0.7");
  CHECK(request.Header("x-name") == "value");
  CHECK(request.Header("empty").empty());
  CHECK(request.Header("absent").empty());
  CHECK(request.headers.size() == 5);
}

TEST_CASE("pipelined requests are answered in order on one connection", "[web]") {
  TestServer server;
  RawClient client(server.port());
  client.Send("\r\n" + Request("/1") + Request("/2", "Content-Length: 2\r\n", "ab", "POST") + Request("/3") +
              Request("/4", "", "", "HEAD") + Request("/5", "Connection: close\r\n"));
  CHECK(client.Read().value().body == "/1");
  CHECK(client.Read().value().body == "/2");
  CHECK(client.Read().value().body == "/3");
  CHECK(client.Read(false).value().HasHeader("content-length: 2"));
  CHECK(client.Read().value().body == "/5");
  CHECK(client.ReadsEnd());
}

struct BodyCase {
  std::string header_lines;
  std::string body;
  int status;
};

// Guards against a limit that is off by one, and against bodies that are cut without an error.
TEST_CASE("bodies up to the limit are accepted", "[web]") {
  const auto test = GENERATE(values<BodyCase>({
      {"Content-Length: 0\r\n", "", 200},
      {"Content-Length: 1000\r\n", std::string(1000, 'x'), 200},
      {"Content-Length: 1001\r\n", std::string(1001, 'x'), 413},
      {"Transfer-Encoding: chunked\r\n", "3e8\r\n" + std::string(1000, 'x') + "\r\n0\r\n\r\n", 200},
      {"Transfer-Encoding: CHUNKED\r\n", "1\r\nx\r\n3e7\r\n" + std::string(999, 'x') + "\r\n0\r\n\r\n", 200},
      {"Transfer-Encoding: chunked\r\n", "3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\nx\r\n0\r\n\r\n", 413},
  }));
  CAPTURE(test.header_lines);
  TestServer server({.max_body_bytes = kMaxBody});
  RawClient client(server.port());
  client.Send(Request("/x", test.header_lines, test.body, "POST"));
  CHECK(client.Read().value().status == test.status);
  CHECK(server.Requests().size() == (test.status == 200 ? 1 : 0));
}

// Guards against a client that waits for leave to send its body.
TEST_CASE("Expect: 100-continue is answered before the body", "[web]") {
  TestServer server({.max_body_bytes = kMaxBody});
  RawClient client(server.port());
  client.Send(Request("/x", "Content-Length: 2\r\nExpect: 100-continue\r\n", "", "POST"));
  CHECK(client.Read().value().status == 100);
  client.Send("ab");
  CHECK(client.Read().value().body == "/x");
}

struct ResponseCase {
  WebResponse response;
  int status;
  std::string header;  ///< line that must be present; empty for none
  std::string absent;  ///< text that must not be in the head
};

// Guards against responses of handlers that break the framing of the connection or add headers for the peer.
TEST_CASE("responses keep the framing of the connection", "[web]") {
  const auto test = GENERATE(values<ResponseCase>({
      {{.status = 200, .headers = {{"X-A", "b"}}, .body = "ok"}, 200, "x-a: b", "connection: close"},
      {{.status = 204, .headers = {}, .body = "ignored"}, 204, "", "ignored"},
      {{.status = 304, .headers = {}, .body = "ignored"}, 304, "", "ignored"},
      {{.status = 200, .headers = {{"X-A", "b\r\nX-Evil: c"}}, .body = "ok"}, 200, "", "x-evil"},
      {{.status = 200, .headers = {{"X-A\r\nX-Evil", "c"}}, .body = "ok"}, 200, "", "x-evil"},
      {{.status = 200, .headers = {{"Content-Length", "99"}}, .body = "ok"}, 200, "content-length: 2", "99"},
      {{.status = 200, .headers = {{"transfer-encoding", "chunked"}}, .body = "ok"}, 200, "", "chunked"},
      {{.status = 200, .headers = {{"Connection", "upgrade"}}, .body = "ok"}, 200, "", "upgrade"},
      {{.status = 101, .headers = {}, .body = {}}, 500, "content-type: application/json", ""},
      {{.status = 0, .headers = {}, .body = {}}, 500, "content-type: application/json", ""},
      {{.status = 1000, .headers = {}, .body = {}}, 500, "content-type: application/json", ""},
  }));
  CAPTURE(test.response.status, test.header, test.absent);
  TestServer server;
  RawClient client(server.port());
  client.Send(Request("/wait"));
  server.NextWaiting().responder(test.response);
  const std::optional<RawResponse> response = client.Read();
  REQUIRE(response.has_value());
  CHECK(response->status == test.status);
  if (!test.header.empty()) CHECK(response->HasHeader(test.header));
  if (!test.absent.empty()) CHECK(response->head.find(test.absent) == std::string::npos);
  client.Send(Request("/next"));
  CHECK(client.Read().value().body == "/next");
}

// Guards against a connection that hangs because its handler failed.
TEST_CASE("a responder that is dropped answers 500 with an unknown outcome", "[web]") {
  TestServer server;
  RawClient client(server.port());
  client.Send(Request("/wait"));
  { const TestServer::Waiting dropped = server.NextWaiting(); }
  const std::optional<RawResponse> response = client.Read();
  REQUIRE(response.has_value());
  CHECK(response->status == 500);
  CHECK(response->HasHeader("berylgauge-verdict: may-have-run"));
}

TEST_CASE("an exception of a handler answers 500 with an unknown outcome", "[web]") {
  const std::unique_ptr<WebServer> server = MakeWebServer();
  const Result<int> port = server->Start({.address = "127.0.0.1"}, [](const WebRequest&, const WebServer::Responder&) {
    throw std::runtime_error("fault of a test");
  });
  RawClient client(port.value());
  client.Send(Request("/x"));
  const std::optional<RawResponse> response = client.Read();
  REQUIRE(response.has_value());
  CHECK(response->status == 500);
  CHECK(response->HasHeader("berylgauge-verdict: may-have-run"));
  CHECK(response->body.find("fault of a test") == std::string::npos);
  server->Stop();
}

// Guards against a second answer that reaches the next request of the connection.
TEST_CASE("only the first answer counts", "[web]") {
  TestServer server;
  RawClient client(server.port());
  client.Send(Request("/wait/1") + Request("/wait/2"));
  const TestServer::Waiting first = server.NextWaiting();
  first.responder({.status = 200, .headers = {}, .body = "first"});
  first.responder({.status = 200, .headers = {}, .body = "again"});
  const TestServer::Waiting second = server.NextWaiting();
  first.responder({.status = 200, .headers = {}, .body = "late"});
  second.responder({.status = 200, .headers = {}, .body = "second"});
  CHECK(client.Read().value().body == "first");
  CHECK(client.Read().value().body == "second");
}

// Guards against a thread that is held by each open request, and against answers that reach the wrong connection.
TEST_CASE("many open requests need no thread each and get their own answer", "[web]") {
  constexpr int kConnections = 300;
  TestServer server({.threads = 2});
  std::vector<RawClient> clients;
  for (int i = 0; i < kConnections; ++i) {
    clients.emplace_back(server.port());
    REQUIRE(clients.back().Send(Request("/wait/" + std::to_string(i))));
  }
  std::vector<TestServer::Waiting> waiting;
  for (int i = 0; i < kConnections; ++i) waiting.push_back(server.NextWaiting());
  CHECK(server.server().OpenRequests() == kConnections);
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&waiting, t] {
      for (int i = kConnections - 1 - t; i >= 0; i -= 4) {
        waiting[i].responder({.status = 200, .headers = {}, .body = waiting[i].request.path});
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  for (int i = 0; i < kConnections; ++i) CHECK(clients[i].Read().value().body == "/wait/" + std::to_string(i));
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
}

// Guards against races between the listener threads and callers that come and go.
TEST_CASE("connections from many threads are served", "[web]") {
  TestServer server({.threads = 3});
  std::atomic<int> wrong{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < 8; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < 25; ++i) {
        RawClient client(server.port());
        for (int k = 0; k < 4; ++k) {
          const std::string path = "/" + std::to_string(t) + "/" + std::to_string(i) + "/" + std::to_string(k);
          client.Send(Request(path));
          const std::optional<RawResponse> response = client.Read();
          if (!response || response->body != path) ++wrong;
        }
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(wrong == 0);
}

// Guards against a crash or a leak when the caller has gone before the answer.
TEST_CASE("a caller may disconnect while its request is open", "[web]") {
  constexpr int kConnections = 20;
  const bool with_reset = GENERATE(true, false);
  CAPTURE(with_reset);
  TestServer server;
  std::vector<TestServer::Waiting> waiting;
  for (int i = 0; i < kConnections; ++i) {
    RawClient client(server.port());
    client.Send(Request("/wait"));
    waiting.push_back(server.NextWaiting());
    if (with_reset) {
      client.Reset();
    } else {
      client.Close();
    }
  }
  CHECK(server.server().OpenRequests() == kConnections);
  for (TestServer::Waiting& one : waiting) {
    one.responder({.status = 200, .headers = {}, .body = std::string(100000, 'x')});
  }
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
  for (TestServer::Waiting& one : waiting) one.responder({.status = 200, .headers = {}, .body = "late"});
  RawClient client(server.port());
  client.Send(Request("/after"));
  CHECK(client.Read().value().body == "/after");
}

// Guards against requests that count as open for ever because their peer left in the middle of them.
TEST_CASE("a peer may disconnect in the middle of a request", "[web]") {
  const std::string part = GENERATE(values<std::string>({
      "GE",
      "GET /x HTTP/1.1\r\nHos",
      "POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nabc",
      "POST /x HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
  }));
  const bool with_reset = GENERATE(true, false);
  CAPTURE(part, with_reset);
  // The library notices a clean end in the middle of a body only through the idle time-out.
  TestServer server({.idle_timeout_s = 1});
  RawClient client(server.port());
  client.Send(part);
  if (with_reset) {
    client.Reset();
  } else {
    client.Close();
  }
  RawClient next(server.port());
  next.Send(Request("/after"));
  CHECK(next.Read().value().body == "/after");
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
  CHECK(server.Requests().size() == 1);
}

// Guards against peers that occupy threads or connections by sending nothing or little.
TEST_CASE("slow and silent peers delay nobody and are cut off", "[web]") {
  constexpr int kPeers = 40;
  TestServer server({.threads = 2, .idle_timeout_s = 1, .transfer_timeout_s = 1});
  const std::string part = GENERATE(values<std::string>({
      "",
      "GET /x HTTP/1.1\r\nHost: te",
      "POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: 1000\r\n\r\nabc",
  }));
  CAPTURE(part);
  std::vector<RawClient> peers;
  for (int i = 0; i < kPeers; ++i) {
    peers.emplace_back(server.port());
    peers.back().Send(part);
  }
  RawClient client(server.port());
  client.Send(Request("/meanwhile"));
  CHECK(client.Read().value().body == "/meanwhile");
  for (RawClient& peer : peers) CHECK(peer.ReadsEnd());
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
  CHECK(server.Requests().size() == 1);
}

// Guards against peers that send a byte now and then, which restarts the idle time-out each time.
TEST_CASE("a peer that drips its request is cut off", "[web]") {
  const std::string start = GENERATE(values<std::string>({
      "GET /x HTTP/1.1\r\nHost: test\r\nX: ",
      "POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: 1000\r\n\r\n",
  }));
  CAPTURE(start);
  TestServer server({.idle_timeout_s = 1, .transfer_timeout_s = 1});
  RawClient peer(server.port());
  peer.Send(start);
  int drips = 0;
  for (; drips < 200 && !peer.HasInput(std::chrono::milliseconds(100)); ++drips) peer.Send("x");
  CHECK(drips < 200);
  CHECK(peer.ReadsEnd());
  CHECK(server.Requests().empty());
}

// Guards against a reader so slow that its answer is held in memory for ever.
TEST_CASE("a peer that takes its answer too slowly is cut off", "[web]") {
  TestServer server({.idle_timeout_s = 1, .transfer_timeout_s = 1});
  RawClient peer(server.port());
  peer.Send(Request("/wait"));
  server.NextWaiting().responder({.status = 200, .headers = {}, .body = std::string(64 << 20, 'x')});
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
  CHECK_FALSE(peer.Read().has_value());
}

// Guards against time-outs of the peer that cut off a request because its handler takes long.
TEST_CASE("an open request is not subject to the time-outs of the peer", "[web]") {
  TestServer server({.idle_timeout_s = 1, .transfer_timeout_s = 1});
  RawClient client(server.port());
  client.Send(Request("/wait"));
  const TestServer::Waiting waiting = server.NextWaiting();
  // A silent second connection shows when the time-outs have passed.
  RawClient silent(server.port());
  CHECK(silent.ReadsEnd());
  RawClient dripping(server.port());
  while (!dripping.HasInput(std::chrono::milliseconds(100))) dripping.Send("\r\n");
  CHECK_FALSE(client.HasInput(std::chrono::milliseconds(0)));
  waiting.responder({.status = 200, .headers = {}, .body = "late but whole"});
  CHECK(client.Read().value().body == "late but whole");
}

// Guards against one peer that takes all connections.
TEST_CASE("connections of one peer are limited", "[web]") {
  TestServer server({.max_connections_per_peer = 2});
  RawClient first(server.port());
  RawClient second(server.port());
  for (RawClient* client : {&first, &second}) {
    client->Send(Request("/x"));
    CHECK(client->Read().value().status == 200);
  }
  RawClient third(server.port());
  CHECK(third.ReadsEnd());
  RawClient other(server.port(), "127.0.0.2");
  other.Send(Request("/other"));
  CHECK(other.Read().value().body == "/other");
  first.Close();
  CHECK(Eventually([&] {
    RawClient next(server.port());
    next.Send(Request("/next"));
    const std::optional<RawResponse> response = next.Read();
    return response && response->body == "/next";
  }));
}

// Guards against more connections than the process has room for.
TEST_CASE("connections in total are limited", "[web]") {
  const int threads = GENERATE(1, 2, 4);
  CAPTURE(threads);
  TestServer server({.threads = threads, .max_connections = 2});
  RawClient first(server.port());
  RawClient second(server.port());
  for (RawClient* client : {&first, &second}) {
    client->Send(Request("/x"));
    CHECK(client->Read().value().status == 200);
  }
  RawClient third(server.port());
  third.Send(Request("/third"));
  CHECK_FALSE(third.HasInput(std::chrono::milliseconds(200)));
  CHECK(server.Requests().size() == 2);
  first.Close();
  CHECK(third.Read().value().body == "/third");
}

// Guards against a connection that is admitted in place of a closed one and then refused by the library, which counts
// the closed one for a moment longer.
TEST_CASE("a connection that waits for a place is served when another one closes", "[web]") {
  constexpr int kRounds = 300;
  const int threads = GENERATE(1, 2, 4);
  CAPTURE(threads);
  TestServer server({.threads = threads, .max_connections = 1});
  std::optional<RawClient> present(std::in_place, server.port());
  present->Send(Request("/first"));
  REQUIRE(present->Read().has_value());
  int unserved = 0;
  for (int round = 0; round < kRounds; ++round) {
    RawClient next(server.port());
    const std::string path = "/" + std::to_string(round);
    next.Send(Request(path));
    present.reset();
    const std::optional<RawResponse> response = next.Read();
    if (!response || response->body != path) ++unserved;
    present.emplace(std::move(next));
  }
  CHECK(unserved == 0);
}

// Guards against a planned stop that interrupts requests or goes on accepting work.
TEST_CASE("shutdown finishes open requests and accepts no connection", "[web]") {
  TestServer server;
  RawClient open(server.port());
  open.Send(Request("/wait"));
  const TestServer::Waiting waiting = server.NextWaiting();
  RawClient idle(server.port());
  idle.Send(Request("/before"));
  CHECK_FALSE(idle.Read().value().HasHeader("connection: close"));
  RawClient partial(server.port());
  partial.Send("POST /partial HTTP/1.1\r\nHost: test\r\nContent-Length: 2\r\n\r\na");
  CHECK(Eventually([&] { return server.server().OpenRequests() == 2; }));

  server.server().BeginShutdown();
  server.server().BeginShutdown();
  CHECK_FALSE(RawClient(server.port()).is_connected());
  idle.Send(Request("/after"));
  const std::optional<RawResponse> after = idle.Read();
  REQUIRE(after.has_value());
  CHECK(after->body == "/after");
  CHECK(after->HasHeader("connection: close"));
  CHECK(idle.ReadsEnd());
  partial.Send("b");
  const std::optional<RawResponse> rest = partial.Read();
  REQUIRE(rest.has_value());
  CHECK(rest->HasHeader("connection: close"));
  CHECK(Eventually([&] { return server.server().OpenRequests() == 1; }));
  waiting.responder({.status = 200, .headers = {}, .body = "finished"});
  const std::optional<RawResponse> finished = open.Read();
  REQUIRE(finished.has_value());
  CHECK(finished->body == "finished");
  CHECK(finished->HasHeader("connection: close"));
  CHECK(open.ReadsEnd());
  CHECK(Eventually([&] { return server.server().OpenRequests() == 0; }));
  server.server().Stop();
}

// Guards against a crash of a stop that does not wait for the open requests.
TEST_CASE("stop with open requests neither crashes nor waits", "[web]") {
  TestServer server;
  std::vector<RawClient> clients;
  std::vector<TestServer::Waiting> waiting;
  for (int i = 0; i < 10; ++i) {
    clients.emplace_back(server.port());
    clients.back().Send(Request("/wait"));
    waiting.push_back(server.NextWaiting());
  }
  server.server().Stop();
  for (RawClient& client : clients) {
    const std::optional<RawResponse> response = client.Read();
    // The answer is sent if there is time; in any case the outcome is never reported as "not run".
    if (response) CHECK(response->HasHeader("berylgauge-verdict: may-have-run"));
  }
  for (const TestServer::Waiting& one : waiting) one.responder({.status = 200, .headers = {}, .body = "late"});
  server.server().Stop();
}

// Guards against races between a stop and requests that arrive, or answers that are given, at the same time.
TEST_CASE("stop during traffic neither crashes nor hangs", "[web]") {
  for (int round = 0; round < 20; ++round) {
    TestServer server({.threads = 3});
    std::atomic<bool> done{false};
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&server, &done, t] {
        while (!done) {
          RawClient client(server.port());
          if (!client.Send(Request(t % 2 == 0 ? "/x" : "/wait"))) continue;
          if (t % 2 == 0) client.Read();
        }
      });
    }
    std::vector<TestServer::Waiting> waiting;
    for (int i = 0; i < 5; ++i) waiting.push_back(server.NextWaiting());
    std::thread answering([&waiting] {
      for (const TestServer::Waiting& one : waiting) one.responder({.status = 200, .headers = {}, .body = "x"});
    });
    server.server().Stop();
    done = true;
    answering.join();
    for (std::thread& thread : threads) thread.join();
  }
}

TEST_CASE("start reports an address that cannot be used", "[web]") {
  const std::string address = GENERATE(values<std::string>({"", "localhost", "127.0.0.1 ", "192.0.2.1", "::ffff"}));
  CAPTURE(address);
  const std::unique_ptr<WebServer> server = MakeWebServer();
  const Result<int> port = server->Start({.address = address}, [](const WebRequest&, const WebServer::Responder&) {});
  REQUIRE_FALSE(port.has_value());
  CHECK(port.error().field == "address");
  server->Stop();
}

TEST_CASE("start reports a port that is in use", "[web]") {
  TestServer first;
  const std::unique_ptr<WebServer> second = MakeWebServer();
  const Result<int> port = second->Start({.address = "127.0.0.1", .port = first.port()},
                                         [](const WebRequest&, const WebServer::Responder&) {});
  REQUIRE_FALSE(port.has_value());
  CHECK(port.error().code == FailureCode::kUnavailable);
}

}  // namespace
}  // namespace berylgauge
