#include <absl/random/random.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "transport/byte_budget.h"
#include "transport/event_loop.h"
#include "transport/keepalive_monitor.h"
#include "transport/reconnect_backoff.h"
#include "transport/timer_queue.h"

namespace berylgauge {
namespace {

using Action = KeepaliveMonitor::Action;

MonotonicTime At(int millis) { return MonotonicTime(absl::Milliseconds(millis)); }

struct KeepaliveStep {
  int at_millis;
  bool received;  ///< bytes arrive, else the monitor is checked
  Action expected = Action::kNone;
};

struct KeepaliveCase {
  const char* name;
  std::vector<KeepaliveStep> steps;
};

// Guards against lost peers that are not noticed and live peers that are given up.
TEST_CASE("the keepalive pings silent peers and gives up those that do not answer", "[transport]") {
  const auto test = GENERATE(values<KeepaliveCase>({
      {"silent from the start",
       {{999, false}, {1000, false, Action::kSendPing}, {2999, false}, {3000, false, Action::kPeerLost}}},
      {"answers the ping",
       {{1000, false, Action::kSendPing}, {1003, true}, {2002, false}, {2003, false, Action::kSendPing}}},
      {"busy peers are not pinged", {{900, true}, {1800, true}, {2700, true}, {3600, false}}},
      {"this process was paused before the ping",
       {{10'000, false, Action::kSendPing}, {11'999, false}, {12'000, false, Action::kPeerLost}}},
      {"the answer arrived during a pause", {{1000, false, Action::kSendPing}, {10'000, true}, {10'000, false}}},
  }));
  INFO(test.name);
  KeepaliveMonitor monitor(absl::Seconds(3), absl::Seconds(1), At(0));
  for (const KeepaliveStep& step : test.steps) {
    INFO("at " << step.at_millis << " ms");
    if (step.received) {
      monitor.OnBytesReceived(At(step.at_millis));
    } else {
      CHECK(static_cast<int>(monitor.Check(At(step.at_millis))) == static_cast<int>(step.expected));
    }
  }
}

// Guards against a silent peer that is found later than the timeout when the monitor is checked as it asks.
TEST_CASE("a silent peer is lost exactly after the timeout", "[transport][property]") {
  CHECK(rc::check("lost on time", [] {
    const int timeout = *rc::gen::inRange(3, 100'000);
    const int ping_after = *rc::gen::inRange(1, timeout);
    const int last_received = *rc::gen::inRange(0, 100'000);
    KeepaliveMonitor monitor(absl::Milliseconds(timeout), absl::Milliseconds(ping_after), At(0));
    monitor.OnBytesReceived(At(last_received));
    RC_ASSERT(monitor.Check(monitor.NextCheck()) == Action::kSendPing);
    RC_ASSERT(monitor.NextCheck() == At(last_received + timeout));
    RC_ASSERT(monitor.Check(monitor.NextCheck()) == Action::kPeerLost);
  }));
}

// Guards against reconnects without pause and against delays that grow without bound.
TEST_CASE("reconnect delays double up to the maximum with jitter", "[transport][property]") {
  CHECK(rc::check("bounds", [] {
    const int initial = *rc::gen::inRange(1, 1000);
    const int max = *rc::gen::inRange(initial, 100'000);
    ReconnectBackoff backoff(absl::Milliseconds(initial), absl::Milliseconds(max));
    absl::BitGen random;
    absl::Duration nominal = absl::Milliseconds(initial);
    for (int i = 0; i < 20; ++i) {
      const absl::Duration delay = backoff.NextDelay(random);
      RC_ASSERT(delay >= nominal * 0.5);
      RC_ASSERT(delay <= nominal);
      nominal = std::min(nominal * 2, absl::Milliseconds(max));
    }
    backoff.Reset();
    RC_ASSERT(backoff.NextDelay(random) <= absl::Milliseconds(initial));
  }));
}

// Guards against a limit that is passed, or that shrinks with each refusal.
TEST_CASE("a byte budget never exceeds its limit", "[transport][property]") {
  CHECK(rc::check("budget", [](const std::vector<std::uint8_t>& sizes) {
    constexpr std::size_t kLimit = 500;
    ByteBudget budget(kLimit);
    std::size_t used = 0;
    for (const std::uint8_t size : sizes) {
      const bool fits = used + size <= kLimit;
      RC_ASSERT(budget.TryReserve(size) == fits);
      if (fits) used += size;
      RC_ASSERT(budget.used() == used);
    }
    budget.Release(used);
    RC_ASSERT(budget.used() == 0U);
  }));
}

// Guards against timers that run early, twice, after their cancellation or out of order.
TEST_CASE("timers run in order and cancelled ones do not", "[transport]") {
  TimerQueue timers;
  std::vector<int> ran;
  timers.Add(At(30), [&] { ran.push_back(3); });
  TimerQueue::Id cancelled = timers.Add(At(20), [&] { ran.push_back(2); });
  timers.Add(At(10), [&] {
    ran.push_back(1);
    timers.Add(At(5), [&] { ran.push_back(4); });
    timers.Cancel(cancelled);
  });
  timers.RunDue(At(9));
  CHECK(ran.empty());
  CHECK(timers.NextDeadline() == At(10));
  timers.RunDue(At(25));
  CHECK(ran == std::vector<int>{1});
  timers.RunDue(At(30));
  CHECK(ran == std::vector<int>{1, 4, 3});
  CHECK(timers.empty());
}

// Guards against lost wake-ups and against tasks out of order.
TEST_CASE("tasks posted from several threads run once, in the order of each thread", "[transport]") {
  constexpr int kThreads = 8;
  constexpr int kTasks = 2000;
  std::vector<std::vector<int>> ran(kThreads);
  {
    EventLoop loop;
    std::vector<std::thread> threads;
    for (int t = 0; t < kThreads; ++t) {
      threads.emplace_back([&, t] {
        for (int i = 0; i < kTasks; ++i) {
          loop.Post([&, t, i] { ran[t].push_back(i); });
          if (i % 100 == 0) loop.RunSync([] {});
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
  }
  for (const std::vector<int>& tasks : ran) {
    REQUIRE(tasks.size() == kTasks);
    CHECK(std::is_sorted(tasks.begin(), tasks.end()));
  }
}

}  // namespace
}  // namespace berylgauge
