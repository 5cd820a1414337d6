#include <catch2/catch.hpp>
#include <thread>

#include "process/cluster.h"

namespace berylgauge {

// Guards against two changes that were each planned without knowledge of the other and both take effect.
TEST_CASE("two operators confirm plans on the same version at once") {
  Cluster cluster;
  for (int round = 0; round < 5; ++round) {
    const int version = cluster.Status(0)["config"]["version"];
    const std::string plans[] = {cluster.Plan(0, round % 2 == 0 ? "drain-zone" : "restore-zone", "zone-0"),
                                 cluster.Plan(1, round % 2 == 0 ? "drain-zone" : "restore-zone", "zone-1")};
    HttpResponse answers[2];
    std::thread first([&] { answers[0] = cluster.Confirm(0, plans[0], "ada"); });
    std::thread second([&] { answers[1] = cluster.Confirm(1, plans[1], "grace"); });
    first.join();
    second.join();
    INFO(answers[0].body << answers[1].body);
    const int accepted = answers[0].status == 200 ? 0 : 1;
    CHECK(answers[accepted].status == 200);
    CHECK(answers[1 - accepted].status == 409);
    CHECK(answers[1 - accepted].body.find(plans[accepted]) != std::string::npos);
    CHECK(answers[1 - accepted].body.find("not-run") != std::string::npos);
    CHECK(cluster.Status(accepted)["config"]["version"] == version + 1);
  }
  REQUIRE(cluster.Violation() == "none");
}

// Guards against starts in a zone after it was taken out of service, and against work that is lost on the way out.
TEST_CASE("an availability zone is drained and restored under load") {
  Cluster cluster;
  const auto load = cluster.StartLoad();
  const std::string job = cluster.Submit(0, 24, {{"run_ms", 5000}, {"checkpoint_every_ms", 200}});
  cluster.WaitRunning(job, 24);
  cluster.Drain(1, Cluster::ZoneOf(0));
  const std::string during = cluster.Submit(2, 24, {{"run_ms", 500}});
  // Evictions are limited to a rate, which the present limit allows within this time.
  Cluster::WaitFor("the zone to be empty", absl::Seconds(20), [&] { return cluster.Running(job, 0) == 0; });
  cluster.WaitSucceeded(during, 24, absl::Seconds(30));
  cluster.Restore(0, Cluster::ZoneOf(0));
  const std::string after = cluster.Submit(1, 24, {{"run_ms", 1000}});
  cluster.WaitSucceeded(job, 24, absl::Seconds(30));
  cluster.WaitSucceeded(after, 24, absl::Seconds(30));
  load->Stop();
  CHECK(cluster.Count(job, "end", "succeeded") == 24);
  CHECK(load->Lost() == "none");
  REQUIRE(cluster.Violation(load.get()) == "none");
}

}  // namespace berylgauge
