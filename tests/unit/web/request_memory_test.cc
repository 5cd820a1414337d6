#include "web/request_memory.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace berylgauge {
namespace {

constexpr std::size_t kBudget = 16'000;
constexpr std::size_t kHead = 100;
const MonotonicTime kStart(absl::Seconds(100));
const MonotonicTime kLater = kStart + absl::Seconds(5);

/// A listener that records what it is asked to close.
class RecordingCloser final : public ConnectionCloser {
 public:
  void CloseForMemory(const std::vector<ConnectionId>& connections) override {
    closed.insert(closed.end(), connections.begin(), connections.end());
  }
  std::vector<ConnectionId> closed;
};

/// A memory with one listener.
struct Fixture {
  RecordingCloser listener;
  RequestMemory memory{kBudget};

  Fixture() { memory.AddListener(listener); }

  ConnectionId OpenWithBody(const std::string& peer, std::size_t body, MonotonicTime now) {
    const RequestMemory::Decision opened = memory.Open(listener, peer, kHead, false, now);
    REQUIRE(opened.granted);
    if (body > 0) REQUIRE(memory.ReserveBody(opened.connection, body, now).granted);
    return opened.connection;
  }
};

std::vector<ConnectionId> Ids(const RequestMemory::Decision& decision) {
  std::vector<ConnectionId> ids;
  for (const RequestMemory::NamedConnection& one : decision.named) ids.push_back(one.connection);
  return ids;
}

// Guards against a crowd of stalled bodies that costs other addresses, requests in progress or dispatched ones.
TEST_CASE("stalled bodies of the heaviest address are closed first, largest first", "[request-memory]") {
  Fixture f;
  const ConnectionId dispatched = f.OpenWithBody("a", 5'000, kStart);
  REQUIRE(f.memory.BeginDispatch(dispatched));
  f.OpenWithBody("a", 2'000, kStart);
  const ConnectionId largest = f.OpenWithBody("a", 3'000, kStart);
  f.OpenWithBody("a", 4'000, kLater);
  f.OpenWithBody("b", 1'000, kStart);
  const RequestMemory::Decision decision = f.memory.Open(f.listener, "b", 1'000, false, kLater);
  CHECK(decision.granted);
  CHECK(Ids(decision) == std::vector<ConnectionId>{largest});
  CHECK_FALSE(f.memory.BeginDispatch(largest));
  f.memory.Close(decision.named);
  CHECK(f.listener.closed == std::vector<ConnectionId>{largest});
}

// Guards against an address that displaces others because its own connections are all dispatched.
TEST_CASE("a connection of the heaviest address is rejected if none of its connections can be closed",
          "[request-memory]") {
  Fixture f;
  const ConnectionId dispatched = f.OpenWithBody("a", 14'000, kStart);
  REQUIRE(f.memory.BeginDispatch(dispatched));
  f.OpenWithBody("b", 1'500, kStart);
  const RequestMemory::Decision rejected = f.memory.Open(f.listener, "a", 1'000, false, kLater);
  CHECK_FALSE(rejected.granted);
  CHECK_FALSE(rejected.retry);
  CHECK(rejected.named.empty());
  REQUIRE(rejected.report.has_value());
  CHECK(rejected.report->rejected == 1);
  f.memory.EndRequest(dispatched, kLater);
  CHECK(f.memory.Open(f.listener, "a", 1'000, false, kLater).granted);
}

// Guards against closing others for a body that is itself the largest of its address.
TEST_CASE("a growing body that is the first to be closed costs nobody else", "[request-memory]") {
  Fixture f;
  const ConnectionId small = f.OpenWithBody("a", 3'000, kLater);
  const ConnectionId growing = f.OpenWithBody("a", 12'000, kLater);
  const RequestMemory::Decision decision = f.memory.ReserveBody(growing, 14'000, kLater);
  CHECK_FALSE(decision.granted);
  CHECK(Ids(decision) == std::vector<ConnectionId>{growing});
  CHECK(f.memory.BeginDispatch(small));
}

// Guards against a listener whose places are all taken by silent peers.
TEST_CASE("a full listener closes one of its own connections", "[request-memory]") {
  Fixture f;
  RecordingCloser other;
  f.memory.AddListener(other);
  const RequestMemory::Decision elsewhere = f.memory.Open(other, "a", 5 * kHead, false, kStart);
  const ConnectionId idle = f.OpenWithBody("a", 0, kStart);
  f.OpenWithBody("a", 0, kLater);
  const RequestMemory::Decision decision = f.memory.Open(f.listener, "b", kHead, true, kLater);
  CHECK(decision.granted);
  CHECK(Ids(decision) == std::vector<ConnectionId>{idle});
  CHECK(elsewhere.granted);
  f.memory.RemoveListener(f.listener);
  f.memory.Close(decision.named);
  CHECK(f.listener.closed.empty());
}

// Guards against connections that pile up while a listener is slow to close those that were named.
TEST_CASE("a new connection waits while much of the budget is being closed", "[request-memory]") {
  Fixture f;
  std::vector<ConnectionId> crowd;
  for (int i = 0; i < 160; ++i) crowd.push_back(f.OpenWithBody("a", 0, kStart));
  std::vector<ConnectionId> named;
  RequestMemory::Decision decision;
  do {
    decision = f.memory.Open(f.listener, "a", kHead, false, kLater);
    for (const ConnectionId id : Ids(decision)) named.push_back(id);
  } while (decision.granted);
  CHECK(decision.retry);
  CHECK(f.memory.used_bytes() <= kBudget + kBudget / 2);
  for (const ConnectionId id : named) f.memory.Remove(id);
  CHECK(f.memory.Open(f.listener, "a", kHead, false, kLater).granted);
}

// Guards against a log line for each connection of a crowd, and against responses that are not counted.
TEST_CASE("reports are bounded and responses count until they are sent", "[request-memory]") {
  Fixture f;
  const ConnectionId first = f.OpenWithBody("a", 1'000, kStart);
  REQUIRE(f.memory.BeginDispatch(first));
  f.memory.AddResponse(first, 14'800);
  CHECK(f.memory.used_bytes() == kHead + 15'800);
  CHECK(f.memory.Reject("a", kStart).report.has_value());
  CHECK_FALSE(f.memory.Open(f.listener, "a", kHead + 1, false, kStart).report.has_value());
  const RequestMemory::Decision third = f.memory.Reject("a", kLater);
  REQUIRE(third.report.has_value());
  CHECK(third.report->rejected == 2);
  f.memory.EndRequest(first, kLater);
  CHECK(f.memory.used_bytes() == kHead);
}

// Guards against accounting that drifts, a budget that is exceeded, and dispatched requests that are closed, in any
// order of events.
TEST_CASE("the budget holds and dispatched requests are never named", "[request-memory]") {
  const bool holds = rc::check([] {
    RecordingCloser listener;
    RequestMemory memory(kBudget);
    std::set<ConnectionId> open;
    std::set<ConnectionId> dispatched;
    std::set<ConnectionId> named;
    MonotonicTime now = kStart;
    const auto take = [&](const RequestMemory::Decision& decision) {
      for (const ConnectionId id : Ids(decision)) {
        RC_ASSERT(!dispatched.contains(id));
        RC_ASSERT(named.insert(id).second);
      }
    };
    for (int i = 0; i < 200; ++i) {
      now = now + absl::Milliseconds(*rc::gen::inRange(0, 400));
      const std::string peer(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
      const int event = open.empty() ? 0 : *rc::gen::inRange(0, 6);
      const ConnectionId id = open.empty() ? 0 : *rc::gen::elementOf(open);
      if (event == 0) {
        const RequestMemory::Decision decision = memory.Open(listener, peer, kHead, *rc::gen::inRange(0, 4) == 0, now);
        take(decision);
        if (decision.granted) open.insert(decision.connection);
      } else if (event == 1 || event == 2) {
        if (!dispatched.contains(id)) take(memory.ReserveBody(id, *rc::gen::inRange<std::size_t>(1, 4'000), now));
      } else if (event == 3) {
        const bool may_run = memory.BeginDispatch(id);
        RC_ASSERT(may_run == !named.contains(id));
        if (may_run) dispatched.insert(id);
      } else if (event == 4) {
        memory.EndRequest(id, now);
        dispatched.erase(id);
      } else {
        memory.Remove(id);
        open.erase(id);
        dispatched.erase(id);
        named.erase(id);
      }
      RC_ASSERT(memory.used_bytes() <= kBudget + named.size() * kHead);
    }
    for (const ConnectionId id : open) memory.Remove(id);
    RC_ASSERT(memory.used_bytes() == 0U);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace berylgauge
