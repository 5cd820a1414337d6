// REFUSED: an entry that is stopped in a planned way answers submissions under way with 503, and their jobs run.
#include <random>

#include "harness.h"

using namespace review;

namespace {

constexpr int kEntries = 3;
constexpr int kClients = 500;         ///< connections that are open at each entry when it is stopped
constexpr int kSlowMs = 60 * 4;       ///< platform_slow x = 60: an answer takes 60 times its 4 ms
constexpr int kFirstSendMs = 1500;    ///< after SIGTERM
constexpr int kLastSendMs = 5300;

struct Job {
  std::string id;
  int status = -1;  ///< of the only attempt to hand it in; -1: not sent, 0: no answer
};

}  // namespace

int main(int, char** argv) {
  Record record(argv[1]);
  Fleet fleet(record, {.entries = kEntries, .workers = 3});
  if (!fleet.AwaitReady()) {
    fleet.Stop();
    Finish(record, "the fleet did not become ready", kCannotRun);
  }
  std::atomic<bool> slow = false;
  fleet.store->fate = [&](const Request&) { return Store::Fate{.answer_ms = slow ? kSlowMs : 4}; };
  fleet.store->read_delay = [&](const Request&) { return slow ? kSlowMs : 4; };
  std::mt19937 random(6);
  std::vector<Job> jobs(static_cast<std::size_t>(kEntries * kClients));
  for (int entry = 0; entry < kEntries; ++entry) {
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(std::make_unique<Client>(fleet.Ip(1, entry), Fleet::kFront));
      if (clients.back()->Call("GET", "/q/", "", Fleet::Headers()).status != 200) {
        fleet.Stop();
        Finish(record, "a client cannot connect", kCannotRun);
      }
    }
    const std::int64_t stopped_at = Now();
    record.Add("stop", {{"entry", entry}, {"trouble", WithTrouble()}});
    if (WithTrouble()) fleet.entries[static_cast<std::size_t>(entry)]->Signal(SIGTERM);
    std::vector<std::thread> threads;
    for (int i = 0; i < kClients; ++i) {
      Job& job = jobs[static_cast<std::size_t>(entry * kClients + i)];
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0xb0000 + entry * kClients + i);
      job.id = id;
      const std::int64_t at = std::uniform_int_distribution<std::int64_t>(kFirstSendMs, kLastSendMs)(random);
      threads.emplace_back([&, i, at] {
        Client& client = *clients[static_cast<std::size_t>(i)];
        Sleep(stopped_at + at - Now());
        if (!client.IsOpen()) return;
        const std::int64_t sent = Now();
        const Response answer = client.Call("POST", "/q/" + job.id, Fleet::JobBody(1), Fleet::Headers());
        job.status = answer.status;
        record.Add("submit", {{"entry", entry}, {"job", job.id}, {"sent", sent}, {"status", answer.status},
                              {"body", answer.body}});
      });
    }
    Sleep(stopped_at + 900 - Now());
    slow = WithTrouble();
    Sleep(stopped_at + 5400 - Now());
    slow = false;
    for (std::thread& thread : threads) thread.join();
    if (WithTrouble()) {
      Daemon& process = *fleet.entries[static_cast<std::size_t>(entry)];
      const std::optional<int> status = process.Wait(std::max<std::int64_t>(0, stopped_at + 6000 - Now()));
      record.Add("stopped", {{"entry", entry}, {"wait_status", status ? *status : -1}});
      process.Kill();
      process.Start();
      if (!fleet.AwaitEntry(entry)) {
        fleet.Stop();
        Finish(record, "an entry did not come back", kCannotRun);
      }
    }
  }
  Sleep(10'000);
  std::map<int, int> answers;
  int broken = 0;
  for (const Job& job : jobs) {
    ++answers[job.status];
    const bool is_refused = job.status == 503 || job.status == 429 || job.status == 404;
    const std::size_t starts = fleet.StartsOf(job.id).size();
    if (!is_refused || starts == 0) continue;
    ++broken;
    record.Add("broken", {{"job", job.id}, {"status", job.status}, {"starts", starts}});
  }
  fleet.Stop();
  std::string text = "answers:";
  for (const auto& [status, count] : answers) text += " " + std::to_string(status) + " x " + std::to_string(count);
  text += "; refused jobs that were started: " + std::to_string(broken);
  Finish(record, text, broken > 0 ? kBroken : kHeld);
}
