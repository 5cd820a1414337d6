#include "control/entry_node.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/member_record.h"
#include "memory_keyed_log.h"
#include "played_agent.h"
#include "wait_until.h"
#include "workflow/job_codec.h"
#include "workflow/record_keys.h"

namespace berylgauge::control {
namespace {

/// Every record of the operators is a configuration with one queue; the value is its version.
class FixedOperators final : public OperatorRecordDecoder {
 public:
  Result<OperatorRecord> Decode(std::string_view, std::string_view value) const override {
    OperatorRecord record;
    record.kind = OperatorRecord::Kind::kQueues;
    record.queues = QueueTable(std::stoll(std::string(value)),
                               {{.host = "h", .path_prefix = "/q/", .queue = {.name = "q", .service = "s"}}});
    return record;
  }
};

constexpr LogPartition MakePartition(const char* topic, int number) { return {.topic = topic, .number = number}; }

/// Entries on one store, each with its own way to it.
class EntryWorld {
 public:
  // Of entries that are added from now on.
  absl::Duration retention = absl::Seconds(130);  ///< of finished jobs
  std::size_t max_cancellations_without_job = 10'000;
  JobAdmissionOptions admission;

  ~EntryWorld() {
    m_loop.RunSync([&] { m_entries.clear(); });
    m_loop.RunSync([] {});  // deferred destruction
  }

  EntryNode& Add(const std::string& host) {
    m_loop.RunSync([&] {
      m_logs.push_back(std::make_unique<MemoryKeyedLog>(m_loop, m_store));
      m_entries.push_back(std::make_unique<EntryNode>(
          m_loop, *m_logs.back(), m_clock, m_operators, m_metrics,
          EntryNodeOptions{.host = host,
                           .address = "127.0.0.1",
                           .internal_port = 1,
                           .incarnation = std::to_string(++m_starts),
                           .submissions = MakePartition("keyed.work", 0),
                           .progress = MakePartition("keyed.work", 1),
                           .operators = MakePartition("keyed.op", 0),
                           .members = MakePartition("keyed.members", 0),
                           .ownership = {.silence = absl::Milliseconds(700),
                                         .stagger = absl::Milliseconds(50) * static_cast<int>(m_entries.size())},
                           .scheduler = {.retention = retention},
                           .admission = admission,
                           .max_cancellations_without_job = max_cancellations_without_job}));
      m_entries.back()->Start();
    });
    return *m_entries.back();
  }

  /// Ends the process of the entry without a hand-over.
  void Kill(std::size_t index) {
    m_loop.RunSync([&] { m_entries[index].reset(); });
  }

  int Owners() {
    int owners = 0;
    for (const auto& entry : m_entries) owners += entry != nullptr && entry->IsOwner() ? 1 : 0;
    return owners;
  }

  /// Null while there is none. On the loop's thread.
  EntryNode* FindOwner() {
    for (const auto& entry : m_entries) {
      if (entry != nullptr && entry->IsOwner()) return entry.get();
    }
    return nullptr;
  }

  void Configure(std::int64_t version) {
    m_loop.RunSync([&] {
      m_store.Append({.partition = MakePartition("keyed.op", 0),
                      .records = {{.key = "config", .value = std::to_string(version)}},
                      .producer = {.name = "operator", .epoch = 1, .sequence = version - 1}});
    });
  }

  /// Removes the submission of a job from the store, and all history, so that readers start anew.
  void RemoveSubmission(const std::string& job) {
    m_loop.RunSync([&] {
      m_store.Append({.partition = MakePartition("keyed.work", 0),
                      .records = {{.key = job, .value = {}}},
                      .producer = {.name = "remover", .epoch = 1, .sequence = 0}});
      m_store.DropHistory();
    });
  }

  /// A record of another writer, under any key and in any partition.
  void Write(const LogPartition& partition, const std::string& key, const std::string& value) {
    m_loop.RunSync([&] {
      m_store.Append({.partition = partition,
                      .records = {{.key = key, .value = value}},
                      .producer = {.name = "other" + std::to_string(m_written++), .epoch = 1, .sequence = 0}});
    });
  }

  void DropHistory() {
    m_loop.RunSync([&] { m_store.DropHistory(); });
  }

  /// Whether the key has a value in the store. On the loop's thread.
  bool IsStored(const LogPartition& partition, const std::string& key) {
    return m_store.Get(partition).newest.contains(key);
  }

  /// Enters the address of an agent in the store.
  void AddAgent(const std::string& host, int port) {
    m_loop.RunSync([&] {
      const MemberRecord member{.address = "127.0.0.1", .port = port};
      m_store.Append({.partition = MakePartition("keyed.members", 0),
                      .records = {{.key = host, .value = EncodeMember(member)}},
                      .producer = {.name = host, .epoch = 1, .sequence = 0}});
    });
  }

  EventLoop& loop() { return m_loop; }
  StoreFaults& FaultsOf(std::size_t index) { return m_logs[index]->faults; }
  MemoryKeyedLog& LogOf(std::size_t index) { return *m_logs[index]; }
  EntryNode& entry(std::size_t index) { return *m_entries[index]; }

