#include "control/shared_read.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "memory_keyed_log.h"
#include "wait_until.h"

namespace berylgauge::control {
namespace {

const LogPartition kPartition{.topic = "keyed.t", .number = 0};
constexpr absl::Duration kInterval = absl::Milliseconds(20);

/// A tail that reads by itself once in ten seconds at most.
struct SharedReadWorld {
  EventLoop loop;
  MemoryStore store;
  std::vector<std::string> keys;  ///< that were read
  std::unique_ptr<MemoryKeyedLog> log;
  std::unique_ptr<PartitionTail> tail;
  std::unique_ptr<SharedRead> read;

  SharedReadWorld() {
    loop.RunSync([this] {
      log = std::make_unique<MemoryKeyedLog>(loop, store);
      tail = std::make_unique<PartitionTail>(
          loop, *log, PartitionTailOptions{.partition = kPartition, .min_interval = absl::Seconds(10)},
          PartitionTail::Listener{.on_record = [this](const KeyedRecord& record) { keys.push_back(record.key); },
                                  .on_reset = [] {},
                                  .on_end = [] {}});
      tail->Start();
      read = std::make_unique<SharedRead>(loop, *tail,
                                          SharedReadOptions{.interval = kInterval, .timeout = absl::Seconds(1)});
    });
    REQUIRE(WaitUntil(loop, absl::Seconds(2), [&] { return tail->is_loaded(); }));
  }
  ~SharedReadWorld() {
    loop.RunSync([this] {
      read.reset();
      tail.reset();
    });
  }
};

// The pattern "unknown ids without bound": each costs a call of the store, which limits the calls of all entries.
TEST_CASE("requests in quick succession share a read", "[read]") {
  constexpr int kRequests = 300;
  SharedReadWorld world;
  int answered = 0;
  int complete = 0;
  const int reads_before = world.log->reads;
  const absl::Time begun = absl::Now();
  for (int i = 0; i < kRequests; ++i) {
    world.loop.RunSync([&] {
      world.read->Request([&](bool is_complete) {
        ++answered;
        complete += is_complete ? 1 : 0;
      });
    });
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(WaitUntil(world.loop, absl::Seconds(2), [&] { return answered == kRequests; }));
  CHECK(complete == kRequests);
  const absl::Duration elapsed = absl::Now() - begun;
  // One at the begin, and one of the tail itself.
  world.loop.RunSync([&] { CHECK(world.log->reads - reads_before <= elapsed / kInterval + 2); });
}

// Guards against an answer from a read that began before the request.
TEST_CASE("a request is answered by a read that begins after it", "[read]") {
  SharedReadWorld world;
  bool is_read = false;
  bool is_answered = false;
  const int reads_before = world.log->reads;
  world.loop.RunSync([&] {
    world.read->Request([](bool) {});
    world.store.Append({.partition = kPartition,
                        .records = {{.key = "k", .value = "v"}},
                        .producer = {.name = "other", .epoch = 1, .sequence = 0}});
    world.read->Request([&](bool) {
      is_answered = true;
      is_read = world.keys == std::vector<std::string>{"k"};
    });
  });
  CHECK(WaitUntil(world.loop, absl::Seconds(2), [&] { return is_answered; }));
  CHECK(is_read);
  world.loop.RunSync([&] { CHECK(world.log->reads - reads_before == 2); });
}

}  // namespace
}  // namespace berylgauge::control
