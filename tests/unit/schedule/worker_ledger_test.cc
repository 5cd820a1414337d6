#include "schedule/worker_ledger.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

constexpr Resources kCapacity{.cpu_millis = 16'000, .memory_mb = 60'000, .accelerators = 2, .slots = 8};

AttemptKey Key(int number) { return {TaskId("t" + std::to_string(number)), 1}; }

struct BookCase {
  const char* name;
  Resources declared;
  LedgerRefusal expected;
};

// Guards against admission beyond what is left after the reserve, in any dimension.
TEST_CASE("ledger admits up to capacity minus reserve", "[worker_ledger]") {
  const auto test = GENERATE(values<BookCase>({
      {"all that is left", {15'000, 58'000, 1, 7}, LedgerRefusal::kNone},
      {"nothing", {}, LedgerRefusal::kNone},
      {"too many processors", {15'001, 1, 0, 1}, LedgerRefusal::kProcessors},
      {"too much memory", {1, 58'001, 0, 1}, LedgerRefusal::kMemory},
      {"too many accelerators", {1, 1, 2, 1}, LedgerRefusal::kAccelerators},
      {"too many slots", {1, 1, 0, 8}, LedgerRefusal::kSlots},
      {"the hard limit is named first", {15'001, 58'001, 0, 1}, LedgerRefusal::kMemory},
      {"negative", {-1, 0, 0, 0}, LedgerRefusal::kInvalidAmount},
      {"largest number", {INT64_MAX, INT64_MAX, INT64_MAX, INT64_MAX}, LedgerRefusal::kMemory},
  }));
  INFO(test.name);
  WorkerLedger ledger({.reserve = {.cpu_millis = 1'000, .memory_mb = 2'000}});
  ledger.SetCapacity(kCapacity);
  REQUIRE(ledger.Book(Key(0), {.declared = {0, 0, 1, 1}}) == LedgerRefusal::kNone);
  CHECK(ledger.Check(Key(1), {.declared = test.declared}) == test.expected);
  CHECK(ledger.Book(Key(1), {.declared = test.declared}) == test.expected);
  CHECK(ledger.Contains(Key(1)) == (test.expected == LedgerRefusal::kNone));
}

// Guards against a second booking that would replace the first.
TEST_CASE("ledger books an attempt once", "[worker_ledger]") {
  WorkerLedger ledger;
  ledger.SetCapacity(kCapacity);
  REQUIRE(ledger.Book(Key(1), {.declared = {1'000, 1'000, 0, 1}}) == LedgerRefusal::kNone);
  CHECK(ledger.Book(Key(1), {.declared = {2'000, 1'000, 0, 1}}) == LedgerRefusal::kAlreadyBooked);
  CHECK(ledger.booked() == Resources{1'000, 1'000, 0, 1});
  ledger.Release(Key(1));
  ledger.Release(Key(1));
  CHECK(ledger.booked() == Resources{});
}

struct ObserveCase {
  const char* name;
  Resources observed;
  Resources booked;
};

// Guards against bookings that follow a declaration although the task uses more, or a measurement that lags behind.
TEST_CASE("ledger books the larger of declared and observed", "[worker_ledger]") {
  const auto test = GENERATE(values<ObserveCase>({
      {"less", {500, 500, 0, 1}, {1'000, 1'000, 0, 1}},
      {"more memory", {500, 2'000, 0, 1}, {1'000, 2'000, 0, 1}},
      {"more of both", {3'000, 2'000, 0, 1}, {3'000, 2'000, 0, 1}},
      {"an undeclared accelerator", {0, 0, 1, 1}, {1'000, 1'000, 1, 1}},
  }));
  INFO(test.name);
  WorkerLedger ledger;
  ledger.SetCapacity(kCapacity);
  ledger.Book(Key(1), {.declared = {1'000, 1'000, 0, 1}});
  ledger.Observe(Key(1), test.observed);
  CHECK(ledger.booked() == test.booked);
  ledger.Observe(Key(1), {});
  CHECK(ledger.booked() == test.booked);
}

// Guards against a class whose tasks outgrow their declarations being admitted as declared again and again.
TEST_CASE("ledger learns the headroom of a class", "[worker_ledger]") {
  WorkerLedger ledger({.max_headroom_percent = 200, .headroom_decay_percent = 50});
  ledger.SetCapacity(kCapacity);
  const LedgerRequest request{.declared = {1'000, 10'000, 0, 1}, .job_class = "finish"};
  ledger.Book(Key(1), request);
  ledger.Observe(Key(1), {1'000, 15'000, 0, 1});
  CHECK(ledger.HeadroomPercent("finish") == 150);
  CHECK(ledger.HeadroomPercent("other") == 100);
  CHECK(ledger.AmountFor(request) == Resources{1'000, 15'000, 0, 1});
  SECTION("up to its limit") {
    ledger.Observe(Key(1), {1'000, 45'000, 0, 1});
    CHECK(ledger.HeadroomPercent("finish") == 200);
  }
  SECTION("and unlearns it slowly") {
    ledger.Release(Key(1));
    ledger.Book(Key(2), request);
    ledger.Observe(Key(2), {1'000, 10'000, 0, 1});
    CHECK(ledger.HeadroomPercent("finish") == 150);
    ledger.Release(Key(2));
    CHECK(ledger.HeadroomPercent("finish") == 125);
  }
  SECTION("but never so that a task that fits as declared cannot start on an empty worker") {
    ledger.Release(Key(1));
    const LedgerRequest large{.declared = {1'000, 50'000, 0, 1}, .job_class = "finish"};
    CHECK(ledger.AmountFor(large).memory_mb == 60'000);
    CHECK(ledger.Book(Key(3), large) == LedgerRefusal::kNone);
  }
}

struct ExcessCase {
  const char* name;
  Resources capacity;
  Resources excess;
  int throttle_percent;
};

// Guards against processors being treated as a hard limit and memory as a soft one.
TEST_CASE("ledger throttles processors and reports excess of the rest", "[worker_ledger]") {
  const auto test = GENERATE(values<ExcessCase>({
      {"enough", {16'000, 60'000, 2, 8}, {}, 100},
      {"fewer processors", {10'000, 60'000, 2, 8}, {}, 75},
      {"fewer processors than the services use", {2'000, 60'000, 2, 8}, {}, 1},
      {"less memory", {16'000, 10'000, 2, 8}, {0, 10'000, 0, 0}, 100},
      {"no accelerators", {16'000, 60'000, 0, 8}, {0, 0, 1, 0}, 100},
      {"fewer slots", {16'000, 60'000, 2, 1}, {0, 0, 0, 1}, 100},
  }));
  INFO(test.name);
  WorkerLedger ledger;
  ledger.SetCapacity(kCapacity);
  ledger.Book(Key(1), {.declared = {4'000, 10'000, 1, 1}, .kind = TaskKind::kService});
  ledger.Book(Key(2), {.declared = {8'000, 10'000, 0, 1}, .kind = TaskKind::kBatch});
  ledger.SetCapacity(test.capacity);
  CHECK(ledger.Excess() == test.excess);
  CHECK(ledger.ThrottlePercent() == test.throttle_percent);
}

// Guards against an adopted task that is not booked because there is no room; it runs all the same.
TEST_CASE("ledger adopts without regard to room and then admits nothing", "[worker_ledger]") {
  WorkerLedger ledger;
  ledger.SetCapacity({.cpu_millis = 1'000, .memory_mb = 1'000, .accelerators = 0, .slots = 1});
  ledger.Adopt(Key(1), {.declared = {2'000, 500, 0, 1}}, {0, 3'000, 0, 1});
  CHECK(ledger.booked() == Resources{2'000, 3'000, 0, 1});
  CHECK(ledger.Excess() == Resources{0, 2'000, 0, 0});
  CHECK(ledger.Book(Key(2), {.declared = {1, 1, 0, 0}}) != LedgerRefusal::kNone);
}

// Guards against sums that overflow when a worker reports nonsense.
TEST_CASE("ledger limits amounts that a worker reports", "[worker_ledger]") {
  WorkerLedger ledger;
  ledger.SetCapacity({INT64_MAX, INT64_MAX, INT64_MAX, INT64_MAX});
  for (int i = 0; i < 100; ++i) {
    ledger.Adopt(Key(i), {.declared = {INT64_MAX, INT64_MAX, INT64_MAX, INT64_MAX}}, {INT64_MIN, INT64_MAX, 0, -1});
  }
  CHECK(ledger.booked().memory_mb > 0);
  CHECK(ledger.Book(Key(1'000), {.declared = {1, 1, 1, 1}}) == LedgerRefusal::kMemory);
}

// ---- properties

/// A ledger as the property drives it, so that a broken one can take its place.
class LedgerUnderTest {
 public:
  virtual ~LedgerUnderTest() = default;
  virtual LedgerRefusal Book(const AttemptKey& key, const LedgerRequest& request) = 0;
  virtual void Observe(const AttemptKey& key, const Resources& observed) = 0;
  virtual const WorkerLedger& ledger() const = 0;
  virtual WorkerLedger& ledger() = 0;
};

class SoundLedger : public LedgerUnderTest {
 public:
  explicit SoundLedger(const Resources& reserve) : m_ledger({.reserve = reserve}) {}
  LedgerRefusal Book(const AttemptKey& key, const LedgerRequest& request) override {
    return m_ledger.Book(key, request);
  }
  void Observe(const AttemptKey& key, const Resources& observed) override { m_ledger.Observe(key, observed); }
  const WorkerLedger& ledger() const override { return m_ledger; }
  WorkerLedger& ledger() override { return m_ledger; }

 private:
  WorkerLedger m_ledger;
};

/// Admits what does not fit.
class SkippedLedger final : public SoundLedger {
 public:
  using SoundLedger::SoundLedger;
  LedgerRefusal Book(const AttemptKey& key, const LedgerRequest& request) override {
    const LedgerRefusal refusal = ledger().Check(key, request);
    if (refusal == LedgerRefusal::kNone || refusal == LedgerRefusal::kAlreadyBooked) {
      return SoundLedger::Book(key, request);
    }
    ledger().Adopt(key, request, {});
    return LedgerRefusal::kNone;
  }
};

/// Books as declared, whatever is observed.
class BlindLedger final : public SoundLedger {
 public:
  using SoundLedger::SoundLedger;
  void Observe(const AttemptKey& /*key*/, const Resources& /*observed*/) override {}
};

/// Admits into the reserve.
class ReservelessLedger final : public SoundLedger {
 public:
  explicit ReservelessLedger(const Resources& /*reserve*/) : SoundLedger(Resources{}) {}
};

constexpr Resources kReserve{.cpu_millis = 2'000, .memory_mb = 6'000, .accelerators = 0, .slots = 1};

/// Runs random operations and returns the first violation.
std::string RunLedger(LedgerUnderTest& tested, const std::vector<std::uint32_t>& draws) {
  Resources capacity = kCapacity;
  tested.ledger().SetCapacity(capacity);
  for (const std::uint32_t draw : draws) {
    const AttemptKey key = Key(static_cast<int>(draw / 8 % 12));
    const Resources amount{.cpu_millis = draw / 3 % 6'000,
                           .memory_mb = draw / 5 % 25'000,
                           .accelerators = draw / 7 % 2,
                           .slots = draw / 11 % 3};
    const LedgerRequest request{.declared = amount, .job_class = "c" + std::to_string(draw % 2)};
    const Resources before = tested.ledger().booked();
    switch (draw % 8) {
      case 0:
      case 1:
      case 2: {
        const LedgerRefusal refusal = tested.Book(key, request);
        const Resources& booked = tested.ledger().booked();
        if (refusal == LedgerRefusal::kNone && !booked.FitsIn(capacity - kReserve)) return "above the limit";
        if (refusal != LedgerRefusal::kNone && booked != before) return "a refusal changed the bookings";
        break;
      }
      case 3:
      case 4:
        tested.Observe(key, amount);
        if (const LedgerEntry* entry = tested.ledger().Find(key)) {
          if (!amount.FitsIn(entry->booked)) return "observed more than booked";
        }
        break;
      case 5:
      case 6:
        tested.ledger().Release(key);
        break;
      default:
        capacity = draw % 3 == 0 ? kCapacity : Resources{8'000, 30'000, 1, 4};
        tested.ledger().SetCapacity(capacity);
        break;
    }
    Resources sum;
    for (const auto& [entry_key, entry] : tested.ledger().entries()) {
      sum += entry.booked;
      if (!entry.declared.FitsIn(entry.booked)) return "books less than declared";
    }
    if (sum != tested.ledger().booked()) return "the sum is wrong";
  }
  return "";
}

// Guards against any order of bookings, measurements and capacity changes that admits too much.
TEST_CASE("ledger never admits above the limit", "[worker_ledger][property]") {
  CHECK(rc::check("no violation", [](const std::vector<std::uint32_t>& draws) {
    SoundLedger ledger(kReserve);
    RC_ASSERT(RunLedger(ledger, draws) == "");
  }));
}

struct BrokenLedgerCase {
  const char* name;
  std::unique_ptr<LedgerUnderTest> (*make)();
  const char* violation;
};

template <typename T>
std::unique_ptr<LedgerUnderTest> Make() {
  return std::make_unique<T>(kReserve);
}

// Guards against a property that passes whatever the ledger does.
TEST_CASE("the ledger property catches broken ledgers", "[worker_ledger][property]") {
  const auto test = GENERATE(values<BrokenLedgerCase>({
      {"skipped", Make<SkippedLedger>, "above the limit"},
      {"blind", Make<BlindLedger>, "observed more than booked"},
      {"without reserve", Make<ReservelessLedger>, "above the limit"},
  }));
  INFO(test.name);
  std::mt19937_64 random(20261204);
  bool caught = false;
  for (int run = 0; run < 200 && !caught; ++run) {
    std::vector<std::uint32_t> draws(100);
    for (std::uint32_t& draw : draws) draw = static_cast<std::uint32_t>(random());
    caught = RunLedger(*test.make(), draws) == test.violation;
  }
  CHECK(caught);
}

}  // namespace
}  // namespace berylgauge