 private:
  MemoryStore m_store;
  SystemClock m_clock;
  FixedOperators m_operators;
  MetricsRegistry m_metrics;
  int m_starts = 0;
  int m_written = 0;
  std::vector<std::unique_ptr<MemoryKeyedLog>> m_logs;
  /// Ends before the store and the ways to it, which its timers use.
  EventLoop m_loop;
  std::vector<std::unique_ptr<EntryNode>> m_entries;
};

workflow::JobDefinition SmallJob(const std::string& id) {
  workflow::JobDefinition job;
  job.id = id;
  job.queue = {.name = "q", .service = "s"};
  job.steps = {{.task_count = 1}};
  return job;
}

// Guards against two owners after a common start: the store confirms appends with equal producer, epoch and sequence.
TEST_CASE("of entries that start together one becomes the owner", "[entry]") {
  EntryWorld world;
  for (const char* host : {"e1", "e2", "e3"}) world.Add(host);
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return world.Owners() == 1; }));
  absl::SleepFor(absl::Milliseconds(300));
  CHECK(WaitUntil(world.loop(), absl::ZeroDuration(), [&] { return world.Owners() == 1; }));
}

TEST_CASE("another entry claims when the owner is gone, and at once after a hand-over", "[entry]") {
  const bool planned = GENERATE(false, true);
  EntryWorld world;
  world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return world.Owners() == 1; }));
  EntryNode& second = world.Add("e2");
  absl::SleepFor(absl::Milliseconds(200));
  if (planned) {
    bool done = false;
    world.loop().RunSync([&] { world.entry(0).HandOver([&] { done = true; }); });
    REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return done; }));
  } else {
    world.Kill(0);
  }
  CHECK(
      WaitUntil(world.loop(), planned ? absl::Milliseconds(900) : absl::Seconds(3), [&] { return second.IsOwner(); }));
}

// Guards against two seconds without an owner after all processes were killed.
TEST_CASE("the host of the recorded owner claims without waiting when it is started again", "[entry]") {
  EntryWorld world;
  world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return world.Owners() == 1; }));
  world.Kill(0);
  EntryNode& restarted = world.Add("e1");
  CHECK(WaitUntil(world.loop(), absl::Milliseconds(650), [&] { return restarted.IsOwner(); }));
}

struct FormerOwnersRow {
  const char* name;
  bool has_ended;
  bool is_sole;
  absl::Duration grants;
};

// Guards against runs at two workers: an owner was cut off from the store and still granted leases when its successor
// ended, and the next one took the end of that successor for the end of all (issue 28).
TEST_CASE("a claimant waits for every former owner that may still grant leases", "[entry]") {
  constexpr absl::Duration kLongest = absl::Milliseconds(4500);
  const FormerOwnersRow row =
      GENERATE(FormerOwnersRow{"the recorded owner is silent", false, true, absl::Milliseconds(4500)},
               FormerOwnersRow{"it has ended, one before it may act", true, false, absl::Milliseconds(4500)},
               FormerOwnersRow{"it has ended and was the only one", true, true, absl::ZeroDuration()});
  INFO(row.name);
  const workflow::OwnerRecord owner{.epoch = 1, .holder = "e1.1", .is_sole = row.is_sole};
  CHECK(GrantsOfFormerOwners(owner, row.has_ended, kLongest) == row.grants);
}

// Guards against the same with entries: only the owner of a first claim, or one that has acted for as long as former
// ones may grant leases, says that it is the only one.
TEST_CASE("an owner that has just replaced another one does not count as the only one", "[entry]") {
  EntryWorld world;
  EntryNode& first = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return first.IsOwner(); }));
  EntryNode& second = world.Add("e2");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return second.index().owner().is_sole; }));
  world.loop().RunSync([&] { world.FaultsOf(0).is_cut = true; });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return second.IsOwner(); }));
  world.loop().RunSync([&] { CHECK(!second.index().owner().is_sole); });
  world.Kill(1);
  EntryNode& third = world.Add("e2");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return third.IsOwner(); }));
  world.loop().RunSync([&] { CHECK(!third.index().owner().is_sole); });
  CHECK(WaitUntil(world.loop(), absl::Seconds(8), [&] { return third.index().owner().is_sole; }));
}

// Guards against 410 for a job that exists, from an entry that the store does not serve.
TEST_CASE("an unknown job is reported as unknown only if the store was asked", "[entry]") {
  struct Row {
    const char* name;
    bool refuses;
    bool certain;
  };
  const Row row = GENERATE(Row{"served", false, true}, Row{"not served", true, false});
  INFO(row.name);
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  std::optional<JobLookup> found;
  std::optional<CancelOutcome> cancelled;
  world.loop().RunSync([&] {
    world.FaultsOf(0).refuses = row.refuses;
    entry.Lookup("00000000000000aa", [&](const JobLookup& lookup) { found = lookup; });
    entry.Cancel("00000000000000aa", [&](CancelOutcome outcome) { cancelled = outcome; });
  });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return found.has_value() && cancelled.has_value(); }));
  CHECK(!found->phase.has_value());
  CHECK(found->is_certain == row.certain);
  CHECK(cancelled == (row.certain ? CancelOutcome::kUnknownJob : CancelOutcome::kFailed));
}

TEST_CASE("a job accepted at one entry is known and can be cancelled at another", "[entry]") {
  EntryWorld world;
  EntryNode& first = world.Add("e1");
  EntryNode& second = world.Add("e2");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return world.Owners() == 1; }));
  std::optional<SubmitOutcome> submitted;
  std::optional<CancelOutcome> cancelled;
  world.loop().RunSync([&] { first.Submit(SmallJob("00000000000000aa"), [&](SubmitOutcome o) { submitted = o; }); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return submitted.has_value(); }));
  CHECK(submitted == SubmitOutcome::kAccepted);
  world.loop().RunSync([&] { second.Cancel("00000000000000aa", [&](CancelOutcome o) { cancelled = o; }); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return cancelled.has_value(); }));
  CHECK(cancelled == CancelOutcome::kCancelled);
  CHECK(WaitUntil(world.loop(), absl::Seconds(2),
                  [&] { return first.index().PhaseOf("00000000000000aa") == workflow::JobPhase::kCancelled; }));
}

