#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "process/platform_cluster.h"

namespace berylgauge {
namespace {

constexpr int kEntries = 3;
constexpr int kWorkers = 2;
constexpr int kClients = 8;
constexpr absl::Duration kLoadTime = absl::Seconds(12);
constexpr absl::Duration kClientPause = absl::Milliseconds(100);
/// Attempts of a client to have its cancellation acknowledged.
constexpr int kMostCancels = 100;
/// The platform's bounds: machines are in touch again after 3 s of calm, a cancelled job starts nothing 3 s after that,
/// and a stop takes 0.2 s.
constexpr absl::Duration kCalm = absl::Milliseconds(3000 + 3000 + 200);

constexpr const char* kLastingJob = R"({"spec":"lasts","steps":[{"count":1,"cpu":10,"mem_mb":1,"long_running":true}]})";

/// Clients that submit jobs and cancel most of them, at random entries, while single entries are turned away by the
/// store, paused and killed.
class CancellationSoak {
 public:
  explicit CancellationSoak(unsigned seed) : m_seed(seed), m_cluster(kEntries, kWorkers) {}

  void Run() {
    TurnAway(0);
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int i = 0; i < kClients; ++i) clients.emplace_back([this, i] { RunClient(i); });
    const absl::Time end = absl::Now() + kLoadTime;
    absl::SleepFor(absl::Seconds(4));
    TurnNoneAway();
    std::mt19937 random(m_seed);
    while (absl::Now() < end) Strike(random);
    m_is_over = true;
    for (std::thread& client : clients) client.join();
    absl::SleepFor(kCalm);
  }

  /// Jobs whose cancellation was acknowledged although they were not stored.
  int cancelled_unknown() const { return m_cancelled_unknown; }

  /// Tasks that run although the cancellation of their job was acknowledged.
  std::vector<std::string> RunsOfCancelledJobs() {
    std::set<std::pair<std::string, int>> runs;
    for (const std::vector<nlohmann::json>& events : m_cluster.Records()) {
      for (const nlohmann::json& event : events) {
        const bool is_start = event.at("kind") == "run-start";
        if (!is_start && event.at("kind") != "run-end") continue;
        const std::pair<std::string, int> run(event.at("task"), event.at("run"));
        is_start ? void(runs.insert(run)) : void(runs.erase(run));
      }
    }
    std::vector<std::string> tasks;
    for (const auto& [task, run] : runs) {
      if (m_cancelled.contains(task.substr(0, task.find('.')))) tasks.push_back(task);
    }
    return tasks;
  }

 private:
  void TurnAway(int entry) { m_cluster.store().SetFaults({{"turned_away", absl::StrCat("edge-", entry, ".")}}); }
  void TurnNoneAway() { m_cluster.store().SetFaults({{"turned_away", ""}}); }

  void Strike(std::mt19937& random) {
    const auto pick = [&](int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); };
    const int entry = pick(kEntries);
    const absl::Duration duration = absl::Milliseconds(500 + pick(3000));
    switch (pick(3)) {
      case 0:
        TurnAway(entry);
        absl::SleepFor(duration);
        TurnNoneAway();
        return;
      case 1:
        m_cluster.entry(entry).Pause();
        absl::SleepFor(duration);
        m_cluster.entry(entry).Resume();
        return;
      default:
        m_cluster.entry(entry).Kill();
        m_cluster.StartEntry(entry);
        absl::SleepFor(duration);
    }
  }

  void RunClient(int number) {
    std::mt19937 random(m_seed * 1000 + static_cast<unsigned>(number));
    const auto pick_entry = [&] { return static_cast<int>(random() % kEntries); };
    bool is_first = true;
    while (!m_is_over) {
      const std::string job = absl::StrCat(absl::Hex(++m_jobs, absl::kZeroPad16));
      const std::string path = "/q/" + job;
      const int status = m_cluster.Call(is_first ? 0 : pick_entry(), "POST", path, kLastingJob).status;
      const bool is_kept = status == 200 && random() % 5 == 0;
      for (int i = 0; !is_kept && i < kMostCancels; ++i) {
        const int answer = m_cluster.Call(is_first ? 1 : pick_entry(), "DELETE", path).status;
        if (answer == 200 || answer == 410) {
          const std::lock_guard lock(m_mutex);
          m_cancelled.insert(job);
          if (answer == 410) ++m_cancelled_unknown;
          break;
        }
        absl::SleepFor(kClientPause);
      }
      is_first = false;
      absl::SleepFor(kClientPause);
    }
  }

  const unsigned m_seed;
  PlatformCluster m_cluster;
  std::atomic<std::uint64_t> m_jobs = 0;
  std::atomic<bool> m_is_over = false;
  std::mutex m_mutex;
  std::set<std::string> m_cancelled;
  int m_cancelled_unknown = 0;
};

/// One seed by hand (CANCELLATION_SOAK_SEED), or those that always run.
std::vector<unsigned> SoakSeeds() {
  const char* text = std::getenv("CANCELLATION_SOAK_SEED");
  unsigned seed = 0;
  if (text != nullptr && absl::SimpleAtoi(text, &seed)) return {seed};
  return {1, 2};
}

// Guards against jobs that run on after their cancellation was acknowledged, whichever entry failed in between.
TEST_CASE("acknowledged cancellations hold while entries are turned away, paused and killed") {
  for (const unsigned seed : SoakSeeds()) {
    INFO("seed " << seed);
    CancellationSoak soak(seed);
    soak.Run();
    CHECK(soak.cancelled_unknown() > 0);  // otherwise it shows nothing
    const std::vector<std::string> runs = soak.RunsOfCancelledJobs();
    INFO(absl::StrJoin(runs, " "));
    CHECK(runs.empty());
  }
}

}  // namespace
}  // namespace berylgauge
