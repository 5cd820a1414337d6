#include "control/log_writer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/partition_tail.h"
#include "control/submission_queue.h"
#include "memory_keyed_log.h"
#include "wait_until.h"

namespace berylgauge::control {
namespace {

const LogPartition kPartition = {.topic = "keyed.work", .number = 0};

// Guards against a record that is stored twice, or taken for lost, because an answer of the store was lost.
TEST_CASE("an append whose answers are lost is stored once", "[log]") {
  const int lost = GENERATE(0, 1, 3);
  EventLoop loop;
  MemoryStore store;
  MemoryKeyedLog log(loop, store);
  log.faults.lost_answers = lost;
  std::optional<AppendAnswer> answer;
  std::unique_ptr<LogWriter> writer;
  loop.RunSync([&] {
    writer = std::make_unique<LogWriter>(loop, log, LogWriterOptions{.partition = kPartition, .producer = "p"});
    writer->Write({{.key = "a", .value = "1"}}, std::nullopt, absl::Milliseconds(10),
                  [&](const AppendAnswer& given) { answer = given; });
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(10), [&] { return answer.has_value(); }));
  CHECK(answer->outcome == AppendOutcome::kStored);  // never given up: it may have been stored
  CHECK(store.Get(kPartition).records.size() == 1);
  CHECK(log.appends == lost + 1);
  loop.RunSync([&] { writer.reset(); });
}

/// A store behind a link of 10 Mbit/s: an append is answered when its bytes have arrived, if its caller still waits.
class SlowLinkLog final : public KeyedLog {
 public:
  explicit SlowLinkLog(EventLoop& loop) : m_loop(loop) {}

  int appends = 0;

  void Append(const AppendCall& call, absl::Duration timeout, AppendCallback callback) override {
    constexpr double kBytesPerSecond = 1.25e6;
    ++appends;
    std::size_t bytes = 0;
    for (const KeyedRecord& record : call.records) bytes += record.key.size() + record.value.size();
    const absl::Duration needed = absl::Seconds(static_cast<double>(bytes) / kBytesPerSecond);
    const AppendOutcome outcome = needed < timeout ? AppendOutcome::kStored : AppendOutcome::kUnknown;
    m_loop.AddTimer(m_loop.Now() + std::min(needed, timeout), [outcome, callback = std::move(callback)]() mutable {
      callback({.outcome = outcome, .detail = {}});
    });
  }
  void Read(const LogPartition&, std::int64_t, absl::Duration, absl::Duration, ReadCallback) override {}
  void ReadNewest(const LogPartition&, const std::string&, absl::Duration, NewestCallback) override {}