/// A submission that the store carries out late: entry `e2` has no answer to its append, and another one has
/// acknowledged that the job is cancelled.
class LateSubmission {
 public:
  static constexpr const char* kJob = "00000000000000aa";
  static constexpr std::size_t kCanceller = 0;
  static constexpr std::size_t kSubmitter = 1;

  LateSubmission() : m_agent(m_world.loop()) {
    EntryNode& canceller = m_world.Add("e1");
    REQUIRE(WaitUntil(m_world.loop(), absl::Seconds(5), [&] { return canceller.IsOwner(); }));
    EntryNode& submitter = m_world.Add("e2");
    m_world.Add("e3");
    m_world.AddAgent("a1", m_agent.port());
    absl::SleepFor(absl::Milliseconds(300));
    m_world.loop().RunSync([&] {
      m_world.FaultsOf(kSubmitter).holds_appends = true;
      submitter.Submit(SmallJob(kJob), [](SubmitOutcome) {});
    });
    REQUIRE(WaitUntil(m_world.loop(), absl::Seconds(2), [&] { return m_world.LogOf(kSubmitter).held() > 0; }));
    std::optional<CancelOutcome> cancelled;
    m_world.loop().RunSync([&] { canceller.Cancel(kJob, [&](CancelOutcome outcome) { cancelled = outcome; }); });
    REQUIRE(WaitUntil(m_world.loop(), absl::Seconds(2), [&] { return cancelled.has_value(); }));
    REQUIRE(cancelled == CancelOutcome::kUnknownJob);
  }

  EntryWorld& world() { return m_world; }

  /// Whether the job is stored, shown as cancelled by the owner, and not started.
  void CheckStaysCancelled() {
    const LogPartition submissions = MakePartition("keyed.work", 0);
    m_world.loop().RunSync([&] { REQUIRE(m_world.LogOf(kSubmitter).CarryOutHeld() > 0); });
    CHECK(WaitUntil(m_world.loop(), absl::Seconds(5), [&] { return m_world.IsStored(submissions, kJob); }));
    CHECK(WaitUntil(m_world.loop(), absl::Seconds(5), [&] {
      const EntryNode* owner = m_world.FindOwner();
      return owner != nullptr && owner->index().PhaseOf(kJob) == workflow::JobPhase::kCancelled;
    }));
    CHECK(!WaitUntil(m_world.loop(), absl::Milliseconds(1500),
                     [&] { return m_agent.HasStarted(std::string(kJob) + ".0.0.0"); }));
  }

 private:
  EntryWorld m_world;
  PlayedAgent m_agent;
};

struct LateSubmissionRow {
  const char* name;
  void (*strike)(EntryWorld&);  ///< between the cancellation and the submission
};

// Guards against a job that runs for good although its cancellation was answered with "no such job": its submission was
// still under way at another entry (review/2).
TEST_CASE("a job whose cancellation was acknowledged before it was stored never runs", "[entry]") {
  const LateSubmissionRow row =
      GENERATE(LateSubmissionRow{"nothing else happens", [](EntryWorld&) {}},
               LateSubmissionRow{"the entry that acknowledged it is lost, and another one becomes the owner",
                                 [](EntryWorld& world) { world.Kill(LateSubmission::kCanceller); }},
               LateSubmissionRow{"all entries are lost",
                                 [](EntryWorld& world) {
                                   for (std::size_t i = 0; i < 3; ++i) world.Kill(i);
                                   world.Add("e1");
                                 }},
               LateSubmissionRow{"the store forgets its history", [](EntryWorld& world) { world.DropHistory(); }});
  INFO(row.name);
  LateSubmission late;
  row.strike(late.world());
  late.CheckStaysCancelled();
}

CancelOutcome CancelAt(EntryWorld& world, EntryNode& entry, const std::string& job) {
  std::optional<CancelOutcome> outcome;
  world.loop().RunSync([&] { entry.Cancel(job, [&](CancelOutcome given) { outcome = given; }); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return outcome.has_value(); }));
  return *outcome;
}

SubmitOutcome SubmitAt(EntryWorld& world, EntryNode& entry, const std::string& job) {
  std::optional<SubmitOutcome> outcome;
  world.loop().RunSync([&] { entry.Submit(SmallJob(job), [&](SubmitOutcome given) { outcome = given; }); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return outcome.has_value(); }));
  return *outcome;
}

