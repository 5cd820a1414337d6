#include <signal.h>

#include <catch2/catch.hpp>

#include "process/cluster.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kEndTimeout = absl::Seconds(20);

std::string AwaitOwnEnd(ChildProcess& process) {
  Cluster::WaitFor("the process to end", kEndTimeout, [&] { return !process.OwnEnd().empty(); });
  return process.OwnEnd();
}

}  // namespace

// Guards against a daemon that ends without a word, by the signal, because a thread of its own did not block it.
TEST_CASE("a daemon that is told to stop while it is paused stops in order") {
  const int signal = GENERATE(SIGTERM, SIGINT);
  const bool is_agent = GENERATE(true, false);
  CAPTURE(signal, is_agent);
  Cluster cluster({.entries = 1, .zones = 1});
  ChildProcess& process = is_agent ? cluster.agent(0) : cluster.entry(0);
  process.Pause();
  REQUIRE(kill(process.pid(), signal) == 0);
  process.Resume();
  CHECK(AwaitOwnEnd(process) == "exit status 0");
  REQUIRE(cluster.LogOf(is_agent ? "agent-0" : "entry-0").find("event=stopping") != std::string::npos);
}

}  // namespace berylgauge
