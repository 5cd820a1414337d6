#include "control/partition_tail.h"

#include <catch2/catch.hpp>
#include <memory>

#include "memory_keyed_log.h"
#include "wait_until.h"

namespace berylgauge::control {
namespace {

constexpr absl::Duration kWait = absl::Milliseconds(200);
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(100);

/// One tail on a store.
struct TailWorld {
  EventLoop loop;
  MemoryStore store;
  std::unique_ptr<MemoryKeyedLog> log;
  std::unique_ptr<PartitionTail> tail;

  TailWorld() {
    loop.RunSync([this] {
      log = std::make_unique<MemoryKeyedLog>(loop, store);
      tail = std::make_unique<PartitionTail>(
          loop, *log,
          PartitionTailOptions{
              .partition = {.topic = "keyed.t", .number = 0}, .wait = kWait, .answer_timeout = kAnswerTimeout},
          PartitionTail::Listener{.on_record = [](const KeyedRecord&) {}, .on_reset = [] {}, .on_end = [] {}});
      tail->Start();
    });
  }
  ~TailWorld() {
    loop.RunSync([this] { tail.reset(); });
  }
};

// Guards against a tail that learns of new records seconds after the store is back: refusals extended the timeout of
// the read that met a silent connection next.
TEST_CASE("refused reads do not extend the timeout of later ones, unanswered ones do", "[tail]") {
  const bool is_refusal = GENERATE(true, false);
  INFO("refusal: " << is_refusal);
  TailWorld world;
  REQUIRE(WaitUntil(world.loop, absl::Seconds(2), [&] { return world.tail->is_loaded(); }));
  world.loop.RunSync([&] { (is_refusal ? world.log->faults.refuses : world.log->faults.is_cut) = true; });
  REQUIRE(WaitUntil(world.loop, absl::Seconds(5), [&] { return world.tail->failures() >= 4; }));
  world.loop.RunSync([&] {
    CHECK((world.log->longest_read_timeout == kWait + kAnswerTimeout) == is_refusal);
    world.log->faults = {};
  });
  CHECK(WaitUntil(world.loop, absl::Seconds(3), [&] { return world.tail->failures() == 0; }));
}

// Guards against starts that are sent although nothing has been read for a while, and against starts that wait although
// the store answers: on a partition without new records each read is answered only after its wait.
TEST_CASE("a tail knows up to when its state is complete", "[tail]") {
  TailWorld world;
  REQUIRE(WaitUntil(world.loop, absl::Seconds(2), [&] { return world.tail->is_at_end(); }));
  const auto age = [&] { return world.loop.Now() - world.tail->complete_as_of(); };
  CHECK(WaitUntil(world.loop, absl::Seconds(1), [&] { return age() < kWait / 2; }));
  world.loop.RunSync([&] { world.log->faults.is_cut = true; });
  CHECK(WaitUntil(world.loop, absl::Seconds(3), [&] { return age() > 4 * kWait; }));
  world.loop.RunSync([&] { world.log->faults.is_cut = false; });
  CHECK(WaitUntil(world.loop, absl::Seconds(3), [&] { return age() < kWait / 2; }));
}

}  // namespace
}  // namespace berylgauge::control
