#include <signal.h>

#include <catch2/catch.hpp>
#include <utility>

#include "process/cluster.h"

namespace berylgauge {
namespace {

const nlohmann::json kShortTask = {{"run_ms", 3000}};

/// Claims of the entry next in line (share lease), of any other (a second lease), and reading both back.
constexpr absl::Duration kOwnerChange = absl::Seconds(15);

/// Entry that owns the share of a job, as another entry knows it.
int OwnerOf(Cluster& cluster, int asked, const std::string& job) {
  const std::string owner =
      cluster.Expect(200, asked, "GET", "/v1/tasks/" + job + "/0/explain")["owner"].get<std::string>();
  return std::stoi(owner.substr(owner.find('-') + 1));
}

/// Waits until no share belongs to `entry`, by what `asked` has read from the log.
void WaitForTakeOver(Cluster& cluster, int asked, int entry) {
  const std::string name = "entry-" + std::to_string(entry);
  Cluster::WaitFor("the shares of " + name + " to be claimed", kOwnerChange, [&] {
    for (const nlohmann::json& share : cluster.Status(asked)["shares"]) {
      if (share["owner"] == name || share["released"]) return false;
    }
    return true;
  });
}

}  // namespace

// Guards against work that is lost or done twice when the process that decides about it disappears.
TEST_CASE("an entry is killed with requests under way and a job of its share running") {
  Cluster cluster;
  const auto load = cluster.StartLoad();
  const std::string job = cluster.Submit(0, 12, kShortTask);
  cluster.WaitRunning(job, 12);
  const int owner = OwnerOf(cluster, 0, job);
  const int other = (owner + 1) % 3;
  cluster.entry(owner).Kill();
  // Submitted to the same or other shares before any of them has a new owner.
  const std::string later = cluster.Submit(other, 6, kShortTask);
  WaitForTakeOver(cluster, other, owner);
  cluster.WaitSucceeded(job, 12, kOwnerChange);
  cluster.WaitSucceeded(later, 6, kOwnerChange + absl::Seconds(10));
  cluster.StartEntry(owner);
  cluster.WaitReady();
  const int ran = load->Ran();
  Cluster::WaitFor("orders to go on", absl::Seconds(10), [&] { return load->Ran() > ran + 50; });
  load->Stop();
  CHECK(cluster.Count(job, "start") == 12);
  REQUIRE(cluster.Violation(load.get()) == "none");
}

// Guards against an owner that acts on a share which others have claimed while it was paused.
TEST_CASE("an entry that owns shares is paused for longer than its leases") {
  Cluster cluster;
  const auto load = cluster.StartLoad();
  const std::string job = cluster.Submit(0, 12, kShortTask);
  cluster.WaitRunning(job, 12);
  const int owner = OwnerOf(cluster, 0, job);
  const int other = (owner + 1) % 3;
  cluster.entry(owner).Pause();
  const std::string during = cluster.Submit(other, 12, kShortTask);
  WaitForTakeOver(cluster, other, owner);
  cluster.Drain(other, Cluster::ZoneOf(0));
  cluster.entry(owner).Resume();
  cluster.WaitSucceeded(job, 12, kOwnerChange);
  cluster.WaitSucceeded(during, 12, kOwnerChange + absl::Seconds(20));
  cluster.Restore(other, Cluster::ZoneOf(0));
  cluster.WaitReady();
  load->Stop();
  REQUIRE(cluster.Violation(load.get()) == "none");
}

// Guards against two owners of a share, and against requests that stop, when an entry is cut off from the log.
TEST_CASE("an entry is cut off from the log in one or both directions") {
  const auto [to_server, to_client] = GENERATE(std::pair(true, true), std::pair(true, false), std::pair(false, true));
  CAPTURE(to_server, to_client);
  Cluster cluster({.has_relays = true});
  const auto load = cluster.StartLoad();
  const std::string job = cluster.Submit(0, 12, kShortTask);
  cluster.WaitRunning(job, 12);
  const int owner = OwnerOf(cluster, 0, job);
  const int other = (owner + 1) % 3;
  cluster.log_relay(owner).Cut(to_server, to_client);
  WaitForTakeOver(cluster, other, owner);
  const std::string during = cluster.Submit(other, 12, kShortTask);
  CHECK(cluster.Operate(owner, "POST", "/v1/plans", {{"kind", "drain-zone"}, {"target", "zone-1"}, {"operator", "ada"}})
            .status == 503);
  CHECK(cluster.IsEntryReady(owner));
  cluster.Drain(other, Cluster::ZoneOf(0));
  cluster.WaitSucceeded(job, 12, kOwnerChange);
  cluster.log_relay(owner).Heal();
  cluster.WaitSucceeded(during, 12, kOwnerChange + absl::Seconds(20));
  cluster.Restore(other, Cluster::ZoneOf(0));
  cluster.WaitReady();
  load->Stop();
  CHECK(load->Lost() == "none");
  REQUIRE(cluster.Violation(load.get()) == "none");
}

}  // namespace berylgauge
