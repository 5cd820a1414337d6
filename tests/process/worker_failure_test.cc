#include <absl/time/clock.h>

#include <catch2/catch.hpp>

#include "process/cluster.h"

namespace berylgauge {

// Guards against tasks that are lost with their worker, run again from the beginning, or resume more than once.
TEST_CASE("a worker is killed and replaced by an empty one") {
  Cluster cluster;
  const std::string job = cluster.Submit(0, 18, {{"run_ms", 6000}, {"checkpoint_every_ms", 200}});
  cluster.WaitRunning(job, 18);
  const int here = cluster.Running(job, 0);
  REQUIRE(here > 0);
  // The agent reads a checkpoint of each task before the worker dies.
  Cluster::WaitFor("checkpoints at the owner", absl::Seconds(10), [&] {
    const nlohmann::json report = cluster.WorkerReport(0);
    for (const nlohmann::json& task : report["tasks"]) {
      if (task["checkpoint"].get<std::string>().empty()) return false;
    }
    return true;
  });
  cluster.worker(0).process().Kill();
  cluster.StartWorker(0);
  cluster.WaitSucceeded(job, 18, absl::Seconds(30));
  CHECK(cluster.Count(job, "start") == 18 + here);
  CHECK(cluster.Count(job, "end", "succeeded") == 18);
  REQUIRE(cluster.Violation() == "none");
}

// Guards against a worker that attracts all work because it fails everything at once.
TEST_CASE("a worker fails every task") {
  Cluster cluster;
  cluster.worker(0).SetFaults({{"fail_tasks", true}});
  const std::string job = cluster.Submit(0, 24, {{"run_ms", 1000}});
  cluster.WaitSucceeded(job, 24, absl::Seconds(40));
  cluster.worker(0).SetFaults({{"fail_tasks", false}});
  const std::string later = cluster.Submit(1, 24, {{"run_ms", 1000}});
  cluster.WaitSucceeded(later, 24, absl::Seconds(30));
  REQUIRE(cluster.Violation() == "none");
}

// Guards against tasks that wait for a minute beside idle workers, because all of them failed what they ran and were
// taken out (issue 28).
TEST_CASE("all workers fail every task for a while") {
  const ClusterOptions options;
  Cluster cluster(options);
  cluster.WaitTakesTasks();
  for (int i = 0; i < options.zones; ++i) cluster.worker(i).SetFaults({{"fail_tasks", true}});
  for (int i = 0; i < 40; ++i) {
    cluster.Submit(i % 2, 1, {{"run_ms", 100}});
    absl::SleepFor(absl::Milliseconds(200));
  }
  for (int i = 0; i < options.zones; ++i) cluster.worker(i).SetFaults({{"fail_tasks", false}});
  const std::string later = cluster.Submit(1, 12, {{"run_ms", 500}});
  cluster.WaitSucceeded(later, 12, absl::Seconds(20));
  REQUIRE(cluster.Violation() == "none");
}

}  // namespace berylgauge
