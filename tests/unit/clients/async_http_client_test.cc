#include "clients/async_http_client.h"

#include <absl/time/clock.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "support/standin.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(5);

/// Sends a request and waits for the outcome.
Result<HttpResponse> SendAndWait(EventLoop& loop, AsyncHttpClient& client, const std::string& url) {
  std::optional<Result<HttpResponse>> outcome;
  loop.RunSync([&] {
    client.Send({.method = "POST", .url = url, .headers = {{"berylgauge-request-id", "r"}}}, "body", kTimeout,
                [&](Result<HttpResponse> response) { outcome = std::move(response); });
  });
  for (;;) {
    bool is_done = false;
    loop.RunSync([&] { is_done = outcome.has_value(); });
    if (is_done) return *outcome;
    absl::SleepFor(absl::Milliseconds(2));
  }
}

// Guards against a start that counts as not run, or is sent again unseen, when the connection that it reuses is closed
// before the answer (issue 28).
TEST_CASE("a call on a reused connection of the loop's client is sent once", "[http]") {
  Standin endpoint("standin_endpoint");
  EventLoop loop;
  std::unique_ptr<AsyncHttpClient> client;
  loop.RunSync([&] { client = std::make_unique<AsyncHttpClient>(loop); });
  const std::string url = "http://" + endpoint.Address() + "/orders";
  REQUIRE(SendAndWait(loop, *client, url).has_value());
  endpoint.SetFaults({{"lose_answers", 1}});
  const Result<HttpResponse> lost = SendAndWait(loop, *client, url);
  REQUIRE_FALSE(lost.has_value());
  CHECK(lost.error().verdict == Verdict::kMayHaveRun);
  const auto starts = endpoint.Events("request-start");
  REQUIRE(starts.size() == 2);
  CHECK(starts[0]["peer_port"] == starts[1]["peer_port"]);
  loop.RunSync([&] { client.reset(); });
}

}  // namespace
}  // namespace berylgauge
