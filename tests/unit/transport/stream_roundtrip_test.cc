#include <rapidcheck.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "countdown.h"
#include "held_responders.h"
#include "test_endpoints.h"
#include "transport/header_rules.h"

namespace berylgauge {
namespace {

constexpr std::size_t kBodyLimit = std::size_t{4} * 1024 * 1024;

// Guards against bodies cut at a frame or window boundary.
TEST_CASE("an answer carries the body and headers of its request", "[transport]") {
  const std::size_t size = GENERATE(0, 1, 16383, 16384, 16385, 65535, 65536, 262145, 1048577, kBodyLimit);
  EventLoop loop;
  const TestServer server;
  const auto client = MakeTestClient(loop, server.port);
  const Result<StreamResponse> result =
      client->Call({.path = "/internal/echo", .headers = {{"x-id", "7"}}, .body = MakeBody(size, 3)}, kLongTimeout);
  REQUIRE(result.has_value());
  CHECK(result->status == 200);
  CHECK((result->body == MakeBody(size, 3)));
  CHECK((result->headers == HeaderList{{"x-id", "7"}}));
}

// Guards against answers that reach the wrong request when many streams are interleaved.
TEST_CASE("many concurrent streams with different sizes keep their own answers", "[transport]") {
  constexpr int kRequests = 600;
  EventLoop loop;
  MetricsRegistry metrics;
  const TestServer server(Echo, {.loops = 2});
  const auto client = MakeTestClient(
      loop, server.port,
      {.max_concurrent_streams = 100, .max_response_bytes = std::size_t{256} * 1024 * 1024, .metrics = &metrics});
  std::atomic<int> correct{0};
  Countdown done(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    const std::size_t size = i % 100 == 99 ? std::size_t{1024} * 1024 : static_cast<std::size_t>(i) * 37 % 20'000;
    client->Send(
        {.path = "/internal/echo", .headers = {{"x-id", std::to_string(i)}}, .body = MakeBody(size, i)}, kLongTimeout,
        [&, i, size](const Result<StreamResponse>& result) {
          if (result && result->headers.back().second == std::to_string(i) && result->body == MakeBody(size, i)) {
            correct.fetch_add(1);
          }
          done.Decrement();
        });
  }
  done.Wait();
  CHECK(correct.load() == kRequests);
  CHECK(metrics.GetCounter("berylgauge_transport_streams_completed_total", "", "side=\"client\"").value() == kRequests);
  CHECK(metrics.GetCounter("berylgauge_transport_connections_opened_total", "", "side=\"client\"").value() == 1);
}

// Guards against requests that wait although another connection could carry them.
TEST_CASE("a client opens further connections when the streams of the others are used up", "[transport]") {
  constexpr int kConnections = 3;
  constexpr int kStreamsPerConnection = 2;
  constexpr int kRequests = kConnections * kStreamsPerConnection;
  EventLoop loop;
  MetricsRegistry metrics;
  HeldResponders held;
  const TestServer server(held.handler(), {.max_concurrent_streams = kStreamsPerConnection});
  const auto client = MakeTestClient(loop, server.port, {.max_connections = kConnections, .metrics = &metrics});
  std::atomic<int> answered{0};
  Countdown done(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    client->Send({.path = "/p", .headers = {}, .body = {}}, kLongTimeout, [&](const Result<StreamResponse>& result) {
      if (result) answered.fetch_add(1);
      done.Decrement();
    });
  }
  held.WaitForCount(kRequests);
  held.AnswerAll({.status = 200, .headers = {}, .body = {}});
  done.Wait();
  CHECK(answered.load() == kRequests);
  CHECK(metrics.GetCounter("berylgauge_transport_connections_opened_total", "", "side=\"client\"").value() ==
        kConnections);
}

// Guards against races between callers' threads, and between responders' threads and the loop.
TEST_CASE("64 threads may call at once and answers may come from other threads", "[transport]") {
  constexpr int kThreads = 64;
  constexpr int kCallsPerThread = 25;
  EventLoop loop;
  const TestServer server(
      [](StreamRequest request, const StreamServer::Responder& responder) {
        std::thread([request = std::move(request), responder]() mutable {
          Echo(std::move(request), responder);
        }).detach();
      },
      {.loops = 2});
  const auto client = MakeTestClient(loop, server.port);
  std::atomic<int> correct{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < kCallsPerThread; ++i) {
        const std::string body = std::to_string(t) + "/" + std::to_string(i);
        const Result<StreamResponse> result = client->Call({.path = "/p", .headers = {}, .body = body}, kLongTimeout);
        if (result && result->body == body) correct.fetch_add(1);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(correct.load() == kThreads * kCallsPerThread);
}

// Guards against requests that one side accepts and the other changes or rejects.
TEST_CASE("every valid request comes back unchanged", "[transport][property]") {
  EventLoop loop;
  const TestServer server;
  const auto client = MakeTestClient(loop, server.port);
  CHECK(rc::check("echo", [&] {
    const auto name_text = rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z')));
    const auto value_text = rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~'));
    StreamRequest request;
    request.path = "/" + *name_text;
    request.body = *rc::gen::arbitrary<std::string>();
    const int count = *rc::gen::inRange(0, 8);
    for (int i = 0; i < count; ++i) request.headers.emplace_back("x-" + *name_text, *value_text);
    const Result<StreamResponse> result = client->Call(request, kLongTimeout);
    RC_ASSERT(result.has_value());
    RC_ASSERT(result->body == request.body);
    RC_ASSERT(result->headers == request.headers);
  }));
}

// Guards against a callback that cannot use the client, which retries need.
TEST_CASE("a callback may send again", "[transport]") {
  constexpr int kRounds = 50;
  EventLoop loop;
  const TestServer server;
  const auto client = MakeTestClient(loop, server.port);
  Countdown done(1);
  int rounds = 0;
  std::function<void()> send = [&] {
    client->Send({.path = "/p", .headers = {}, .body = "x"}, kLongTimeout, [&](const Result<StreamResponse>& result) {
      if (result && ++rounds < kRounds) {
        send();
      } else {
        done.Decrement();
      }
    });
  };
  send();
  done.Wait();
  CHECK(rounds == kRounds);
}

}  // namespace
}  // namespace berylgauge
