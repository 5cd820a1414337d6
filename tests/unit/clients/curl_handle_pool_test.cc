#include "clients/curl_handle_pool.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

const MonotonicTime kStart(absl::Seconds(1000));

// Guards against idle connections that pile up, and against reuse of one that the peer has probably closed.
TEST_CASE("idle handles are reused, limited and freed", "[http]") {
  CurlHandlePool pool({.max_idle_per_origin = 2, .max_idle_time = absl::Seconds(10)});
  CurlHandle first = pool.Acquire("http://a", kStart);
  CurlHandle second = pool.Acquire("http://a", kStart);
  CurlHandle third = pool.Acquire("http://a", kStart);
  const void* first_address = first.get();
  const void* second_address = second.get();
  pool.Release("http://a", std::move(first), kStart);
  pool.Release("http://a", std::move(second), kStart + absl::Seconds(5));
  pool.Release("http://a", std::move(third), kStart + absl::Seconds(5));
  CHECK(pool.IdleCount() == 2);

  SECTION("the handle used last is reused first") {
    CHECK(pool.Acquire("http://a", kStart + absl::Seconds(5)).get() == second_address);
    CHECK(pool.Acquire("http://a", kStart + absl::Seconds(5)).get() == first_address);
  }
  SECTION("another origin gets another handle") {
    CHECK(pool.Acquire("http://b", kStart + absl::Seconds(5)) != nullptr);
    CHECK(pool.IdleCount() == 2);
  }
  SECTION("a handle is not reused after the idle time") {
    CHECK(pool.Acquire("http://a", kStart + absl::Seconds(11)).get() == second_address);
    CHECK(pool.IdleCount() == 0);
  }
  SECTION("handles of an origin that is no longer used are freed") {
    pool.Release("http://b", pool.Acquire("http://b", kStart + absl::Seconds(30)), kStart + absl::Seconds(30));
    CHECK(pool.IdleCount() == 1);
  }
}

}  // namespace
}  // namespace berylgauge
