#include <absl/time/clock.h>

#include <catch2/catch.hpp>

#include "process/platform_cluster.h"

namespace berylgauge {
namespace {

constexpr const char* kTwoSteps = R"({"spec":"s","steps":[{"count":6,"cpu":500,"mem_mb":100,"est_ms":300},
  {"count":4,"cpu":500,"mem_mb":100,"est_ms":300,"after":[0]}]})";
constexpr const char* kJob = "00000000000000a1";
constexpr int kTasks = 10;

// Guards the whole path: accept, place, start, end, next step, done, at every entry.
TEST_CASE("a job runs on the platform and is shown by every entry") {
  PlatformCluster cluster(3, 2);
  CHECK(cluster.Call(0, "GET", "/q/" + std::string(kJob)).status == 410);
  CHECK(cluster.Call(0, "POST", "/nowhere/" + std::string(kJob), kTwoSteps).status == 404);
  CHECK(cluster.Call(0, "POST", "/q/" + std::string(kJob), R"({"steps":[{"count":-1}]})").status == 400);
  REQUIRE(cluster.Call(0, "POST", "/q/" + std::string(kJob), kTwoSteps).status == 200);
  CHECK(cluster.Call(1, "POST", "/q/" + std::string(kJob), kTwoSteps).status == 200);  // a repeat is the same job
  for (int entry = 0; entry < 3; ++entry) {
    CHECK(cluster.WaitForState(entry, kJob, "done", absl::Seconds(15)));
  }
  CHECK(cluster.DoneRuns() == kTasks);
  CHECK(cluster.Violation().empty());
}

struct Trouble {
  const char* name;
  void (*strike)(PlatformCluster&);
};

// Guards against lost and doubled work when processes end in the middle of a job, one after the other.
TEST_CASE("a job is done once although processes end") {
  const Trouble trouble = GENERATE(Trouble{"an entry is killed",
                                           [](PlatformCluster& c) {
                                             c.entry(0).Kill();
                                             c.StartEntry(0);
                                           }},
                                   Trouble{"all entries are killed",
                                           [](PlatformCluster& c) {
                                             for (int i = 0; i < 2; ++i) c.entry(i).Kill();
                                             for (int i = 0; i < 2; ++i) c.StartEntry(i);
                                           }},
                                   Trouble{"an agent is killed",
                                           [](PlatformCluster& c) {
                                             c.agent(0).Kill();
                                             c.StartAgent(0);
                                           }},
                                   Trouble{"an entry is paused", [](PlatformCluster& c) {
                                             c.entry(0).Pause();
                                             absl::SleepFor(absl::Seconds(2));
                                             c.entry(0).Resume();
                                           }});
  INFO(trouble.name);
  PlatformCluster cluster(2, 2);
  REQUIRE(cluster.Call(1, "POST", "/q/" + std::string(kJob), kTwoSteps).status == 200);
  absl::SleepFor(absl::Milliseconds(150));
  trouble.strike(cluster);
  CHECK(cluster.WaitForState(1, kJob, "done", absl::Seconds(30)));
  CHECK(cluster.Violation().empty());
}

// Guards against a job that is lost, doubled or refused untruly because the store fails.
TEST_CASE("a job is done once although the store fails") {
  const char* faults = GENERATE(R"({"lose_answers":5})", R"({"drop_history":true})", R"({"outage":"unavailable"})");
  INFO(faults);
  PlatformCluster cluster(2, 2);
  REQUIRE(cluster.Call(0, "POST", "/q/" + std::string(kJob), kTwoSteps).status == 200);
  cluster.store().SetFaults(nlohmann::json::parse(faults));
  absl::SleepFor(absl::Seconds(1));
  cluster.store().SetFaults({{"outage", "none"}});
  CHECK(cluster.WaitForState(0, kJob, "done", absl::Seconds(30)));
  CHECK(cluster.Violation().empty());
}

TEST_CASE("a cancelled job does not run on") {
  PlatformCluster cluster(2, 1);
  REQUIRE(cluster
              .Call(0, "POST", "/q/" + std::string(kJob),
                    R"({"steps":[{"count":2,"cpu":500,"mem_mb":1,"long_running":true}]})")
              .status == 200);
  absl::SleepFor(absl::Milliseconds(100));
  CHECK(cluster.Call(1, "DELETE", "/q/" + std::string(kJob)).status == 200);
  CHECK(cluster.WaitForState(0, kJob, "cancelled", absl::Seconds(5)));
  absl::SleepFor(absl::Seconds(1));
  const std::size_t starts = cluster.worker(0).Events("run-start").size();
  absl::SleepFor(absl::Seconds(1));
  CHECK(cluster.worker(0).Events("run-start").size() == starts);
}

}  // namespace
}  // namespace berylgauge