// Guards against accepted jobs that fill the memory of the entries, also of one with less than the one that is asked,
// and against room that is not given back.
TEST_CASE("jobs are refused while those of all entries take the memory", "[entry]") {
  EntryWorld world;
  world.retention = absl::Seconds(1);
  // Room for a few small jobs, of which each may take a quarter of what is left.
  world.admission.memory_bytes = 20'000;
  world.Configure(1);
  EntryNode& small = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return small.IsOwner(); }));
  world.admission.memory_bytes = 1'000'000;
  EntryNode& large = world.Add("e2");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return large.IsReady(world.loop().Now()); }));
  std::vector<std::string> accepted;
  std::size_t most_used = 0;
  for (int i = 0; i < 50; ++i) {
    const std::string id = "a" + std::to_string(i);
    const SubmitOutcome outcome = SubmitAt(world, large, id);
    REQUIRE((outcome == SubmitOutcome::kAccepted || outcome == SubmitOutcome::kNoMemory));
    if (outcome == SubmitOutcome::kAccepted) accepted.push_back(id);
    world.loop().RunSync([&] { most_used = std::max(most_used, large.index().footprint_bytes()); });
  }
  CHECK(!accepted.empty());
  CHECK(accepted.size() < 50);
  CHECK(most_used <= 20'000);
  // A repeat of an accepted job takes no further room.
  CHECK(SubmitAt(world, large, accepted.front()) == SubmitOutcome::kAccepted);
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return small.index().Find(accepted.back()) != nullptr; }));
  CHECK(SubmitAt(world, small, "b0") == SubmitOutcome::kNoMemory);
  for (const std::string& id : accepted) CHECK(CancelAt(world, small, id) == CancelOutcome::kCancelled);
  CHECK(WaitUntil(world.loop(), absl::Seconds(15),
                  [&] { return small.index().footprint_bytes() == 0 && large.index().footprint_bytes() == 0; }));
  CHECK(SubmitAt(world, small, "b0") == SubmitOutcome::kAccepted);
}

// Guards against jobs of others that are refused because they share an append with one that the store refuses.
TEST_CASE("a job whose record is too large is refused alone", "[entry]") {
  EntryWorld world;
  world.admission.max_record_bytes = 262'000;  // the store takes 262,144 bytes
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  workflow::JobDefinition large = SmallJob("a0");
  large.payload = std::string(300'000, 'x');
  std::optional<SubmitOutcome> of_large;
  std::optional<SubmitOutcome> of_small;
  world.loop().RunSync([&] {
    entry.Submit(large, [&](SubmitOutcome outcome) { of_large = outcome; });
    entry.Submit(SmallJob("a1"), [&](SubmitOutcome outcome) { of_small = outcome; });
  });
  CHECK(WaitUntil(world.loop(), absl::Seconds(5), [&] { return of_large.has_value() && of_small.has_value(); }));
  CHECK(of_large == SubmitOutcome::kTooLarge);
  CHECK(of_small == SubmitOutcome::kAccepted);
}

// Guards against a job that is accepted although its cancellation was acknowledged.
TEST_CASE("a job that was cancelled before it is submitted is refused", "[entry]") {
  const std::string id = "00000000000000aa";
  EntryWorld world;
  EntryNode& first = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return first.IsOwner(); }));
  EntryNode& second = world.Add("e2");
  REQUIRE(CancelAt(world, first, id) == CancelOutcome::kUnknownJob);
  CHECK(SubmitAt(world, first, id) == SubmitOutcome::kCancelled);
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return second.index().Find(id) != nullptr; }));
  CHECK(SubmitAt(world, second, id) == SubmitOutcome::kCancelled);
  CHECK(CancelAt(world, second, id) == CancelOutcome::kUnknownJob);
}

// Guards against a store that anyone can fill with cancellations of jobs that do not exist.
TEST_CASE("cancellations of unknown jobs are bounded in number and time", "[entry]") {
  const LogPartition submissions = MakePartition("keyed.work", 0);
  const std::vector<std::string> unknown = {"a0", "a1", "a2"};
  EntryWorld world;
  world.retention = absl::Seconds(4);
  world.max_cancellations_without_job = unknown.size();
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  REQUIRE(SubmitAt(world, entry, "b0") == SubmitOutcome::kAccepted);
  for (const std::string& job : unknown) CHECK(CancelAt(world, entry, job) == CancelOutcome::kUnknownJob);
  CHECK(CancelAt(world, entry, "a3") == CancelOutcome::kTooMany);
  CHECK(CancelAt(world, entry, "a0") == CancelOutcome::kUnknownJob);  // kept already
  CHECK(CancelAt(world, entry, "b0") == CancelOutcome::kCancelled);
  world.loop().RunSync([&] {
    CHECK(!world.IsStored(submissions, workflow::CancellationKey("a3")));
    CHECK(entry.index().cancellations_without_job() == unknown.size());
  });
  CHECK(WaitUntil(world.loop(), absl::Seconds(15), [&] { return entry.index().size() == 0; }));
  world.loop().RunSync([&] {
    for (const std::string& job : unknown) CHECK(!world.IsStored(submissions, workflow::CancellationKey(job)));
  });
  CHECK(CancelAt(world, entry, "a3") == CancelOutcome::kUnknownJob);
}

// Guards against jobs that are refused because cancellations of made-up ids fill the queue to the store.
TEST_CASE("cancellations of unknown jobs that are under way are bounded", "[entry]") {
  const std::size_t bound = EntryNodeOptions{}.max_unstored_cancellations;
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  std::size_t stored = 0;
  std::size_t refused = 0;
  world.loop().RunSync([&] {
    for (std::size_t i = 0; i < bound + 50; ++i) {
      entry.Cancel("a" + std::to_string(i), [&](CancelOutcome outcome) {
        stored += outcome == CancelOutcome::kUnknownJob ? 1 : 0;
        refused += outcome == CancelOutcome::kTooMany ? 1 : 0;
      });
    }
  });
  CHECK(WaitUntil(world.loop(), absl::Seconds(2), [&] { return stored + refused == bound + 50; }));
  CHECK(stored <= bound + 1);  // the first one has a read of its own, and is stored before the others come
  CHECK(SubmitAt(world, entry, "b0") == SubmitOutcome::kAccepted);
  CHECK(CancelAt(world, entry, "c0") == CancelOutcome::kUnknownJob);
}

