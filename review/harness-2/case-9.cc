// A process crashes: an entry that is stopped while the store is down uses its client front after it was destroyed.
#include <random>

#include "harness.h"

using namespace review;

namespace {

constexpr int kEntries = 3;
constexpr int kRounds = 8;
constexpr int kClients = 400;        ///< connections that are open at the entry when it is stopped
constexpr int kFirstSendMs = 2250;   ///< after SIGTERM; the store goes down then, for 4 s
constexpr int kLastSendMs = 2650;
constexpr int kStoreBackMs = 6200;

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Fleet fleet(record, {.entries = kEntries, .workers = 3});
  if (!fleet.AwaitReady()) {
    fleet.Stop();
    Finish(record, "the fleet did not become ready", kCannotRun);
  }
  std::atomic<bool> down = false;
  fleet.store->fate = [&](const Request&) { return Store::Fate{.down = down}; };
  std::mt19937 random(8);
  int crashes = 0;
  int stops = 0;
  for (int round = 0; round < kRounds; ++round) {
    const int entry = round % kEntries;
    Daemon& process = *fleet.entries[static_cast<std::size_t>(entry)];
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(std::make_unique<Client>(fleet.Ip(1, entry), Fleet::kFront));
      clients.back()->Call("GET", "/q/", "", Fleet::Headers());
    }
    const std::int64_t stopped_at = Now();
    process.Signal(SIGTERM);
    std::vector<std::thread> threads;
    for (int i = 0; i < kClients; ++i) {
      const std::int64_t at = std::uniform_int_distribution<std::int64_t>(kFirstSendMs, kLastSendMs)(random);
      threads.emplace_back([&, round, i, at] {
        Client& client = *clients[static_cast<std::size_t>(i)];
        Sleep(stopped_at + at - Now());
        if (!client.IsOpen()) return;
        char id[17];
        std::snprintf(id, sizeof(id), "%016x", 0xc0000 + round * kClients + i);
        client.Call("POST", std::string("/q/") + id, Fleet::JobBody(1), Fleet::Headers());
      });
    }
    Sleep(stopped_at + kFirstSendMs - 50 - Now());
    if (WithTrouble()) fleet.store->reads_are_down = down = true;
    const std::optional<int> status = process.Wait(stopped_at + 6000 - Now());
    const bool has_crashed = status && WIFSIGNALED(*status);
    ++stops;
    if (has_crashed) ++crashes;
    record.Add("stopped", {{"entry", entry}, {"after_ms", Now() - stopped_at}, {"wait_status", status ? *status : -1},
                           {"signal", has_crashed ? WTERMSIG(*status) : 0}});
    process.Kill();
    for (std::thread& thread : threads) thread.join();
    Sleep(stopped_at + kStoreBackMs - Now());
    fleet.store->reads_are_down = down = false;
    process.Start();
    if (!fleet.AwaitEntry(entry)) {
      fleet.Stop();
      Finish(record, "an entry did not come back", kCannotRun);
    }
    Sleep(500);
  }
  fleet.Stop();
  Finish(record, "crashes: " + std::to_string(crashes) + " of " + std::to_string(stops) + " stops",
         crashes > 0 ? kBroken : kHeld);
}
