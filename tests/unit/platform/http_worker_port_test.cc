#include "platform/http_worker_port.h"

#include <absl/time/clock.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/standin.h"
#include "transport/event_loop.h"

namespace berylgauge::platform {
namespace {

using control::HoldAnswer;
using control::HoldCall;
using nlohmann::json;
using workflow::StartAnswer;
using workflow::StartRefusal;
using workflow::WorkerLife;

constexpr absl::Duration kTimeout = absl::Seconds(2);
constexpr std::int64_t kToken = 5;
/// On the clock of the first life, which begins at a minute.
constexpr std::int64_t kLeaseEndMs = 64'000;
constexpr const char* kTask = "00000000000000a1.0.0.0";

HoldCall ListsOf(const WorkerLife& life) { return {.life = life, .fencing_token = kToken, .lease_end_ms = {}}; }

control::StartCall StartOf(const WorkerLife& life, std::string task = kTask) {
  return {.life = life,
          .fencing_token = kToken,
          .task = std::move(task),
          .run = 1,
          .payload = "s",
          .checkpoint = "",
          .ticket = "",
          .lease_end_ms = kLeaseEndMs};
}

/// A worker and the port to it, as an agent has it.
class PortWorld {
 public:
  PortWorld()
      : m_worker("standin_leased_worker",
                 {"--id=w", "--agent=127.0.0.1:1", "--work-ms=60000", "--hold-max-ms=10000", "--clock-ms=60000"}) {
    m_loop.RunSync([&] { m_client = std::make_unique<AsyncHttpClient>(m_loop); });
    Reconnect();
  }
  ~PortWorld() {
    m_loop.RunSync([&] {
      m_client.reset();
      m_port.reset();
    });
  }
  PortWorld(const PortWorld&) = delete;
  PortWorld& operator=(const PortWorld&) = delete;

  Standin& worker() { return m_worker; }
  HttpWorkerPort& port() { return *m_port; }

  /// Begins as an agent that was started again.
  void Reconnect() {
    m_loop.RunSync([&] {
      m_client = std::make_unique<AsyncHttpClient>(m_loop);
      m_port = std::make_unique<HttpWorkerPort>(*m_client, HostPort{.host = "127.0.0.1", .port = WorkerPortNumber()});
    });
  }

