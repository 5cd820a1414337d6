// ROUTE: a start that was meant for a worker's former life is carried out by the next one, which is of another kind.
#include <random>

#include "harness.h"

using namespace review;

namespace {

constexpr int kRounds = 4;
constexpr std::int64_t kDarkMs = 1000;
constexpr int kHeartbeatMs = 1500;

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Fleet fleet(record, {.entries = 3, .workers = 7});  // one of them is 0.143 of all; site file: share 0.14
  if (!fleet.AwaitReady()) {
    fleet.Stop();
    Finish(record, "the fleet did not become ready", kCannotRun);
  }
  std::mt19937 random(9);
  std::atomic<bool> is_over = false;
  int number = 0;
  // Twenty jobs a second, each of six tasks that need the kind "a".
  std::thread traffic([&] {
    for (; !is_over; Sleep(50)) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0xd0000 + ++number);
      const json step = {{"count", 6}, {"cpu", 240}, {"mem_mb", 480}, {"est_ms", 300}, {"requires", "a"}};
      fleet.Call(number % 3, "POST", std::string("/q/") + id, json{{"spec", "s"}, {"steps", {step}}}.dump());
    }
  });
  for (int round = 0; round < kRounds; ++round) {
    Sleep(2500);
    // The first heartbeat comes at any moment of the interval.
    const int first_beat = std::uniform_int_distribution<int>(0, kHeartbeatMs)(random);
    Worker& worker = *fleet.workers[static_cast<std::size_t>(round)];
    if (WithTrouble()) worker.CrashAndReturn(kDarkMs, {"b", "r1"}, first_beat);
    Sleep(2500);
  }
  is_over = true;
  traffic.join();
  Sleep(3000);
  int starts = 0;
  int broken = 0;
  for (const auto& worker : fleet.workers) {
    for (const Worker::Start& start : worker->Starts()) {
      ++starts;
      if (std::find(start.labels.begin(), start.labels.end(), "a") != start.labels.end()) continue;
      ++broken;
      record.Add("broken", {{"at", start.ms}, {"task", start.task}, {"run", start.run}, {"labels", start.labels}});
    }
  }
  fleet.Stop();
  Finish(record, "starts: " + std::to_string(starts) + "; without the label: " + std::to_string(broken),
         broken > 0 ? kBroken : kHeld);
}