// The pattern "unknown ids without bound": each cost a call of the store, which limits the calls of all entries.
TEST_CASE("requests for unknown jobs that come together share a read of the store", "[entry]") {
  constexpr int kRequests = 200;
  constexpr int kMostReads = 10;  // those that the entry makes by itself among them
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  int answered = 0;
  int reads_before = 0;
  world.loop().RunSync([&] {
    reads_before = world.LogOf(0).reads;
    for (int i = 0; i < kRequests; ++i) {
      entry.Lookup("a" + std::to_string(i), [&](const JobLookup& found) { answered += found.is_certain ? 1 : 0; });
    }
  });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return answered == kRequests; }));
  world.loop().RunSync([&] { CHECK(world.LogOf(0).reads - reads_before <= kMostReads); });
}

// Guards against a cancellation that another entry acknowledges once more while the owner removes it.
TEST_CASE("a cancellation is not removed by an owner that has not read its repeat", "[entry]") {
  const std::string id = "00000000000000aa";
  const LogPartition submissions = MakePartition("keyed.work", 0);
  EntryWorld world;
  world.retention = absl::Milliseconds(1500);
  EntryNode& owner = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return owner.IsOwner(); }));
  EntryNode& other = world.Add("e2");
  absl::SleepFor(absl::Milliseconds(300));  // it has read the submissions
  REQUIRE(CancelAt(world, other, id) == CancelOutcome::kUnknownJob);
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return owner.index().Find(id) != nullptr; }));
  world.loop().RunSync([&] { world.FaultsOf(0).silent_reads = submissions; });
  absl::SleepFor(absl::Milliseconds(700));  // the read that is under way is answered
  REQUIRE(CancelAt(world, other, id) == CancelOutcome::kUnknownJob);
  absl::SleepFor(absl::Seconds(3));
  world.loop().RunSync([&] {
    CHECK(world.IsStored(submissions, workflow::CancellationKey(id)));
    world.FaultsOf(0).silent_reads.reset();
  });
  CHECK(WaitUntil(world.loop(), absl::Seconds(15),
                  [&] { return !world.IsStored(submissions, workflow::CancellationKey(id)); }));
}

struct AdviceRow {
  const char* name;
  bool was_accepted;  ///< before the queue demanded advice
  bool is_cut;        ///< the entry cannot ask the store
  SubmitOutcome outcome;
};

// Guards against a job that is accepted although none of its tasks can ever start.
TEST_CASE("a job of a queue that demands advice is refused at once", "[entry]") {
  const AdviceRow row = GENERATE(AdviceRow{"new", false, false, SubmitOutcome::kUnservable},
                                 AdviceRow{"accepted before", true, false, SubmitOutcome::kAccepted},
                                 AdviceRow{"the store cannot be asked", false, true, SubmitOutcome::kUnknown});
  INFO(row.name);
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  workflow::JobDefinition job = SmallJob("00000000000000aa");
  std::optional<SubmitOutcome> outcome;
  const auto submit = [&] {
    outcome.reset();
    world.loop().RunSync([&] { entry.Submit(job, [&](SubmitOutcome given) { outcome = given; }); });
    return WaitUntil(world.loop(), absl::Seconds(5), [&] { return outcome.has_value(); });
  };
  if (row.was_accepted) REQUIRE(submit());
  job.queue.needs_advice = true;
  world.loop().RunSync([&] { world.FaultsOf(0).is_cut = row.is_cut; });
  REQUIRE(submit());
  CHECK(outcome == row.outcome);
  if (row.outcome == SubmitOutcome::kUnservable) CHECK_FALSE(entry.index().PhaseOf(job.id).has_value());
}

// Guards against a finished job that is shown for good, and run again by the next owner, at an entry whose way to the
// store was cut while the job was removed (issue 16).
TEST_CASE("a job that was removed while the history was missed is forgotten", "[entry]") {
  EntryWorld world;
  EntryNode& first = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return first.IsOwner(); }));
  EntryNode& second = world.Add("e2");
  const std::string job = "00000000000000aa";
  world.loop().RunSync([&] { first.Submit(SmallJob(job), [](SubmitOutcome) {}); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return second.index().PhaseOf(job).has_value(); }));
  world.loop().RunSync([&] { world.FaultsOf(1).is_cut = true; });
  absl::SleepFor(absl::Milliseconds(1500));  // longer than a read waits
  world.RemoveSubmission(job);
  world.loop().RunSync([&] { world.FaultsOf(1).is_cut = false; });
  CHECK(WaitUntil(world.loop(), absl::Seconds(10), [&] { return !second.index().PhaseOf(job).has_value(); }));
}