  /// Makes a call and waits for its outcome.
  template <typename T, typename Begin>
  Result<T> Wait(Begin begin) {
    std::optional<Result<T>> outcome;
    m_loop.RunSync([&] { begin([&](Result<T> answer) { outcome = std::move(answer); }); });
    WaitUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  /// Waits for a condition that changes on the loop's thread.
  template <typename Condition>
  void WaitUntil(Condition is_so) {
    const absl::Time limit = absl::Now() + absl::Seconds(20);
    for (;;) {
      bool holds = false;
      m_loop.RunSync([&] { holds = is_so(); });
      if (holds) return;
      REQUIRE(absl::Now() < limit);
      absl::SleepFor(absl::Milliseconds(2));
    }
  }

  template <typename Body>
  void OnLoop(Body body) {
    m_loop.RunSync(body);
  }

  Result<HoldAnswer> Hold(const HoldCall& call) {
    return Wait<HoldAnswer>([&](auto done) { port().Hold(call, call.wait + kTimeout, std::move(done)); });
  }
  Result<StartAnswer> Start(const control::StartCall& call) {
    return Wait<StartAnswer>([&](auto done) { port().Start(call, kTimeout, std::move(done)); });
  }

  /// The present life, learned as an agent learns it.
  WorkerLife ReadLife() {
    const Result<HoldAnswer> lists = Hold(ListsOf({.worker = "w", .born = 1}));
    REQUIRE(lists.has_value());
    return {.worker = "w", .born = lists->born};
  }

 private:
  int WorkerPortNumber() { return m_worker.process().port(); }

  Standin m_worker;
  EventLoop m_loop;
  std::unique_ptr<AsyncHttpClient> m_client;
  std::unique_ptr<HttpWorkerPort> m_port;
};

void CheckNotRun(const Result<void>& answer) {
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().verdict == Verdict::kNotRun);
  CHECK(answer.error().code == FailureCode::kConflict);
}

void StartFormer(PortWorld& world, const WorkerLife& former, std::int64_t) {
  const Result<StartAnswer> answer = world.Start(StartOf(former));
  REQUIRE(answer.has_value());
  CHECK(answer->refusal == StartRefusal::kOtherLife);
}

void StopFormer(PortWorld& world, const WorkerLife& former, std::int64_t) {
  const control::StopCall call{.life = former, .fencing_token = kToken, .task = kTask, .run = 1};
  CheckNotRun(world.Wait<void>([&](auto done) { world.port().Stop(call, kTimeout, std::move(done)); }));
}

void PaceFormer(PortWorld& world, const WorkerLife& former, std::int64_t) {
  const control::PaceCall call{.life = former, .fencing_token = kToken, .task = kTask, .run = 1, .percent = 50};
  CheckNotRun(world.Wait<void>([&](auto done) { world.port().Pace(call, kTimeout, std::move(done)); }));
}

void HoldFormer(PortWorld& world, const WorkerLife& former, std::int64_t born) {
  HoldCall call = ListsOf(former);
  call.lease_end_ms = kLeaseEndMs;
  const Result<HoldAnswer> answer = world.Hold(call);
  REQUIRE(answer.has_value());
  CHECK(answer->born == born);
}

struct FormerCall {
  const char* name;
  json kept;          ///< kinds that the next life keeps, so that they would be recorded
  const char* trace;  ///< event that the call would leave at the next life
  void (*call)(PortWorld& world, const WorkerLife& former, std::int64_t born);
};

// Guards against a call for a worker's former life that the next one under the same id carries out (issue 46).
TEST_CASE("a call for a former life never reaches the next one", "[http]") {
  const FormerCall row =
      GENERATE(FormerCall{"start", {"start"}, "kept", &StartFormer}, FormerCall{"stop", {"stop"}, "kept", &StopFormer},
               FormerCall{"pace", {"pace"}, "kept", &PaceFormer},
               FormerCall{"hold with a lease", json::array(), "leased", &HoldFormer});
  const bool is_agent_new = GENERATE(false, true);
  CAPTURE(row.name, is_agent_new);
  PortWorld world;
  const WorkerLife former = world.ReadLife();
  const std::int64_t born = world.worker().Control("rebirth", {{"keep", row.kept}})["born"];
  REQUIRE(born != former.born);
  if (is_agent_new) world.Reconnect();
  for (int i = 0; i < 3; ++i) row.call(world, former, born);  // also when the port knows connections to the next life
  CHECK(world.worker().Events(row.trace).empty());
  CHECK(world.worker().Events("run-start").empty());
}

// Guards against a start that is sent again to the next life because the worker died before its answer.
TEST_CASE("a start that was under way at the death is not sent to the next life", "[http]") {
  PortWorld world;
  const WorkerLife former = world.ReadLife();
  world.worker().SetFaults({{"keep", {"start"}}});
  std::optional<Result<StartAnswer>> outcome;
  world.OnLoop([&] {
    world.port().Start(StartOf(former), kTimeout, [&](Result<StartAnswer> answer) { outcome = std::move(answer); });
  });
  world.worker().WaitForEvents("kept", 1);
  world.worker().Control("rebirth", json::object());
  world.WaitUntil([&] { return outcome.has_value(); });
  REQUIRE_FALSE(outcome->has_value());
  CHECK(outcome->error().verdict == Verdict::kMayHaveRun);
  StartFormer(world, former, 0);
  CHECK(world.worker().Events("run-start").empty());
}

// Guards against a start that the worker gets after the agent has taken it for given up, because each of the calls that
// it takes to send it may last as long as the whole.
TEST_CASE("a call ends within its timeout, also when it has to open a connection", "[http]") {
  constexpr absl::Duration kShortTimeout = absl::Milliseconds(600);
  constexpr int kDelayMs = 450;
  PortWorld world;
  const WorkerLife life = world.ReadLife();
  world.Reconnect();
  world.worker().SetFaults({{"delay_ms", kDelayMs}});
  const absl::Time begun = absl::Now();
  const Result<StartAnswer> answer =
      world.Wait<StartAnswer>([&](auto done) { world.port().Start(StartOf(life), kShortTimeout, std::move(done)); });
  CHECK(absl::Now() - begun < kShortTimeout + absl::Milliseconds(150));
  REQUIRE_FALSE(answer.has_value());
  CHECK(answer.error().verdict == Verdict::kMayHaveRun);  // sent after the lists had come
}

// Guards against calls that fail for good once the worker has closed a connection that was not in use.
TEST_CASE("a call whose connection was closed while idle goes out on a new one", "[http]") {
  PortWorld world;
  const WorkerLife life = world.ReadLife();
  world.worker().Control("close-connections", json::object());
  const Result<StartAnswer> answer = world.Start(StartOf(life));
  REQUIRE(answer.has_value());
  CHECK(answer->refusal == StartRefusal::kNone);
  CHECK(world.worker().Events("run-start").size() == 1);
  CHECK(world.worker().Events("hold").size() == 2);  // the second one opened the connection
}

struct Burst {
  const char* name;
  int rounds;
  bool has_connection;  ///< before the first one
  bool holds;           ///< while a call waits for an end
};

// Guards against starts that are given up because each connection that they open is taken by another call.
TEST_CASE("starts that are made at once all arrive", "[http]") {
  constexpr int kStarts = 200;
  const Burst burst =
      GENERATE(Burst{"with an open connection", 1, true, false}, Burst{"without any connection", 1, false, false},
               Burst{"beside a call that waits", 3, true, true});
  CAPTURE(burst.name);
  PortWorld world;
  const WorkerLife life = world.ReadLife();
  if (!burst.has_connection) world.Reconnect();
  int holds_under_way = 0;
  for (int round = 0; round < burst.rounds; ++round) {
    if (burst.holds) {
      HoldCall hold = ListsOf(life);
      hold.lease_end_ms = kLeaseEndMs + 10'000;
      hold.wait = absl::Milliseconds(300);
      world.OnLoop([&] {
        ++holds_under_way;
        world.port().Hold(hold, hold.wait + kTimeout, [&](const Result<HoldAnswer>& answer) {
          --holds_under_way;
          CHECK(answer.has_value());
        });
      });
    }
    std::vector<Result<StartAnswer>> answers;
    world.OnLoop([&] {
      for (int i = 0; i < kStarts; ++i) {
        const std::string task = "00000000000000a1." + std::to_string(round) + ".0." + std::to_string(i);
        world.port().Start(StartOf(life, task), kTimeout,
                           [&](Result<StartAnswer> answer) { answers.push_back(std::move(answer)); });
      }
    });
    world.WaitUntil([&] { return answers.size() == kStarts; });
    int accepted = 0;
    for (const Result<StartAnswer>& answer : answers) {
      if (!answer) UNSCOPED_INFO(answer.error().message);
      accepted += answer && answer->refusal == StartRefusal::kNone ? 1 : 0;
    }
    CHECK(accepted == kStarts);
  }
  world.WaitUntil([&] { return holds_under_way == 0; });
  CHECK(world.worker().Events("run-start").size() == static_cast<std::size_t>(burst.rounds * kStarts));
}

}  // namespace
}  // namespace berylgauge::platform
