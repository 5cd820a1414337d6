#include "control/agent_link.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "played_agent.h"
#include "wait_until.h"

namespace berylgauge::control {
namespace {

// Guards against serving tasks that nobody protects: a new owner learns of an agent's worker only after the first
// answers, and had offered the traits of its runs before (issue 22).
TEST_CASE("the traits of runs are sent with the first request that names the worker", "[link]") {
  constexpr int kRequestsBefore = 3;
  EventLoop loop;
  PlayedAgent agent(loop);
  int requests = 0;
  std::vector<bool> with_traits;  // of the requests that name the worker
  AgentLink::Listener listener;
  listener.on_prepare = [&](const std::string&, bool traits, WatchRequest& request) {
    if (++requests <= kRequestsBefore) return;
    request.life = {.worker = "w1", .born = 1};
    with_traits.push_back(traits);
  };
  listener.on_report = [](const std::string&, const workflow::WorkerReport&) {};
  std::unique_ptr<AgentLink> link;
  loop.RunSync([&] {
    link = std::make_unique<AgentLink>(
        loop, AgentLinkOptions{.host = "side-1", .address = "127.0.0.1", .port = agent.port()}, 1, std::move(listener));
    link->Start();
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(5), [&] { return with_traits.size() >= 2; }));
  loop.RunSync([&] {
    CHECK(with_traits.at(0));
    CHECK(!with_traits.at(1));
    link.reset();
  });
}

struct UnansweredRow {
  const char* name;
  const char* address;
  bool is_stale;
  Verdict verdict;
};

// Guards against orders that are dropped without a word, so that their tasks count as placed for good: the address of
// the agent is of no use, or the agent has seen a newer owner and the present one goes on.
TEST_CASE("orders that no agent takes are reported as failed", "[link]") {
  const UnansweredRow row = GENERATE(UnansweredRow{"no address", "nowhere", false, Verdict::kNotRun},
                                     UnansweredRow{"newer owner", "127.0.0.1", true, Verdict::kMayHaveRun});
  INFO(row.name);
  EventLoop loop;
  PlayedAgent agent(loop);
  int failures = 0;
  int stale = 0;
  std::optional<Verdict> verdict;
  AgentLink::Listener listener;
  listener.on_orders_failure = [&](const std::string&, const OrdersRequest& request, const Failure& failure) {
    ++failures;
    verdict = failure.verdict;
    CHECK(request.jobs.size() == 1);
  };
  listener.on_stale = [&] { ++stale; };
  std::unique_ptr<AgentLink> link;
  loop.RunSync([&] {
    agent.refuses_orders = row.is_stale;
    link = std::make_unique<AgentLink>(
        loop, AgentLinkOptions{.host = "side-1", .address = row.address, .port = agent.port()}, 1, std::move(listener));
    link->SendOrders({.life = {}, .jobs = {{.payload = "p", .starts = {{.task = "a.0.0.0", .run = 1}}}}, .stops = {}});
  });
  CHECK(WaitUntil(loop, absl::Seconds(1), [&] { return failures == 1; }));
  loop.RunSync([&] {
    CHECK(verdict == row.verdict);
    CHECK(stale == (row.is_stale ? 1 : 0));
    link.reset();
  });
}

}  // namespace
}  // namespace berylgauge::control
