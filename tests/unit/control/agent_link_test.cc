#include "control/agent_link.h"

#include <catch2/catch.hpp>
#include <memory>
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

}  // namespace
}  // namespace berylgauge::control