// Guards against a second run of a whole job: an entry that is cut off repeats its append of the submission until the
// store is back, which another entry has accepted meanwhile; the job has ended and its records are removed (issue 28).
TEST_CASE("a submission is not stored after its job was removed", "[entry]") {
  const std::string id = "00000000000000aa";
  EntryWorld world;
  world.retention = absl::Milliseconds(500);
  PlayedAgent agent(world.loop());
  EntryNode& owner = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return owner.IsOwner(); }));
  EntryNode& other = world.Add("e2");
  world.AddAgent("a1", agent.port());
  absl::SleepFor(absl::Milliseconds(300));

  std::optional<SubmitOutcome> first;
  std::optional<SubmitOutcome> waiting;
  const auto submit_at = [&](EntryNode& entry, const std::string& job, std::optional<SubmitOutcome>& outcome) {
    world.loop().RunSync([&] { entry.Submit(SmallJob(job), [&](SubmitOutcome given) { outcome = given; }); });
  };
  world.loop().RunSync([&] { world.FaultsOf(1).is_cut = true; });
  submit_at(other, id, first);
  const std::string waiting_id = "00000000000000bb";
  submit_at(other, waiting_id, waiting);  // while the append of the first is under way
  std::optional<SubmitOutcome> repeated;
  for (const std::string& job : {id, waiting_id}) {
    repeated.reset();
    submit_at(owner, job, repeated);
    REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return repeated == SubmitOutcome::kAccepted; }));
    REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return agent.HasStarted(job + ".0.0.0"); }));
    world.loop().RunSync([&] { agent.EndDone(job + ".0.0.0"); });
    REQUIRE(WaitUntil(world.loop(), absl::Seconds(9), [&] { return !owner.index().PhaseOf(job).has_value(); }));
  }
  absl::SleepFor(absl::Seconds(5));  // longer than an append is repeated
  world.loop().RunSync([&] { world.FaultsOf(1).is_cut = false; });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return first.has_value() && waiting.has_value(); }));
  CHECK(first == SubmitOutcome::kUnknown);
  CHECK(waiting == SubmitOutcome::kRefused);
  absl::SleepFor(absl::Seconds(2));
  world.loop().RunSync([&] {
    CHECK(agent.orders().size() == 2);  // one start of each job
    CHECK(!owner.index().PhaseOf(id).has_value());
  });
}

// Guards against a job that is shown as done by a record that the owner's successor has not read: the append of the
// former owner is carried out after the claim (issue 28).
TEST_CASE("an end whose append is carried out after another owner's claim is not shown by the former one", "[entry]") {
  const std::string id = "00000000000000aa";
  EntryWorld world;
  PlayedAgent agent(world.loop());
  EntryNode& former = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return former.IsOwner(); }));
  EntryNode& successor = world.Add("e2");
  world.AddAgent("a1", agent.port());
  world.loop().RunSync([&] { former.Submit(SmallJob(id), [](SubmitOutcome) {}); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] {
    return successor.index().PhaseOf(id) == workflow::JobPhase::kRunning && agent.HasStarted(id + ".0.0.0");
  }));

  world.loop().RunSync([&] {
    world.FaultsOf(0).holds_appends = true;
    agent.EndDone(id + ".0.0.0");
  });
  bool is_shown_early = false;
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] {
    const bool is_claimed = successor.IsOwner();
    if (!is_claimed) is_shown_early |= former.index().PhaseOf(id) == workflow::JobPhase::kDone;
    return is_claimed;
  }));
  CHECK(!is_shown_early);
  world.loop().RunSync([&] {
    CHECK(world.LogOf(0).held() > 0);
    CHECK(world.LogOf(0).CarryOutHeld() == 0);
    world.FaultsOf(0).holds_appends = false;
  });
  CHECK(WaitUntil(world.loop(), absl::Seconds(9), [&] {
    return former.index().PhaseOf(id) == workflow::JobPhase::kDone && !former.IsOwner() &&
           successor.index().PhaseOf(id) == workflow::JobPhase::kDone;
  }));
  world.loop().RunSync([&] { CHECK(agent.orders().size() == 1); });
}

// Guards against a second run of a whole job: its owner reads the submissions anew, in pages that are no snapshot, and
// the page with the job is older than the removal of its records (issue 28).
TEST_CASE("a job that is removed while its submission is read again is not run again", "[entry]") {
  const std::string id = "00000000000000aa";
  const LogPartition submissions = MakePartition("keyed.work", 0);
  EntryWorld world;
  world.retention = absl::Seconds(4);
  PlayedAgent agent(world.loop());
  EntryNode& owner = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return owner.IsOwner(); }));
  world.AddAgent("a1", agent.port());
  for (const char* key : {"b", "c", "d"}) world.Write(submissions, key, "of another writer");
  world.loop().RunSync([&] { owner.Submit(SmallJob(id), [](SubmitOutcome) {}); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return agent.HasStarted(id + ".0.0.0"); }));
  world.loop().RunSync([&] { agent.EndDone(id + ".0.0.0"); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2),
                    [&] { return owner.index().PhaseOf(id) == workflow::JobPhase::kDone; }));

  world.loop().RunSync([&] { world.FaultsOf(0).silent_reads = submissions; });
  absl::SleepFor(absl::Seconds(1));  // the read that is under way is answered
  world.Write(submissions, "e", "of another writer");
  world.DropHistory();
  world.loop().RunSync([&] {
    world.FaultsOf(0).holds_later_pages = true;
    world.FaultsOf(0).silent_reads.reset();
  });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(9), [&] { return !world.IsStored(submissions, id); }));
  absl::SleepFor(absl::Milliseconds(500));  // the owner has an answer to its removal
  world.loop().RunSync([&] { world.FaultsOf(0).holds_later_pages = false; });
  CHECK(WaitUntil(world.loop(), absl::Seconds(5), [&] { return owner.index().Find(id) == nullptr; }));
  absl::SleepFor(absl::Seconds(1));
  world.loop().RunSync([&] { CHECK(agent.orders().size() == 1); });
}

