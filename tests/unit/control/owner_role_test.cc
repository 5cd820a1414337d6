#include "control/owner_role.h"

#include <absl/strings/str_format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "memory_keyed_log.h"
#include "played_agent.h"
#include "wait_until.h"
#include "workflow/job_codec.h"

namespace berylgauge::control {
namespace {

constexpr LogPartition MakeProgress() { return {.topic = "keyed.work", .number = 1}; }

/// An owner on a store of its own, with one agent's host.
class OwnerWorld {
 public:
  OwnerWorld() {
    m_loop.RunSync([&] {
      const workflow::OwnerRecord record{.epoch = 5, .holder = "e1.1"};
      auto writer = std::make_unique<LogWriter>(
          m_loop, m_log, LogWriterOptions{.partition = MakeProgress(), .producer = "owner", .epoch = record.epoch});
      m_owner = std::make_unique<OwnerRole>(
          m_loop, m_clock, std::move(writer), m_index,
          OwnerRoleOptions{
              .record = record, .submissions_known_until = [this] { return m_loop.Now(); }, .scheduler = {}},
          OwnerRole::Listener{.on_deposed = [] {},
                              .on_stored =
                                  [this](const std::vector<KeyedRecord>& records, std::int64_t) {
                                    for (const KeyedRecord& stored : records) {
                                      m_index.ApplyProgress(stored.key, stored.value);
                                    }
                                  },
                              .on_retired = [](const std::vector<std::string>&) {}});
      m_owner->Begin();
    });
  }
  ~OwnerWorld() {
    m_loop.RunSync([&] { m_owner.reset(); });
  }
  OwnerWorld(const OwnerWorld&) = delete;
  OwnerWorld& operator=(const OwnerWorld&) = delete;

  /// The host's agent listens at that port.
  void SetAgent(int port) {
    m_loop.RunSync([&] { m_owner->SetMember("side-1", {.address = "127.0.0.1", .port = port}); });
  }

  void Submit(const workflow::JobDefinition& job) {
    m_loop.RunSync([&] {
      m_index.ApplySubmission(job.id, EncodeJob(job));
      m_owner->OnSubmission(job.id);
    });
  }

  void Cancel(const std::string& job) {
    m_loop.RunSync([&] { m_owner->OnCancellation(job); });
  }

  EventLoop& loop() { return m_loop; }
  const workflow::JobIndex& index() const { return m_index; }

 private:
  MemoryStore m_store;
  SystemClock m_clock;
  workflow::JobIndex m_index;
  EventLoop m_loop;
  MemoryKeyedLog m_log{m_loop, m_store};
  std::unique_ptr<OwnerRole> m_owner;
};

workflow::JobDefinition SmallJob(const std::string& id) {
  workflow::JobDefinition job;
  job.id = id;
  job.queue = {.name = "q", .service = "s"};
  job.steps = {{.task_count = 1}};
  return job;
}

/// The job of these tests and its only task.
constexpr const char* kJob = "00000000000000aa";
constexpr const char* kTask = "00000000000000aa.0.0.0";

// Guards against a task that is placed for good while no worker has its start: the agent got another port before it
// answered, and the order that was under way to the former one is not repeated.
TEST_CASE("an order without answer is repeated to the agent's new port", "[owner]") {
  OwnerWorld world;
  PlayedAgent former(world.loop(), 1);
  PlayedAgent present(world.loop(), 2);
  world.loop().RunSync([&] { former.keeps_orders = true; });
  world.SetAgent(former.port());
  world.Submit(SmallJob(kJob));
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return former.orders().size() == 1; }));
  world.SetAgent(present.port());
  // Longer than the time allowed for orders, shorter than the lease after which every run of a silent worker is lost.
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(4), [&] { return !present.orders().empty(); }));
  world.loop().RunSync([&] {
    const workflow::StartOrder& repeated = present.orders().front();
    CHECK(repeated.task == kTask);
    CHECK(repeated.run == former.orders().front().run);
    CHECK(repeated.was_sent);  // so that no refusal counts before the run is stopped
  });
  CHECK(WaitUntil(world.loop(), absl::Seconds(2),
                  [&] { return world.index().PhaseOf(kJob) == workflow::JobPhase::kRunning; }));
}

struct UndecidedRow {
  const char* name;
  int omitted;
  int stale;
};

// Guards against a task that is placed for good because the answer to a message with its start does not decide it.
TEST_CASE("a start that its answer leaves undecided is repeated", "[owner]") {
  const UndecidedRow row = GENERATE(UndecidedRow{"not named", 1, 0}, UndecidedRow{"refused for a newer owner", 0, 1});
  INFO(row.name);
  OwnerWorld world;
  PlayedAgent agent(world.loop());
  world.loop().RunSync([&] {
    agent.omitted_starts = row.omitted;
    agent.stale_starts = row.stale;
  });
  world.SetAgent(agent.port());
  world.Submit(SmallJob(kJob));
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return agent.orders().size() == 1; }));
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(4), [&] { return agent.HasStarted(kTask); }));
  world.loop().RunSync([&] {
    CHECK(agent.orders().back().run == agent.orders().front().run);
    CHECK(agent.orders().back().was_sent);
  });
}

// Guards against the start of a run that was stopped meanwhile: its job was cancelled in the pause before the repeat.
TEST_CASE("a start is not repeated once its run was stopped", "[owner]") {
  const bool is_cancelled = GENERATE(true, false);
  INFO("cancelled: " << is_cancelled);
  OwnerWorld world;
  PlayedAgent agent(world.loop());
  world.loop().RunSync([&] { agent.failed_orders = 1; });
  world.SetAgent(agent.port());
  world.Submit(SmallJob(kJob));
  REQUIRE(WaitUntil(world.loop(), absl::Seconds(5), [&] { return agent.orders().size() == 1; }));
  if (is_cancelled) {
    world.Cancel(kJob);
    REQUIRE(WaitUntil(world.loop(), absl::Seconds(1), [&] { return agent.stops() == 1; }));
  }
  const bool is_repeated = WaitUntil(world.loop(), absl::Seconds(1), [&] { return agent.HasStarted(kTask); });
  CHECK(is_repeated != is_cancelled);
}

struct ManyStartsRow {
  const char* name;
  int jobs;
  int tasks;  ///< of each job
  int failed_orders;
};

// Guards against tasks that never start because a message with their starts exceeds what one may have.
TEST_CASE("many starts for one agent all arrive", "[owner]") {
  const ManyStartsRow row = GENERATE(ManyStartsRow{"of many jobs", 1100, 1, 0},
                                     ManyStartsRow{"of one job, after a message that failed", 1, 1100, 1});
  INFO(row.name);
  OwnerWorld world;
  PlayedAgent agent(world.loop());
  world.loop().RunSync([&] { agent.failed_orders = row.failed_orders; });
  for (int i = 0; i < row.jobs; ++i) {
    workflow::JobDefinition job = SmallJob(absl::StrFormat("%016x", i));
    job.payload = std::string(4000, 'p');  // the longest of the platform
    job.steps = {{.task_count = row.tasks}};
    world.Submit(job);
  }
  world.SetAgent(agent.port());
  CHECK(WaitUntil(world.loop(), absl::Seconds(10),
                  [&] { return agent.started() == static_cast<std::size_t>(row.jobs * row.tasks); }));
}

}  // namespace
}  // namespace berylgauge::control
