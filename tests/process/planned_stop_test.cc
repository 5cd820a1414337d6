#include <catch2/catch.hpp>

#include "process/cluster.h"

namespace berylgauge {
namespace {

/// Above the limit of the shutdown in the settings.
constexpr absl::Duration kStopTimeout = absl::Seconds(40);

void WaitForOrders(const OrderLoad& load, int count) {
  const int ran = load.Ran();
  Cluster::WaitFor("orders to go on", absl::Seconds(20), [&] { return load.Ran() >= ran + count; });
}

}  // namespace

// Guards against requests that are lost while an endpoint leaves.
TEST_CASE("an endpoint leaves under load") {
  Cluster cluster;
  const auto load = cluster.StartLoad(6);
  for (int endpoint = 0; endpoint < 3; ++endpoint) {
    WaitForOrders(*load, 100);
    CHECK(cluster.StopEndpoint(endpoint) == 0);
    WaitForOrders(*load, 100);
    cluster.StartEndpoint(endpoint);
    cluster.WaitReady();
  }
  load->Stop();
  CHECK(load->Lost() == "none");
  REQUIRE(cluster.Violation(load.get()) == "none");
}

// Guards against requests that are cut off and work that is lost or repeated by a planned stop.
TEST_CASE("each entry is stopped and started in turn under load") {
  Cluster cluster;
  const auto load = cluster.StartLoad(6);
  const std::string job = cluster.Submit(0, 24, {{"run_ms", 4000}});
  for (int entry = 0; entry < 3; ++entry) {
    WaitForOrders(*load, 100);
    CHECK(cluster.entry(entry).Stop(kStopTimeout) == 0);
    cluster.StartEntry(entry);
    cluster.WaitReady();
  }
  cluster.WaitSucceeded(job, 24, absl::Seconds(30));
  load->Stop();
  CHECK(cluster.Count(job, "start") == 24);
  CHECK(load->Lost() == "none");
  REQUIRE(cluster.Violation(load.get()) == "none");
}

// Guards against the same for agents, whose tasks go on at the worker without them.
TEST_CASE("each agent is stopped and started in turn under load") {
  Cluster cluster({.timing = {{"worker_silent_ms", 10000}}});
  const auto load = cluster.StartLoad(6);
  const std::string job = cluster.Submit(0, 24, {{"run_ms", 8000}});
  cluster.WaitRunning(job, 24);
  for (int agent = 0; agent < 3; ++agent) {
    WaitForOrders(*load, 100);
    CHECK(cluster.agent(agent).Stop(kStopTimeout) == 0);
    cluster.StartAgent(agent);
    cluster.WaitReady();
  }
  cluster.WaitSucceeded(job, 24, absl::Seconds(30));
  load->Stop();
  CHECK(cluster.Count(job, "start") == 24);
  CHECK(load->Lost() == "none");
  REQUIRE(cluster.Violation(load.get()) == "none");
}

}  // namespace berylgauge
