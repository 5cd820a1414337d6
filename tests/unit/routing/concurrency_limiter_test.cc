#include "routing/concurrency_limiter.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "routing_fixtures.h"

namespace berylgauge {
namespace {

/// A server whose latency grows in proportion to the requests beyond `knee`.
struct Server {
  absl::Duration base = absl::Milliseconds(10);
  int knee = 40;

  absl::Duration LatencyAt(int in_progress) const { return base * std::max(1.0, 1.0 * in_progress / knee); }
};

/// Lets callers fill the limit, but at most `demand`, for `seconds`; each round of 50 ms is one batch.
void Load(ConcurrencyLimiter& limiter, const Server& server, int demand, int seconds, std::int64_t& ms) {
  for (const std::int64_t end = ms + std::int64_t{seconds} * 1000; ms < end; ms += 50) {
    int acquired = 0;
    while (acquired < demand && limiter.TryAcquire()) ++acquired;
    const absl::Duration latency = server.LatencyAt(acquired);
    for (int i = 0; i < acquired; ++i) limiter.Release(LoadSignal::kLatency, latency, At(ms));
  }
}

constexpr int kUnbounded = 1'000'000;

// Guards against a limit that follows the latency it causes, and against one that stays low for ever.
TEST_CASE("limit settles near the server's capacity and follows it", "[limiter]") {
  ConcurrencyLimiter limiter({}, At(0));
  Server server;
  std::int64_t ms = 0;
  Load(limiter, server, kUnbounded, 60, ms);
  CHECK(limiter.limit() >= 40);
  // Latency of twice the baseline is tolerated, and the limit swings by a window's increase around that.
  CHECK(limiter.limit() <= 120);
  SECTION("stays there for hours") {
    Load(limiter, server, kUnbounded, 3600, ms);
    CHECK(limiter.limit() >= 40);
    CHECK(limiter.limit() <= 120);
  }
  SECTION("falls with the capacity and recovers") {
    server.knee = 10;
    Load(limiter, server, kUnbounded, 30, ms);
    CHECK(limiter.limit() <= 40);
    server.knee = 40;
    Load(limiter, server, kUnbounded, 30, ms);
    CHECK(limiter.limit() >= 40);
  }
  SECTION("recovers after a lasting rise of the latency") {
    server.base = absl::Milliseconds(50);
    Load(limiter, server, kUnbounded, 60, ms);
    CHECK(limiter.limit() >= 40);
    CHECK(limiter.limit() <= 120);
  }
  SECTION("does not grow while it is unused") {
    const int limit = limiter.limit();
    Load(limiter, server, 5, 600, ms);
    CHECK(limiter.limit() <= limit + 12);
  }
}

// Guards against a check that would pass with a limit that never recovers: without probes the baseline stays low.
TEST_CASE("the check of recovery catches a limiter without probes", "[limiter]") {
  ConcurrencyLimiter limiter({.probe_interval = absl::InfiniteDuration()}, At(0));
  Server server;
  std::int64_t ms = 0;
  Load(limiter, server, kUnbounded, 60, ms);
  server.base = absl::Milliseconds(50);
  Load(limiter, server, kUnbounded, 60, ms);
  CHECK_FALSE(limiter.limit() >= 40);
}

// Guards against a server that is kept in overload because failed requests have no latency.
TEST_CASE("overload lowers the limit, other failures do not", "[limiter]") {
  ConcurrencyLimiter limiter({.initial_limit = 100, .min_limit = 4, .probe_interval = absl::InfiniteDuration()}, At(0));
  const LoadSignal signal = GENERATE(LoadSignal::kOverload, LoadSignal::kNone);
  for (int ms = 0; ms < 10'000; ms += 10) {
    REQUIRE(limiter.TryAcquire());
    limiter.Release(signal, absl::ZeroDuration(), At(ms));
  }
  CHECK(limiter.limit() == (signal == LoadSignal::kOverload ? 4 : 100));
}

// Guards against more requests in progress than the limit, and against a count that does not return to zero.
TEST_CASE("threads share the concurrency limit", "[limiter][threads]") {
  ConcurrencyLimiter limiter({.initial_limit = 3, .min_limit = 3, .max_limit = 3}, At(0));
  std::atomic<int> in_progress{0};
  std::atomic<bool> exceeded{false};
  std::vector<std::thread> threads;
  for (int i = 0; i < 5; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 5000; ++n) {
        if (!limiter.TryAcquire()) continue;
        if (in_progress.fetch_add(1) + 1 > 3) exceeded.store(true);
        in_progress.fetch_sub(1);
        limiter.Release(LoadSignal::kLatency, absl::Milliseconds(1), At(n));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK_FALSE(exceeded.load());
  CHECK(limiter.in_progress() == 0);
}

}  // namespace
}  // namespace berylgauge
