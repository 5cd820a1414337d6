#include "routing/outlier_detector.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rapidcheck.h"
#include "rapidcheck/detail/Property.h"
#include "routing_fixtures.h"

namespace berylgauge {
namespace {

std::unique_ptr<const RoutingTable> TableOfSize(int endpoints) {
  std::vector<WorkerSpec> workers;
  for (int i = 1; i <= endpoints; ++i) workers.push_back({.worker = "w" + std::to_string(i)});
  return TableOf(workers);
}

int CountEjected(const RoutingTable& table, int endpoints, MonotonicTime now) {
  int ejected = 0;
  for (int i = 1; i <= endpoints; ++i) {
    ejected += EndpointOf(table, "w" + std::to_string(i))->state->IsEjected(now) ? 1 : 0;
  }
  return ejected;
}

void Fail(OutlierDetector& detector, const RoutingTable& table, const std::string& worker, int times, int ms) {
  for (int i = 0; i < times; ++i) {
    detector.Record(table, *EndpointOf(table, worker), EndpointSignal::kFailure, absl::ZeroDuration(), At(ms));
  }
}

struct FailureCase {
  const char* name;
  std::vector<EndpointSignal> signals;
  bool is_ejected;
};

// Guards against an endpoint that fails everything and stays in rotation, and against ejection for single failures.
TEST_CASE("consecutive failures eject an endpoint", "[outlier]") {
  using enum EndpointSignal;
  const auto test = GENERATE(values<FailureCase>({
      {"four failures", {kFailure, kFailure, kFailure, kFailure}, false},
      {"five failures", {kFailure, kFailure, kFailure, kFailure, kFailure}, true},
      {"a success between", {kFailure, kFailure, kFailure, kSuccess, kFailure, kFailure}, false},
      {"a refusal says nothing", {kFailure, kFailure, kNone, kFailure, kFailure, kFailure}, true},
      {"only refusals", {kNone, kNone, kNone, kNone, kNone, kNone}, false},
  }));
  INFO(test.name);
  const auto table = TableOfSize(2);
  const RoutedEndpointPtr endpoint = EndpointOf(*table, "w1");
  OutlierDetector detector({});
  bool ejected = false;
  for (const EndpointSignal signal : test.signals) {
    ejected = detector.Record(*table, *endpoint, signal, absl::Milliseconds(1), At(0)) || ejected;
  }
  CHECK(ejected == test.is_ejected);
  CHECK(endpoint->state->IsEjected(At(0)) == test.is_ejected);
}

struct FloorCase {
  int endpoints;
  int ejected;  ///< when all of them fail
};

// Guards against ejecting so many endpoints that the rest is overloaded.
TEST_CASE("part of the endpoints is never ejected", "[outlier]") {
  const auto test = GENERATE(values<FloorCase>({{1, 0}, {2, 1}, {3, 1}, {4, 2}, {5, 2}, {10, 5}}));
  INFO(test.endpoints);
  const auto table = TableOfSize(test.endpoints);
  OutlierDetector detector({});
  for (int i = 1; i <= test.endpoints; ++i) Fail(detector, *table, "w" + std::to_string(i), 20, 0);
  CHECK(CountEjected(*table, test.endpoints, At(0)) == test.ejected);
}

// Guards against a failing endpoint that is spared for good because the floor held when it reached the threshold.
TEST_CASE("ejection follows as soon as the floor permits it", "[outlier]") {
  const auto table = TableOfSize(2);
  OutlierDetector detector({});
  Fail(detector, *table, "w1", 5, 0);
  Fail(detector, *table, "w2", 5, 0);
  CHECK_FALSE(EndpointOf(*table, "w2")->state->IsEjected(At(0)));
  Fail(detector, *table, "w2", 1, 5000);
  CHECK(EndpointOf(*table, "w2")->state->IsEjected(At(5000)));
}

struct LatencyCase {
  const char* name;
  std::vector<int> latencies_ms;
  int samples;
  std::vector<std::string> ejected;
};

// Guards against a slow endpoint that spoils the tail latency, and against ejecting the merely slower ones.
TEST_CASE("latency against the other endpoints ejects an endpoint", "[outlier]") {
  const auto test = GENERATE(values<LatencyCase>({
      {"one is slow", {10, 10, 10, 100}, 10, {"w4"}},
      {"all are slow", {100, 100, 100, 100}, 10, {}},
      {"three times the median is tolerated", {10, 20, 20, 60}, 10, {}},
      {"small differences are tolerated", {1, 1, 1, 20}, 10, {}},
      {"too few samples", {10, 10, 10, 100}, 9, {}},
      {"too few others", {10, 100}, 10, {}},
      {"slowest first, down to the floor", {10, 10, 10, 300, 400, 500}, 10, {"w6", "w5", "w4"}},
      {"half of them", {10, 10, 500, 400}, 10, {"w3", "w4"}},
  }));
  INFO(test.name);
  const int count = static_cast<int>(test.latencies_ms.size());
  const auto table = TableOfSize(count);
  OutlierDetector detector({});
  for (int i = 0; i < count; ++i) {
    const RoutedEndpointPtr endpoint = EndpointOf(*table, "w" + std::to_string(i + 1));
    const absl::Duration latency = absl::Milliseconds(test.latencies_ms[static_cast<std::size_t>(i)]);
    for (int n = 0; n < test.samples; ++n) {
      detector.Record(*table, *endpoint, EndpointSignal::kSuccess, latency, At(0));
    }
  }
  std::vector<std::string> ejected;
  for (const Ejection& ejection : detector.Sweep(*table, At(1000))) {
    CHECK(ejection.reason == EjectionReason::kLatency);
    ejected.push_back(ejection.endpoint->worker.value());
  }
  CHECK(ejected == test.ejected);
  // Samples count for one sweep only.
  CHECK(detector.Sweep(*table, At(1001)).empty());
}

// Guards against an endpoint that alternates between failing and returning at a high rate.
TEST_CASE("ejections grow and are forgotten in healthy times", "[outlier]") {
  const auto table = TableOfSize(2);
  OutlierDetector detector({});
  const RoutedEndpointPtr endpoint = EndpointOf(*table, "w1");
  std::vector<int> seconds;
  int ms = 0;
  for (int i = 0; i < 9; ++i) {
    const absl::Duration expected = detector.NextEjection(*endpoint->state, At(ms));
    Fail(detector, *table, "w1", 5, ms);
    const absl::Duration duration = endpoint->state->ejected_until() - At(ms);
    CHECK(duration == expected);
    seconds.push_back(static_cast<int>(absl::ToInt64Seconds(duration)));
    ms += static_cast<int>(absl::ToInt64Milliseconds(duration));
  }
  CHECK(seconds == std::vector{5, 10, 20, 40, 80, 160, 300, 300, 300});
  CHECK(detector.NextEjection(*endpoint->state, At(ms + 4 * 60'000)) == absl::Seconds(160));
  CHECK(detector.NextEjection(*endpoint->state, At(ms + 60 * 60'000)) == absl::Seconds(5));
}

// Guards against late answers from before an ejection that eject the endpoint again on its return.
TEST_CASE("answers during an ejection do not count", "[outlier]") {
  const auto table = TableOfSize(2);
  OutlierDetector detector({});
  Fail(detector, *table, "w1", 5, 0);
  Fail(detector, *table, "w1", 50, 10);
  const EndpointState& state = *EndpointOf(*table, "w1")->state;
  CHECK(state.ejected_until() == At(5000));
  CHECK(state.consecutive_failures() == 0);
  CHECK_FALSE(state.IsEjected(At(5000)));
  Fail(detector, *table, "w1", 4, 5000);
  CHECK_FALSE(state.IsEjected(At(5000)));
}

struct Answer {
  int endpoint;
  int kind;  ///< 0 success, 1 failure, 2 sweep
  int latency_ms;
};

void showValue(const Answer& answer, std::ostream& out) {
  out << answer.endpoint << ":" << answer.kind << ":" << answer.latency_ms;
}

template <int kMinServingPercent>
void CheckFloor() {
  const int endpoints = *rc::gen::inRange(1, 9);
  const auto answers = *rc::gen::scale(
      5.0,
      rc::gen::container<std::vector<Answer>>(rc::gen::construct<Answer>(
          rc::gen::inRange(0, 8), rc::gen::weightedElement<int>({{4, 0}, {12, 1}, {1, 2}}), rc::gen::inRange(0, 500))));
  const auto table = TableOfSize(endpoints);
  OutlierDetector detector({.min_serving_percent = kMinServingPercent});
  int ms = 0;
  for (const Answer& answer : answers) {
    ms += 20;
    const RoutedEndpointPtr endpoint = EndpointOf(*table, "w" + std::to_string(answer.endpoint % endpoints + 1));
    if (answer.kind == 2) {
      detector.Sweep(*table, At(ms));
    } else {
      const EndpointSignal signal = answer.kind == 0 ? EndpointSignal::kSuccess : EndpointSignal::kFailure;
      detector.Record(*table, *endpoint, signal, absl::Milliseconds(answer.latency_ms), At(ms));
    }
    const int serving = endpoints - CountEjected(*table, endpoints, At(ms));
    RC_ASSERT(serving >= 1);
    RC_ASSERT(serving * 2 >= endpoints);
  }
}

// Guards against ejecting more than half of the endpoints in any order of answers.
TEST_CASE("half of the endpoints stay in rotation", "[outlier]") { CHECK(rc::check(CheckFloor<50>)); }

TEST_CASE("the check of the floor catches a lower floor", "[outlier]") {
  CHECK_FALSE(rc::detail::checkTestable(CheckFloor<10>).is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace berylgauge
