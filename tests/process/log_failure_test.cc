#include <signal.h>

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>

#include "process/cluster.h"

namespace berylgauge {
namespace {

/// Time into an outage of the log by which no task starts any more.
constexpr std::int64_t kOutageBoundMs = 3'000;

/// Fills all 24 slots of the installation, so that the rest waits.
constexpr int kMoreThanFit = 30;

nlohmann::json DrainZone1() { return {{"kind", "drain-zone"}, {"target", "zone-1"}, {"operator", "ada"}}; }

/// Runs tasks through an outage of the log that lasts until what ran has finished.
void CheckOutage(const std::function<void(Cluster&)>& begin, const std::function<void(Cluster&)>& end) {
  Cluster cluster;
  const auto load = cluster.StartLoad();
  const std::string job = cluster.Submit(0, kMoreThanFit, {{"run_ms", 6000}});
  cluster.WaitRunning(job, 24);
  begin(cluster);
  const std::int64_t begun_ms = Cluster::NowMillis();
  cluster.WaitSucceeded(job, 24, absl::Seconds(20));
  const int ran = load->Ran();
  Cluster::WaitFor("orders to go on", absl::Seconds(10), [&] { return load->Ran() > ran + 50; });
  for (int entry = 0; entry < 3; ++entry) {
    CHECK(cluster.Operate(entry, "POST", "/v1/plans", DrainZone1()).status == 503);
  }
  cluster.ForbidStarts(begun_ms + kOutageBoundMs, Cluster::NowMillis());
  end(cluster);
  cluster.WaitSucceeded(job, kMoreThanFit, absl::Seconds(40));
  cluster.WaitReady();
  load->Stop();
  CHECK(cluster.Count(job, "start") == kMoreThanFit);
  CHECK(load->Lost() == "none");
  REQUIRE(cluster.Violation(load.get()) == "none");
}

}  // namespace

// Guards against tasks and requests that stop, and against decisions without the log, while it cannot be reached.
TEST_CASE("the log has an outage while tasks run") {
  const std::string outage = GENERATE("unavailable", "silent");
  CAPTURE(outage);
  CheckOutage(
      [&](Cluster& cluster) {
        cluster.log().SetFaults({{"outage", outage}});
      },
      [](Cluster& cluster) {
        cluster.log().SetFaults({{"outage", "none"}});
      });
}

// Guards against the same when the process of the log stands still with its connections open.
TEST_CASE("the log is paused while tasks run") {
  CheckOutage([](Cluster& cluster) { cluster.log().process().Pause(); },
              [](Cluster& cluster) { cluster.log().process().Resume(); });
}

// Guards against work that stalls or is decided twice when each operation of the log takes long.
TEST_CASE("the log is slow") {
  Cluster cluster;
  cluster.log().SetFaults({{"delay_ms", 300}});
  const std::string job = cluster.Submit(0, 24, {{"run_ms", 500}});
  cluster.Drain(1, Cluster::ZoneOf(0));
  cluster.WaitSucceeded(job, 24, absl::Seconds(40));
  cluster.Restore(2, Cluster::ZoneOf(0));
  cluster.log().SetFaults({{"delay_ms", 0}});
  cluster.WaitReady();
  CHECK(cluster.Count(job, "end", "succeeded") == 24);
  REQUIRE(cluster.Violation() == "none");
}

// Guards against submissions, placements and confirmations that take effect twice because their answer was lost.
TEST_CASE("answers of the log are lost") {
  Cluster cluster;
  const auto lose = [&] { cluster.log().SetFaults({{"lose_answers", 20}}); };
  lose();
  const std::string job = cluster.Submit(0, 12, {{"run_ms", 500}}, "stock-1");
  lose();
  CHECK(cluster.Submit(1, 12, {{"run_ms", 500}}, "stock-1") == job);
  lose();
  cluster.WaitSucceeded(job, 12, absl::Seconds(40));
  lose();
  cluster.Drain(0, Cluster::ZoneOf(0));
  lose();
  cluster.Restore(1, Cluster::ZoneOf(0));
  cluster.log().SetFaults({{"lose_answers", 0}});
  Cluster::WaitFor("all entries to know both changes", absl::Seconds(10), [&] {
    for (int entry = 0; entry < 3; ++entry) {
      if (cluster.Expect(200, entry, "GET", "/v1/audit").size() < 2) return false;
    }
    return true;
  });
  CHECK(cluster.Expect(200, 2, "GET", "/v1/audit").size() == 2);
  CHECK(cluster.Status(2)["config"]["version"] == 2);
  CHECK(cluster.Count(job, "start") == 12);
  REQUIRE(cluster.Violation() == "none");
}

// Guards against an entry that goes on from a wrong state after records that it has not read were removed.
TEST_CASE("the log removes records while an entry is away") {
  const bool killed = GENERATE(true, false);
  CAPTURE(killed);
  Cluster cluster;
  const int away = 2;
  const std::string before = cluster.Submit(0, 6, {{"run_ms", 200}});
  cluster.WaitSucceeded(before, 6, absl::Seconds(20));
  if (killed) {
    cluster.entry(away).Kill();
  } else {
    cluster.entry(away).Pause();
  }
  // Jobs in several shares and a change of the configuration, all of which the entry misses.
  std::vector<std::string> jobs;
  for (int i = 0; i < 12; ++i) jobs.push_back(cluster.Submit(0, 2, {{"run_ms", 200}}));
  for (const std::string& job : jobs) cluster.WaitSucceeded(job, 2, absl::Seconds(30));
  cluster.Drain(0, Cluster::ZoneOf(0));
  cluster.RemoveOldRecords();
  const nlohmann::json expected = cluster.Status(0)["config"]["availability_zones"];
  if (killed) {
    cluster.StartEntry(away);
  } else {
    cluster.entry(away).Resume();
  }
  const auto has_gap = [&] {
    return cluster.LogOf("entry-2").find("event=stream_gap stream=config") != std::string::npos;
  };
  Cluster::WaitFor("the state of a snapshot, or the report of a gap", absl::Seconds(20), [&] {
    if (has_gap()) return cluster.IsEntryAlive(away);
    return cluster.IsEntryReady(away) && cluster.Status(away)["config"]["availability_zones"] == expected;
  });
  if (has_gap()) {
    CHECK_FALSE(cluster.IsEntryReady(away));
    CHECK(cluster.Operate(away, "POST", "/v1/plans", DrainZone1()).status == 503);
  }
  // The others go on, and the entry that lacks records takes no share from them.
  // The first jobs last longer than an owner keeps a share for which another entry is preferred.
  for (const int run_ms : {7000, 200}) {
    std::vector<std::string> after;
    for (int i = 0; i < 12; ++i) after.push_back(cluster.Submit(0, 2, {{"run_ms", run_ms}}));
    for (const std::string& job : after) cluster.WaitSucceeded(job, 2, absl::Seconds(30));
  }
  REQUIRE(cluster.Violation() == "none");
}

}  // namespace berylgauge
