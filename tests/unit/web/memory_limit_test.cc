#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "raw_client.h"
#include "test_server.h"
#include "web/request_memory.h"

namespace berylgauge {
namespace {

constexpr std::size_t kBudget = 4'000'000;
constexpr std::size_t kBody = 500'000;

std::string UnfinishedBody() {
  return Request("/x", "Content-Length: " + std::to_string(kBody) + "\r\n", std::string(kBody - 1, 'x'), "POST");
}

// Guards against stalled bodies that fill the memory, and against a rejection that does not say that nothing has run.
TEST_CASE("stalled bodies are closed for other requests", "[request-memory]") {
  const auto memory = std::make_shared<RequestMemory>(kBudget);
  TestServer server({.memory = memory});
  std::vector<RawClient> crowd;
  for (int i = 0; i < 10; ++i) {
    crowd.emplace_back(server.port());
    crowd.back().Send(UnfinishedBody());
    RawClient client(server.port());
    client.Send(Request("/meanwhile", "Connection: close\r\n"));
    CHECK(client.Read().value().body == "/meanwhile");
    // Connections that are being closed hold their header blocks for a moment longer.
    CHECK(memory->used_bytes() <= kBudget + kBudget / 4);
  }
  int rejected = 0;
  for (RawClient& client : crowd) {
    if (!client.HasInput(std::chrono::milliseconds(200))) continue;
    const std::optional<RawResponse> response = client.Read();
    // A reset can destroy the rejection.
    if (!response) continue;
    CHECK(response->status == 503);
    CHECK(response->HasHeader("berylgauge-verdict: not-run"));
    CHECK(response->HasHeader("retry-after: 1"));
    ++rejected;
  }
  CHECK(rejected > 0);
  CHECK(server.Requests().size() == 10);
  crowd.clear();
  CHECK(Eventually([&] { return memory->used_bytes() == 0; }));
}

// Guards against a request that is closed after the handler has received it, which would hide whether it has run.
TEST_CASE("dispatched requests survive and new connections are rejected", "[request-memory]") {
  const auto memory = std::make_shared<RequestMemory>(1'300'000);
  TestServer server({.memory = memory});
  RawClient open(server.port());
  open.Send(Request("/wait", "Content-Length: 550000\r\n", std::string(550'000, 'x'), "POST"));
  const TestServer::Waiting waiting = server.NextWaiting();
  CHECK(waiting.request.body.size() == 550'000);
  RawClient rejected(server.port());
  CHECK(rejected.Read().value().status == 503);
  waiting.responder({.status = 200, .headers = {}, .body = "done"});
  CHECK(open.Read().value().body == "done");
  // The client can have the response before the listener has noted that it was sent.
  CHECK(Eventually([&] { return memory->used_bytes() < 550'000; }));
  RawClient next(server.port());
  next.Send(Request("/next"));
  CHECK(next.Read().value().body == "/next");
}

// Guards against silent peers that take all places of a listener until their time-out.
TEST_CASE("idle connections give their place to new ones", "[request-memory]") {
  const int threads = GENERATE(1, 3);
  CAPTURE(threads);
  const auto memory = std::make_shared<RequestMemory>(100'000'000);
  TestServer server({.threads = threads, .max_connections = 8, .memory = memory});
  std::vector<RawClient> crowd;
  for (int i = 0; i < 40; ++i) {
    crowd.emplace_back(server.port());
    crowd.back().Send("GET /x HTTP/1.1\r\nHos");
  }
  RawClient client(server.port());
  client.Send(Request("/meanwhile"));
  CHECK(client.Read().value().body == "/meanwhile");
}

// Guards against responses that pile up for peers that read nothing.
TEST_CASE("a response counts until its peer has taken it", "[request-memory]") {
  constexpr std::size_t kResponse = 32 << 20;
  const auto memory = std::make_shared<RequestMemory>(std::size_t{100} << 20);
  TestServer server({.memory = memory});
  RawClient client(server.port());
  client.Send(Request("/wait"));
  server.NextWaiting().responder({.status = 200, .headers = {}, .body = std::string(kResponse, 'x')});
  CHECK(Eventually([&] { return memory->used_bytes() > kResponse; }));
  CHECK(client.Read().value().body.size() == kResponse);
  CHECK(Eventually([&] { return memory->used_bytes() < kResponse; }));
}

// Guards against a body that is held while the rest of it is discarded, and against one that drips for ever.
TEST_CASE("bodies over the limit are not kept, and slow ones are cut off", "[request-memory]") {
  const auto memory = std::make_shared<RequestMemory>(kBudget);
  TestServer server({.max_body_bytes = kBody, .body_timeout_s = 1, .memory = memory});
  RawClient client(server.port());
  client.Send("POST /x HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n7a120\r\n" +
              std::string(kBody, 'x'));
  CHECK(Eventually([&] { return memory->used_bytes() > 2 * kBody; }));
  client.Send("\r\n1\r\nx");
  CHECK(Eventually([&] { return memory->used_bytes() < kBody; }));
  CHECK(client.ReadsEnd());
  CHECK(Eventually([&] { return memory->used_bytes() == 0; }));
}

}  // namespace
}  // namespace berylgauge