 private:
  EventLoop& m_loop;
};

// The load "large jobs at a host with a slow link": guards against appends that are repeated before their bytes can
// have arrived, by which an entry takes its store for lost and refuses everybody.
TEST_CASE("an append is given the time that its size needs", "[log]") {
  const std::size_t bytes = GENERATE(100, 200'000, 1'000'000);
  CAPTURE(bytes);
  EventLoop loop;
  SlowLinkLog log(loop);
  std::optional<AppendAnswer> answer;
  std::unique_ptr<LogWriter> writer;
  loop.RunSync([&] {
    writer = std::make_unique<LogWriter>(loop, log, LogWriterOptions{.partition = kPartition, .producer = "p"});
    writer->Write({{.key = "a", .value = std::string(bytes, 'x')}}, std::nullopt, absl::Milliseconds(700),
                  [&](const AppendAnswer& given) { answer = given; });
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(20), [&] { return answer.has_value(); }));
  CHECK(answer->outcome == AppendOutcome::kStored);
  CHECK(log.appends == 1);
  loop.RunSync([&] { writer.reset(); });
}

// Guards against a refusal of something that is stored all the same.
TEST_CASE("an append that the store refuses is given up and never stored", "[log]") {
  EventLoop loop;
  MemoryStore store;
  MemoryKeyedLog log(loop, store);
  log.faults.refuses = true;
  std::optional<AppendOutcome> first;
  std::optional<AppendOutcome> second;
  std::unique_ptr<SubmissionQueue> queue;
  loop.RunSync([&] {
    queue = std::make_unique<SubmissionQueue>(loop, log, LogWriterOptions{.partition = kPartition, .producer = "p"},
                                              SubmissionQueueOptions{.give_up_after = absl::Milliseconds(100),
                                                                     .refuse_after_failing = absl::Milliseconds(50)});
    queue->Add({{.key = "a", .value = "1"}}, [&](AppendOutcome outcome) { first = outcome; });
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(5), [&] { return first.has_value(); }));
  CHECK(first == AppendOutcome::kNothingDone);
  loop.RunSync([&] {
    CHECK(queue->IsRefusing(loop.Now()));
    queue->Add({{.key = "b", .value = "1"}}, [&](AppendOutcome outcome) { second = outcome; });
  });
  REQUIRE(WaitUntil(loop, absl::Milliseconds(100), [&] { return second.has_value(); }));  // refused at once
  CHECK(second == AppendOutcome::kNothingDone);
  CHECK(store.Get(kPartition).records.empty());
  loop.RunSync([&] { queue.reset(); });
}

// Guards against the answer "outcome unknown" for a submission of which nothing was sent: the store falls silent under
// load, and everything that arrives behind the append without an answer waits for it beyond the clients' deadline.
TEST_CASE("submissions behind an append without an answer are refused as not stored", "[log]") {
  EventLoop loop;
  MemoryStore store;
  MemoryKeyedLog log(loop, store);
  log.faults.is_cut = true;
  std::optional<AppendOutcome> sent;
  std::vector<AppendOutcome> waiting;
  std::unique_ptr<SubmissionQueue> queue;
  constexpr std::size_t kWaiting = 20;
  loop.RunSync([&] {
    queue = std::make_unique<SubmissionQueue>(
        loop, log, LogWriterOptions{.partition = kPartition, .producer = "p"},
        SubmissionQueueOptions{.refuse_after_failing = absl::Milliseconds(50), .send_limit = absl::Minutes(1)});
    queue->Add({{.key = "first", .value = "1"}}, [&](AppendOutcome outcome) { sent = outcome; });
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(5), [&] { return log.appends == 1; }));
  loop.RunSync([&] {
    for (std::size_t i = 0; i < kWaiting; ++i) {
      queue->Add({{.key = "later" + std::to_string(i), .value = "1"}},
                 [&](AppendOutcome outcome) { waiting.push_back(outcome); });
    }
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(10), [&] { return waiting.size() == kWaiting; }));
  loop.RunSync([&] {
    CHECK(!sent.has_value());  // it may be stored
    CHECK(std::count(waiting.begin(), waiting.end(), AppendOutcome::kNothingDone) == kWaiting);
    log.faults.is_cut = false;
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(10), [&] { return sent.has_value(); }));
  loop.RunSync([&] {
    CHECK(sent == AppendOutcome::kStored);
    CHECK(store.Get(kPartition).records.size() == 1);  // none of those that were refused
    queue.reset();
  });
}

// Guards against an append that the store carries out after a submission was given up, and against a queue that takes
// nothing more after that (issue 28).
TEST_CASE("an append without an answer is kept from being stored after its limit", "[log]") {
  EventLoop loop;
  MemoryStore store;
  MemoryKeyedLog log(loop, store);
  log.faults.is_cut = true;
  std::optional<AppendOutcome> first;
  std::optional<AppendOutcome> second;
  std::unique_ptr<SubmissionQueue> queue;
  loop.RunSync([&] {
    queue = std::make_unique<SubmissionQueue>(loop, log, LogWriterOptions{.partition = kPartition, .producer = "p"},
                                              SubmissionQueueOptions{.send_limit = absl::Milliseconds(300)});
    queue->Add({{.key = "a", .value = "1"}}, [&](AppendOutcome outcome) { first = outcome; });
  });
  absl::SleepFor(absl::Milliseconds(800));
  loop.RunSync([&] {
    CHECK(!first.has_value());
    log.faults.is_cut = false;
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(5), [&] { return first.has_value(); }));
  CHECK(first == AppendOutcome::kUnknown);
  const AppendCall late{.partition = kPartition,
                        .records = {{.key = "a", .value = "1"}},
                        .producer = {.name = "p", .epoch = 1, .sequence = 0},
                        .expected_end = {}};
  loop.RunSync([&] {
    CHECK(store.Append(late).outcome == AppendOutcome::kFenced);
    queue->Add({{.key = "b", .value = "1"}}, [&](AppendOutcome outcome) { second = outcome; });
  });
  REQUIRE(WaitUntil(loop, absl::Seconds(2), [&] { return second.has_value(); }));
  CHECK(second == AppendOutcome::kStored);
  CHECK(store.Get(kPartition).newest.count("a") == 0);
  CHECK(store.Get(kPartition).newest.count("b") == 1);
  loop.RunSync([&] { queue.reset(); });
}

struct TailWorld {
  EventLoop loop;
  MemoryStore store;
  MemoryKeyedLog log{loop, store};
  std::map<std::string, std::string> state;
  std::unique_ptr<PartitionTail> tail;
  std::int64_t sequence = 0;

  TailWorld() {
    loop.RunSync([&] {
      tail = std::make_unique<PartitionTail>(
          loop, log, PartitionTailOptions{.partition = kPartition, .wait = absl::Milliseconds(100)},
          PartitionTail::Listener{.on_record = [&](const KeyedRecord& r) { state[r.key] = r.value; },
                                  .on_reset = [&] { state.clear(); },
                                  .on_end = [] {}});
    });
  }
  ~TailWorld() {
    loop.RunSync([&] { tail.reset(); });
  }

  void Put(const std::string& key, const std::string& value) {
    loop.RunSync([&] {
      store.Append({.partition = kPartition,
                    .records = {{.key = key, .value = value}},
                    .producer = {.name = "t", .epoch = 1, .sequence = sequence++}});
    });
  }
};

TEST_CASE("a tail reads the newest records in pages and follows", "[tail]") {
  TailWorld world;
  for (const char* key : {"a", "b", "c", "d", "e"}) world.Put(key, "1");
  world.Put("a", "2");
  world.loop.RunSync([&] { world.tail->Start(); });
  REQUIRE(WaitUntil(world.loop, absl::Seconds(2), [&] { return world.tail->is_loaded(); }));
  CHECK(world.state == std::map<std::string, std::string>{{"a", "2"}, {"b", "1"}, {"c", "1"}, {"d", "1"}, {"e", "1"}});
  world.Put("f", "1");
  CHECK(WaitUntil(world.loop, absl::Seconds(2), [&] { return world.state.contains("f"); }));
}

// Guards against a reader that misses what was written while the history was dropped.
TEST_CASE("a tail whose position has expired reads the newest records again", "[tail]") {
  TailWorld world;
  world.Put("a", "1");
  world.loop.RunSync([&] { world.tail->Start(); });
  REQUIRE(WaitUntil(world.loop, absl::Seconds(2), [&] { return world.tail->is_loaded(); }));
  world.loop.RunSync([&] { world.tail->Pause(); });
  world.Put("b", "1");
  world.Put("c", "1");
  world.loop.RunSync([&] {
    world.store.DropHistory();
    world.tail->Resume(0);
  });
  CHECK(
      WaitUntil(world.loop, absl::Seconds(2), [&] { return world.state.contains("b") && world.state.contains("c"); }));
}

// Guards against an answer "no such job" from an entry that cannot read the store.
TEST_CASE("reading to the end fails while the store does not answer", "[tail]") {
  TailWorld world;
  world.loop.RunSync([&] { world.tail->Start(); });
  REQUIRE(WaitUntil(world.loop, absl::Seconds(2), [&] { return world.tail->is_loaded(); }));
  const bool refuses = GENERATE(true, false);
  std::optional<bool> complete;
  world.loop.RunSync([&] {
    world.log.faults.refuses = refuses;
    world.log.faults.is_cut = !refuses;
    world.tail->ReadToEnd(absl::Milliseconds(100), [&](bool value) { complete = value; });
  });
  REQUIRE(WaitUntil(world.loop, absl::Seconds(2), [&] { return complete.has_value(); }));
  CHECK(complete == false);
}

}  // namespace
}  // namespace berylgauge::control
