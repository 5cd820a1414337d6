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
Result<HttpResponse> SendAndWait(EventLoop& loop, AsyncHttpClient& client, const std::string& url,
                                 const ConnectionRule& connections = {}, const std::string& body = "body") {
  std::optional<Result<HttpResponse>> outcome;
  loop.RunSync([&] {
    client.Send({.method = "POST", .url = url, .headers = {{"berylgauge-request-id", "r"}}, .connections = connections},
                body, kTimeout, [&](Result<HttpResponse> response) { outcome = std::move(response); });
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

void CheckNotSent(const Result<HttpResponse>& answer) {
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().code == FailureCode::kRefused);
  CHECK(answer.error().verdict == Verdict::kNotRun);
}

// Guards against a call that goes out on a connection that its rule does not allow.
TEST_CASE("a call goes out only on a connection that its rule allows", "[http]") {
  Standin endpoint("standin_endpoint");
  EventLoop loop;
  std::unique_ptr<AsyncHttpClient> client;
  loop.RunSync([&] { client = std::make_unique<AsyncHttpClient>(loop); });
  const std::string url = "http://" + endpoint.Address() + "/orders";
  CheckNotSent(SendAndWait(loop, *client, url, {.may_open = false}));
  std::optional<bool> was_new;
  const Result<HttpResponse> opened = SendAndWait(loop, *client, url, {.may_use = [&](int, bool is_new) {
                                                    was_new = is_new;
                                                    return true;
                                                  }});
  REQUIRE(opened.has_value());
  CHECK(was_new == true);
  const Result<HttpResponse> reused =
      SendAndWait(loop, *client, url, {.may_open = false, .may_use = [&](int, bool is_new) {
                                         was_new = is_new;
                                         return true;
                                       }});
  REQUIRE(reused.has_value());
  CHECK(was_new == false);
  CHECK(reused->local_port == opened->local_port);
  CheckNotSent(SendAndWait(loop, *client, url, {.may_open = true, .may_use = [](int, bool) { return false; }}));
  CHECK(endpoint.Events("request-start").size() == 2);
  loop.RunSync([&] { client.reset(); });
}

struct Ending {
  const char* name;
  const char* control;  ///< control call that ends the connections
};

// Guards against a stand-in whose connections outlive its worker, which those of a real process do not.
TEST_CASE("a stand-in worker's connections end with its life, and a control call's stays", "[http]") {
  const Ending ending =
      GENERATE(Ending{"the worker dies", "rebirth"}, Ending{"connections are closed", "close-connections"});
  CAPTURE(ending.name);
  Standin worker("standin_leased_worker", {"--id=w", "--agent=127.0.0.1:1"});
  EventLoop loop;
  std::unique_ptr<AsyncHttpClient> client;
  loop.RunSync([&] { client = std::make_unique<AsyncHttpClient>(loop); });
  const std::string origin = "http://" + worker.Address();
  const std::string lists = R"({"fence_token":1,"last_seen":0})";
  REQUIRE(SendAndWait(loop, *client, origin + "/v1/hold", {}, lists).has_value());
  REQUIRE(SendAndWait(loop, *client, origin + "/v1/hold", {.may_open = false}, lists).has_value());
  worker.Control(ending.control, nlohmann::json::object());
  CheckNotSent(SendAndWait(loop, *client, origin + "/v1/hold", {.may_open = false}, lists));
  const std::string control = origin + "/control/" + ending.control;
  REQUIRE(SendAndWait(loop, *client, control, {}, "{}").has_value());
  CHECK(SendAndWait(loop, *client, control, {.may_open = false}, "{}").has_value());
  loop.RunSync([&] { client.reset(); });
}

}  // namespace
}  // namespace berylgauge