// Guards against starts for a job whose cancellation another entry has acknowledged, by an owner whose appends succeed
// while its reads of the submissions have no answer (UNASKED).
TEST_CASE("an owner starts nothing while it may not know of a cancellation", "[entry]") {
  const bool is_cancelled = GENERATE(true, false);
  INFO("cancelled: " << is_cancelled);
  const std::string id = "00000000000000aa";
  const std::string first_task = id + ".0.0.0";
  const std::string second_task = id + ".0.1.0";
  EntryWorld world;
  PlayedAgent agent(world.loop());
  EntryNode& owner = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return owner.IsOwner(); }));
  EntryNode& other = world.Add("e2");
  world.AddAgent("a1", agent.port());
  workflow::JobDefinition job = SmallJob(id);
  job.steps.push_back({.task_count = 1, .after = {0}});
  world.loop().RunSync([&] { owner.Submit(job, [](SubmitOutcome) {}); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return agent.HasStarted(first_task); }));

  world.loop().RunSync([&] { world.FaultsOf(0).silent_reads = MakePartition("keyed.work", 0); });
  absl::SleepFor(absl::Seconds(1));  // the read that is under way is answered
  if (is_cancelled) {
    std::optional<CancelOutcome> cancelled;
    world.loop().RunSync([&] { other.Cancel(id, [&](CancelOutcome outcome) { cancelled = outcome; }); });
    REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return cancelled == CancelOutcome::kCancelled; }));
  }
  absl::SleepFor(absl::Milliseconds(1400));
  world.loop().RunSync([&] { agent.EndDone(first_task); });
  CHECK(!WaitUntil(world.loop(), absl::Milliseconds(500), [&] { return agent.HasStarted(second_task); }));

  world.loop().RunSync([&] { world.FaultsOf(0).silent_reads.reset(); });
  const bool starts =
      WaitUntil(world.loop(), absl::Seconds(is_cancelled ? 4 : 6), [&] { return agent.HasStarted(second_task); });
  CHECK(starts != is_cancelled);
  CHECK(WaitUntil(world.loop(), absl::Seconds(2), [&] {
    const std::optional<workflow::JobPhase> phase = owner.index().PhaseOf(id);
    return phase == (is_cancelled ? workflow::JobPhase::kCancelled : workflow::JobPhase::kRunning);
  }));
}

// Guards against records of finished jobs that stay in the store until another entry becomes the owner.
TEST_CASE("a finished job is removed although the store refused its removal", "[entry]") {
  const std::string id = "00000000000000aa";
  const LogPartition submissions = MakePartition("keyed.work", 0);
  EntryWorld world;
  world.retention = absl::Seconds(1);
  PlayedAgent agent(world.loop());
  EntryNode& owner = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return owner.IsOwner(); }));
  world.AddAgent("a1", agent.port());
  world.loop().RunSync([&] { owner.Submit(SmallJob(id), [](SubmitOutcome) {}); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return agent.HasStarted(id + ".0.0.0"); }));
  world.loop().RunSync([&] { agent.EndDone(id + ".0.0.0"); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2),
                    [&] { return owner.index().PhaseOf(id) == workflow::JobPhase::kDone; }));
  world.loop().RunSync([&] { world.FaultsOf(0).refuses = true; });
  absl::SleepFor(absl::Seconds(4));  // the removal is given up
  world.loop().RunSync([&] {
    CHECK(world.IsStored(submissions, id));
    world.FaultsOf(0).refuses = false;
  });
  CHECK(WaitUntil(world.loop(), absl::Seconds(15), [&] { return owner.index().size() == 0; }));
}

// Guards against readiness of an entry that would refuse everything.
TEST_CASE("an entry that the store does not serve is not ready without a ready peer", "[entry]") {
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  world.loop().RunSync([&] { world.FaultsOf(0).refuses = true; });
  CHECK(WaitUntil(world.loop(), absl::Seconds(3), [&] { return !entry.IsServedByStore(world.loop().Now()); }));
  CHECK(WaitUntil(world.loop(), absl::Seconds(3), [&] { return !entry.IsReady(world.loop().Now()); }));
}

// Guards against an entry whose clients see an older configuration again: a peer answered them while the store did not
// serve it, and the store served it again before it had read the newer one.
TEST_CASE("an entry does not answer by an older configuration than its peers did for it", "[entry]") {
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  world.Configure(1);
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] {
    return entry.queues() != nullptr && entry.IsOwner() && entry.IsServedByStore(world.loop().Now());
  }));
  world.loop().RunSync([&] {
    entry.OnAnsweredByPeer(1);
    CHECK(!entry.IsBehindPeers());
    entry.OnAnsweredByPeer(2);
    CHECK(entry.IsBehindPeers());
    CHECK(!entry.IsServedByStore(world.loop().Now()));
  });
  world.Configure(2);
  CHECK(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsServedByStore(world.loop().Now()); }));
  CHECK(!entry.IsBehindPeers());
}

// Guards against an entry that goes on refusing for ever after one append was given up.
TEST_CASE("jobs are accepted again once the store takes appends again", "[entry]") {
  EntryWorld world;
  world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return world.entry(0).IsOwner(); }));
  const auto submit = [&](const std::string& id) {
    std::optional<SubmitOutcome> outcome;
    world.loop().RunSync([&] { world.entry(0).Submit(SmallJob(id), [&](SubmitOutcome given) { outcome = given; }); });
    REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return outcome.has_value(); }));
    return *outcome;
  };
  world.loop().RunSync([&] { world.FaultsOf(0).refuses = true; });
  CHECK(submit("a") == SubmitOutcome::kRefused);
  CHECK(submit("b") == SubmitOutcome::kRefused);
  world.loop().RunSync([&] { world.FaultsOf(0).refuses = false; });
  const absl::Time back_at = absl::Now();
  while (submit("c") == SubmitOutcome::kRefused) REQUIRE(absl::Now() - back_at < absl::Seconds(1));
}

