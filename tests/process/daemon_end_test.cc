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

// Guards against a daemon that crashes without a line in its log.
TEST_CASE("a daemon that crashes logs the signal and the stack") {
  struct Row {
    int signal;
    std::string name;
  };
  const Row row = GENERATE(Row{SIGSEGV, "SEGV"}, Row{SIGABRT, "ABRT"});
  CAPTURE(row.name);
  Cluster cluster({.entries = 1, .zones = 1});
  ChildProcess& agent = cluster.agent(0);
  REQUIRE(kill(agent.pid(), row.signal) == 0);
  CHECK(AwaitOwnEnd(agent) == "signal " + row.name);
  const std::string log = cluster.LogOf("agent-0");
  const std::size_t line = log.find("program=agent-0 event=crashed signal=" + row.name + " ");
  REQUIRE(line != std::string::npos);
  CHECK(log.find("stack=", line) != std::string::npos);
  CHECK(cluster.Violation() == "ended by itself: agent-0: signal " + row.name + " (1 violations)");
}

}  // namespace berylgauge
