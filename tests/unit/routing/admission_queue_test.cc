#include "routing/admission_queue.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rapidcheck.h"
#include "rapidcheck/detail/Property.h"
#include "routing_fixtures.h"

namespace berylgauge {
namespace {

WaitingRequest RequestOf(std::uint64_t ticket, const std::string& caller, Importance importance = Importance::kNormal,
                         int deadline_ms = 100'000) {
  return {.ticket = ticket, .caller = caller, .importance = importance, .deadline = At(deadline_ms)};
}

std::vector<std::uint64_t> TakeAll(AdmissionQueue& queue, int ms) {
  std::vector<std::uint64_t> tickets;
  while (auto next = queue.Take(At(ms)).next) tickets.push_back(next->ticket);
  return tickets;
}

struct OrderCase {
  const char* name;
  std::vector<WaitingRequest> requests;
  std::vector<std::uint64_t> taken;
};

// Guards against a caller whose flood, or whose high importance, makes others wait behind all of it.
TEST_CASE("callers take turns", "[queue]") {
  using enum Importance;
  const auto test = GENERATE(values<OrderCase>({
      {"one caller in order", {RequestOf(1, "a"), RequestOf(2, "a"), RequestOf(3, "a")}, {1, 2, 3}},
      {"flood first",
       {RequestOf(1, "a"), RequestOf(2, "a"), RequestOf(3, "a"), RequestOf(4, "b"), RequestOf(5, "c")},
       {1, 4, 5, 2, 3}},
      {"importance within a caller",
       {RequestOf(1, "a", kLow), RequestOf(2, "a", kNormal), RequestOf(3, "a", kHigh), RequestOf(4, "a", kHigh)},
       {3, 4, 2, 1}},
      {"importance does not take the turns of others",
       {RequestOf(1, "a", kHigh), RequestOf(2, "a", kHigh), RequestOf(3, "b", kLow)},
       {1, 3, 2}},
  }));
  INFO(test.name);
  AdmissionQueue queue({});
  for (const WaitingRequest& request : test.requests) REQUIRE(queue.Offer(request, At(0)).is_queued);
  CHECK(queue.size() == test.requests.size());
  CHECK(TakeAll(queue, 1) == test.taken);
  CHECK(queue.size() == 0);
}

struct FullCase {
  const char* name;
  std::vector<WaitingRequest> waiting;
  WaitingRequest offered;
  bool is_queued;
  std::uint64_t refused;
  QueueRefusalReason reason;
};

// Guards against refusing the important request, and against a flood that takes the places of other callers.
TEST_CASE("a full queue refuses the least important request of the largest caller", "[queue]") {
  using enum Importance;
  using enum QueueRefusalReason;
  const auto test = GENERATE(values<FullCase>({
      {"same caller, same importance",
       {RequestOf(1, "a"), RequestOf(2, "a"), RequestOf(3, "a"), RequestOf(4, "a")},
       RequestOf(9, "a"),
       false,
       9,
       kFull},
      {"same caller, more important",
       {RequestOf(1, "a"), RequestOf(2, "a", kLow), RequestOf(3, "a", kLow), RequestOf(4, "a")},
       RequestOf(9, "a", kHigh),
       true,
       3,
       kDisplaced},
      {"same caller, less important",
       {RequestOf(1, "a"), RequestOf(2, "a"), RequestOf(3, "a"), RequestOf(4, "a")},
       RequestOf(9, "a", kLow),
       false,
       9,
       kFull},
      {"another caller displaces the flood",
       {RequestOf(1, "a"), RequestOf(2, "a"), RequestOf(3, "a"), RequestOf(4, "a")},
       RequestOf(9, "b"),
       true,
       4,
       kDisplaced},
      {"another caller displaces the important flood to get its first place",
       {RequestOf(1, "a", kHigh), RequestOf(2, "a", kHigh), RequestOf(3, "a", kHigh), RequestOf(4, "a", kHigh)},
       RequestOf(9, "b", kLow),
       true,
       4,
       kDisplaced},
      {"beyond its first places it does not",
       {RequestOf(1, "a", kHigh), RequestOf(2, "a", kHigh), RequestOf(3, "a", kHigh), RequestOf(4, "b", kLow)},
       RequestOf(9, "b", kLow),
       false,
       9,
       kFull},
      {"equal shares",
       {RequestOf(1, "a"), RequestOf(2, "a"), RequestOf(3, "b"), RequestOf(4, "b")},
       RequestOf(9, "b"),
       false,
       9,
       kFull},
      {"more important than another caller's",
       {RequestOf(1, "a", kLow), RequestOf(2, "a", kLow), RequestOf(3, "b"), RequestOf(4, "b")},
       RequestOf(9, "b"),
       true,
       2,
       kDisplaced},
      {"the first places of another caller are not taken",
       {RequestOf(1, "a", kLow), RequestOf(2, "b"), RequestOf(3, "b"), RequestOf(4, "b")},
       RequestOf(9, "b", kHigh),
       true,
       4,
       kDisplaced},
  }));
  INFO(test.name);
  // With two callers each has one reserved place of four.
  AdmissionQueue queue({.capacity = 4, .reserved_percent = 50});
  for (const WaitingRequest& request : test.waiting) REQUIRE(queue.Offer(request, At(0)).is_queued);
  const AdmissionQueue::OfferResult result = queue.Offer(test.offered, At(0));
  CHECK(result.is_queued == test.is_queued);
  REQUIRE(result.refused.size() == 1);
  CHECK(result.refused[0].ticket == test.refused);
  CHECK(kQueueRefusalReasonNames.NameOf(result.refused[0].reason) == kQueueRefusalReasonNames.NameOf(test.reason));
  CHECK(result.refused[0].retry_after >= absl::Seconds(1));
  CHECK(queue.size() == 4);
}

/// A queue whose server takes one request each 100 ms.
AdmissionQueue SteadyQueue() {
  AdmissionQueue queue({});
  for (std::uint64_t i = 0; i < 100; ++i) queue.Offer(RequestOf(1000 + i, "z", Importance::kNormal, 1'000'000), At(0));
  for (int i = 1; i <= 100; ++i) REQUIRE(queue.Take(At(std::int64_t{i} * 100)).next.has_value());
  return queue;
}

struct WaitCase {
  int own;
  int other;
  int remaining_ms;
  bool is_queued;
};

// Guards against requests that wait only to expire, and against refusing those that would be answered in time.
TEST_CASE("requests that cannot be answered in time are refused at once", "[queue]") {
  // A request is expected to wait 100 ms for each request ahead and its own turn, and to take 50 ms.
  const auto test = GENERATE(values<WaitCase>({
      {0, 0, 149, false},
      {0, 0, 151, true},
      {5, 0, 649, false},
      {5, 0, 651, true},
      {0, 5, 249, false},  // the other caller has one turn first, not five
      {0, 5, 251, true},
      {2, 5, 649, false},
      {2, 5, 651, true},
  }));
  INFO(test.own << " own, " << test.other << " other, " << test.remaining_ms << " ms");
  AdmissionQueue queue = SteadyQueue();
  for (int i = 0; i < 50; ++i) queue.ObserveServiceTime(absl::Milliseconds(50));
  const int now = 10'000;
  std::uint64_t ticket = 0;
  for (int i = 0; i < test.other; ++i) REQUIRE(queue.Offer(RequestOf(++ticket, "b"), At(now)).is_queued);
  for (int i = 0; i < test.own; ++i) REQUIRE(queue.Offer(RequestOf(++ticket, "a"), At(now)).is_queued);
  const auto result = queue.Offer(RequestOf(99, "a", Importance::kNormal, now + test.remaining_ms), At(now));
  CHECK(result.is_queued == test.is_queued);
  if (!test.is_queued) {
    REQUIRE(result.refused.size() == 1);
    CHECK(result.refused[0].reason == QueueRefusalReason::kTooLate);
  }
}

// Guards against a stalled server whose queue still promises the former rate.
TEST_CASE("a stalled server lengthens the expected wait", "[queue]") {
  AdmissionQueue queue = SteadyQueue();
  queue.Offer(RequestOf(1, "a"), At(10'000));
  CHECK(queue.ExpectedWait("a", Importance::kNormal, At(10'000)) == absl::Milliseconds(200));
  CHECK(queue.ExpectedWait("a", Importance::kNormal, At(15'000)) == absl::Seconds(10));
  const auto result = queue.Offer(RequestOf(2, "a", Importance::kNormal, 20'000), At(15'000));
  CHECK_FALSE(result.is_queued);
  REQUIRE(result.refused.size() == 1);
  CHECK(result.refused[0].retry_after == absl::Seconds(5));
}

// Guards against requests that are passed on after their deadline, and against refusals that nobody is told of.
TEST_CASE("expired and cancelled requests leave the queue", "[queue]") {
  AdmissionQueue queue({});
  queue.Offer(RequestOf(1, "a", Importance::kNormal, 100), At(0));
  queue.Offer(RequestOf(2, "a", Importance::kNormal, 200), At(0));
  queue.Offer(RequestOf(3, "b", Importance::kNormal, 300), At(0));
  CHECK(queue.Cancel(3, At(0)));
  CHECK_FALSE(queue.Cancel(3, At(0)));
  CHECK(queue.Expire(At(95)).empty());
  const AdmissionQueue::TakeResult taken = queue.Take(At(96));
  REQUIRE(taken.refused.size() == 1);
  CHECK(taken.refused[0].ticket == 1);
  CHECK(taken.refused[0].reason == QueueRefusalReason::kExpired);
  REQUIRE(taken.next.has_value());
  CHECK(taken.next->ticket == 2);
  CHECK(queue.size() == 0);
  const auto offered = queue.Offer(RequestOf(4, "a", Importance::kNormal, 100), At(96));
  CHECK_FALSE(offered.is_queued);
  CHECK(offered.refused[0].reason == QueueRefusalReason::kExpired);
}

/// One step of a history of the queue.
struct QueueStep {
  int action;  ///< 0 to 4 offer, 5 and 6 take, 7 cancel, 8 time passes
  int caller;
  int importance;
  int amount;
};

void showValue(const QueueStep& step, std::ostream& out) {
  out << step.action << ":" << step.caller << ":" << step.importance << ":" << step.amount;
}

constexpr std::size_t kCapacity = 8;

/// Broken: tells nobody of the requests that made room.
class SilentQueue : public AdmissionQueue {
 public:
  using AdmissionQueue::AdmissionQueue;

  OfferResult Offer(const WaitingRequest& request, MonotonicTime now) {
    OfferResult result = AdmissionQueue::Offer(request, now);
    std::erase_if(result.refused,
                  [](const QueueRefusal& refusal) { return refusal.reason == QueueRefusalReason::kDisplaced; });
    return result;
  }
};

/// Broken: passes expired requests on.
class TimelessQueue : public AdmissionQueue {
 public:
  using AdmissionQueue::AdmissionQueue;

  OfferResult Offer(const WaitingRequest& request, MonotonicTime) { return AdmissionQueue::Offer(request, At(0)); }
  TakeResult Take(MonotonicTime) { return AdmissionQueue::Take(At(0)); }
};

/// Broken: holds more than its capacity.
class LargeQueue : public AdmissionQueue {
 public:
  explicit LargeQueue(Options options)
      : AdmissionQueue({.capacity = options.capacity + 1, .reserved_percent = options.reserved_percent}) {}
};

template <typename Queue>
std::optional<std::string> FindQueueFault(const std::vector<QueueStep>& steps) {
  Queue queue({.capacity = kCapacity, .reserved_percent = 50});
  std::map<std::uint64_t, WaitingRequest> waiting;
  std::uint64_t ticket = 0;
  int ms = 0;
  const auto leave = [&](const std::vector<QueueRefusal>& refused) {
    for (const QueueRefusal& refusal : refused) {
      if (waiting.erase(refusal.ticket) == 0) return false;
    }
    return true;
  };
  for (const QueueStep& step : steps) {
    if (step.action <= 4) {
      const WaitingRequest request = RequestOf(++ticket, "c" + std::to_string(step.caller),
                                               static_cast<Importance>(step.importance), ms + step.amount);
      waiting[ticket] = request;
      const auto result = queue.Offer(request, At(ms));
      if (!leave(result.refused)) return "a request was refused twice";
      if (waiting.contains(ticket) != result.is_queued) return "the offered request is neither queued nor refused";
    } else if (step.action <= 6) {
      const auto result = queue.Take(At(ms));
      if (!leave(result.refused)) return "a request was refused twice";
      if (result.next) {
        if (result.next->deadline <= At(ms)) return "an expired request was passed on";
        if (waiting.erase(result.next->ticket) == 0) return "a request left the queue twice";
      }
    } else if (step.action == 7 && !waiting.empty()) {
      const std::uint64_t cancelled = waiting.begin()->first;
      if (!queue.Cancel(cancelled, At(ms))) return "a waiting request was not found";
      waiting.erase(cancelled);
    } else if (step.action == 8) {
      ms += step.amount / 4;
    }
    if (queue.size() > kCapacity) return "more requests wait than the capacity permits";
    if (queue.size() != waiting.size()) return "a request left the queue and nobody was told";
  }
  return std::nullopt;
}

template <typename Queue>
void CheckQueue() {
  const auto steps = *rc::gen::scale(
      4.0, rc::gen::container<std::vector<QueueStep>>(rc::gen::construct<QueueStep>(
               rc::gen::inRange(0, 9), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(1, 200))));
  const std::optional<std::string> fault = FindQueueFault<Queue>(steps);
  if (fault) RC_FAIL(*fault);
}

// Guards against requests that are lost, answered twice or passed on too late in any order of events.
TEST_CASE("every request leaves the queue once", "[queue]") { CHECK(rc::check(CheckQueue<AdmissionQueue>)); }

TEST_CASE("the check of the queue catches broken queues", "[queue]") {
  CHECK_FALSE(rc::detail::checkTestable(CheckQueue<SilentQueue>).is<rc::detail::SuccessResult>());
  CHECK_FALSE(rc::detail::checkTestable(CheckQueue<TimelessQueue>).is<rc::detail::SuccessResult>());
  CHECK_FALSE(rc::detail::checkTestable(CheckQueue<LargeQueue>).is<rc::detail::SuccessResult>());
}

/// Broken: first come, first served, whoever calls.
class FirstComeQueue {
 public:
  explicit FirstComeQueue(AdmissionQueue::Options options) : m_capacity(options.capacity) {}

  AdmissionQueue::OfferResult Offer(const WaitingRequest& request, MonotonicTime) {
    if (m_requests.size() >= m_capacity) return {};
    m_requests.push_back(request);
    return {.is_queued = true};
  }
  AdmissionQueue::TakeResult Take(MonotonicTime now) {
    AdmissionQueue::TakeResult result;
    while (!m_requests.empty() && !result.next) {
      if (m_requests.front().deadline > now) result.next = m_requests.front();
      m_requests.pop_front();
    }
    return result;
  }

 private:
  std::size_t m_capacity;
  std::deque<WaitingRequest> m_requests;
};

/// Share of a modest caller's requests that are served while another caller floods the queue.
template <typename Queue>
double ServedShare(Importance flood_importance) {
  Queue queue({.capacity = 64});
  std::uint64_t ticket = 0;
  int offered = 0;
  int served = 0;
  // The server takes one request each 10 ms; the flood offers ten times that, the modest caller a quarter of it.
  for (int ms = 0; ms < 20'000; ms += 10) {
    for (int i = 0; i < 10; ++i) queue.Offer(RequestOf(++ticket, "flood", flood_importance, ms + 2000), At(ms));
    if (ms % 40 == 0) {
      ++offered;
      queue.Offer(RequestOf(++ticket, "modest", Importance::kNormal, ms + 300), At(ms));
    }
    const auto taken = queue.Take(At(ms));
    if (taken.next && taken.next->caller == "modest") ++served;
  }
  return 1.0 * served / offered;
}

// Guards against one caller's flood that starves the others.
TEST_CASE("a flood does not starve other callers", "[queue]") {
  const Importance importance = GENERATE(Importance::kLow, Importance::kNormal, Importance::kHigh);
  CHECK(ServedShare<AdmissionQueue>(importance) > 0.99);
  CHECK(ServedShare<FirstComeQueue>(importance) < 0.5);
}

}  // namespace
}  // namespace berylgauge