struct OddRecordRow {
  const char* name;
  const char* topic;
  int partition;
  std::string key;
  std::string value;
};

// Guards against entries that end, or follow the store no longer, because of one record that another writer left; also
// when they start with it.
TEST_CASE("an odd record stops neither the reader nor a reader that starts later", "[entry]") {
  workflow::JobDefinition odd_job = SmallJob("00000000000000bb");
  odd_job.steps = {{.task_count = -1}, {.task_count = 1, .after = {1000}}};
  const std::string nested(250'000, '\x81');
  const std::string nested_text(250'000, '\x7f');
  const OddRecordRow row =
      GENERATE_COPY(OddRecordRow{"member, nested", "keyed.members", 0, "side-1", nested},
                    OddRecordRow{"member, nested text", "keyed.members", 0, "side-1", nested_text},
                    OddRecordRow{"member, port", "keyed.members", 0, "e9",
                                 EncodeMember({.kind = MemberKind::kEntry, .address = "127.0.0.1", .port = 65536})},
                    OddRecordRow{"agent, port", "keyed.members", 0, "side-1",
                                 EncodeMember({.kind = MemberKind::kAgent, .address = "127.0.0.1", .port = -1})},
                    OddRecordRow{"member, no key", "keyed.members", 0, "", "x"},
                    OddRecordRow{"submission, no key", "keyed.work", 0, "", "x"},
                    OddRecordRow{"submission, only the mark", "keyed.work", 0, "!", "x"},
                    OddRecordRow{"submission, nested text", "keyed.work", 0, "00000000000000bb", nested_text},
                    OddRecordRow{"submission, odd steps", "keyed.work", 0, "00000000000000bb", EncodeJob(odd_job)},
                    OddRecordRow{"submission, another job's id", "keyed.work", 0, "00000000000000bb",
                                 EncodeJob(SmallJob("00000000000000aa"))},
                    OddRecordRow{"progress, nested text", "keyed.work", 1, "00000000000000bb.0.0", nested_text},
                    OddRecordRow{"progress, no key", "keyed.work", 1, "", "x"},
                    OddRecordRow{"owner, nested text", "keyed.work", 1, "owner", nested_text});
  INFO(row.name);
  EntryWorld world;
  EntryNode& first = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return first.IsOwner(); }));
  world.Write(MakePartition(row.topic, row.partition), row.key, row.value);
  absl::SleepFor(absl::Milliseconds(100));
  world.Kill(0);
  EntryNode& second = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return second.IsOwner(); }));
  std::optional<SubmitOutcome> submitted;
  world.loop().RunSync([&] { second.Submit(SmallJob("00000000000000aa"), [&](SubmitOutcome o) { submitted = o; }); });
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(2), [&] { return submitted.has_value(); }));
  CHECK(submitted == SubmitOutcome::kAccepted);
  CHECK(WaitUntil(world.loop(), absl::Seconds(2),
                  [&] { return second.index().PhaseOf("00000000000000aa") == workflow::JobPhase::kQueued; }));
}

/// A TCP port of this host on which nothing is answered.
class SilentListener {
 public:
  SilentListener() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_socket, reinterpret_cast<const sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_socket, 8) == 0);
    REQUIRE(getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    m_port = ntohs(address.sin_port);
  }
  ~SilentListener() { close(m_socket); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  int port() const { return m_port; }
  bool TakeConnection() {
    const int connection = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection >= 0) close(connection);
    return connection >= 0;
  }

 private:
  int m_socket;
  int m_port = 0;
};

// Guards against an agent that the owner never calls again, because a record with its address and another port came
// before its own.
TEST_CASE("the owner calls an agent at the port of its newest record", "[entry]") {
  SilentListener former;
  SilentListener present;
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  const auto write = [&](int port) {
    world.Write(MakePartition("keyed.members", 0), "side-1",
                EncodeMember({.kind = MemberKind::kAgent, .address = "127.0.0.1", .port = port}));
  };
  write(former.port());
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return former.TakeConnection(); }));
  write(present.port());
  CHECK(WaitUntil(world.loop(), absl::Seconds(5), [&] { return present.TakeConnection(); }));
}

// Guards against an agent that is no longer called because another writer left an odd record under its key.
TEST_CASE("an odd record of a member leaves the member as it was", "[entry]") {
  const int port = GENERATE(0, -1, 65536);
  SilentListener agent;
  EntryWorld world;
  EntryNode& entry = world.Add("e1");
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return entry.IsOwner(); }));
  const MemberRecord member{.kind = MemberKind::kAgent, .address = "127.0.0.1", .port = agent.port()};
  world.Write(MakePartition("keyed.members", 0), "side-1", EncodeMember(member));
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return agent.TakeConnection(); }));
  MemberRecord odd = member;
  odd.port = port;
  world.Write(MakePartition("keyed.members", 0), "side-1", EncodeMember(odd));
  // The silent connection is given up after its keepalive timeout, and the next one goes to the same port.
  CHECK(WaitUntil(world.loop(), absl::Seconds(8), [&] { return agent.TakeConnection(); }));
}

}  // namespace
}  // namespace berylgauge::control
