#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "state/batch.h"
#include "state/jobs_state.h"

namespace berylgauge {
namespace {

constexpr int kTasks = 3;
const JobId kJob("job");

/// Fold under test; the broken variants below override it to show that the checks can fail.
class FoldUnderTest {
 public:
  virtual ~FoldUnderTest() = default;
  virtual std::vector<FoldOutcome> Apply(const Batch& batch, Offset offset) { return m_state.Apply(batch, offset); }
  const JobsState& state() const { return m_state; }

 protected:
  JobsState m_state;
};

/// A reader that does not recognise repeated appends.
class FoldWithoutDeduplication final : public FoldUnderTest {
 public:
  std::vector<FoldOutcome> Apply(const Batch& batch, Offset offset) override {
    Batch fresh = batch;
    fresh.sequence = ++m_sequence;
    return m_state.Apply(fresh, offset);
  }

 private:
  std::uint64_t m_sequence = 0;
};

/// A reader that accepts records of former owners as if they were of the present one.
class FoldWithoutEpochs final : public FoldUnderTest {
 public:
  std::vector<FoldOutcome> Apply(const Batch& batch, Offset offset) override {
    Batch fresh = batch;
    for (nlohmann::json& record : fresh.records) {
      if (record.contains("epoch")) record["epoch"] = m_state.epoch();
    }
    return m_state.Apply(fresh, offset);
  }
};

Batch MakeBatch(int writer, std::uint64_t sequence, const JobsRecord& record) {
  return {.writer = "entry-" + std::to_string(writer),
          .incarnation = 1,
          .sequence = sequence,
          .seen = kNoOffset,
          .records = {EncodeJobsRecord(record)}};
}

/// Uniform in [0, n); rapidcheck's own range is narrow at small sizes and would leave most kinds of record out.
int Pick(int n) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, n)); }

JobsRecord RandomRecord(ShareEpoch epoch) {
  const TaskId task = MakeTaskId(kJob, static_cast<std::size_t>(Pick(kTasks)));
  const auto attempt = static_cast<AttemptNumber>(1 + Pick(4));
  switch (Pick(6)) {
    case 0:
      return TaskPlaced{.epoch = epoch,
                        .task = task,
                        .attempt = attempt,
                        .worker = WorkerId("w"),
                        .availability_zone = AvailabilityZoneId("z"),
                        .agent_incarnation = 7};
    case 1:
      return TaskStarted{.epoch = epoch, .task = task, .attempt = attempt};
    case 2:
    case 3:
      return TaskEnded{.epoch = epoch,
                       .task = task,
                       .attempt = attempt,
                       .outcome = *rc::gen::elementOf(std::vector<AttemptOutcome>{
                           AttemptOutcome::kSucceeded, AttemptOutcome::kFailed, AttemptOutcome::kStopped,
                           AttemptOutcome::kNotRun, AttemptOutcome::kLost})};
    case 4:
      return JobCancelled{.job = kJob, .requested_by = "operator"};
    default:
      return ShareClaimed{.entry = EntryId("entry"), .entry_incarnation = 1, .previous_epoch = epoch};
  }
}

/// Checks accepted records against the promises of the log: one live attempt for each task, attempts in order, one
/// proof of the end for each, and nothing placed after a success or a cancellation.
class LogChecker {
 public:
  /// Returns what is wrong, or an empty text.
  std::string Check(const JobsRecord& record) {
    if (const auto* placed = std::get_if<TaskPlaced>(&record)) return CheckPlaced(*placed);
    if (const auto* ended = std::get_if<TaskEnded>(&record)) return CheckEnded(*ended);
    if (std::holds_alternative<JobCancelled>(record)) m_cancelled = true;
    if (const auto* claim = std::get_if<ShareClaimed>(&record)) {
      if (claim->previous_epoch != m_epoch) return "claim accepted out of order";
      ++m_epoch;
    }
    return "";
  }

 private:
  std::string CheckPlaced(const TaskPlaced& placed) {
    if (placed.epoch != m_epoch) return "placement of a former owner accepted";
    if (m_cancelled) return "placement of a cancelled task accepted";
    if (m_succeeded.contains(placed.task)) return "placement of a finished task accepted";
    if (m_live.contains(placed.task)) return "second live attempt accepted";
    if (placed.attempt != m_attempts[placed.task] + 1) return "attempt number skipped or repeated";
    m_attempts[placed.task] = placed.attempt;
    m_live.insert(placed.task);
    return "";
  }

  std::string CheckEnded(const TaskEnded& ended) {
    if (ended.epoch != m_epoch) return "end of a former owner accepted";
    if (m_live.erase(ended.task) == 0) return "end of an attempt that was not live accepted";
    if (ended.attempt != m_attempts[ended.task]) return "end of another attempt accepted";
    if (ended.outcome == AttemptOutcome::kSucceeded) m_succeeded.insert(ended.task);
    return "";
  }

  ShareEpoch m_epoch = 0;
  bool m_cancelled = false;
  std::set<TaskId> m_live;
  std::set<TaskId> m_succeeded;
  std::map<TaskId, AttemptNumber> m_attempts;
};

/// Feeds random records of three writers, with repeats and stale epochs, and returns the first broken promise.
std::string RunRandomLog(FoldUnderTest& fold) {
  LogChecker checker;
  Offset offset = 0;
  std::map<int, std::uint64_t> sequences;
  std::vector<std::pair<Batch, JobsRecord>> sent;
  std::set<std::pair<std::string, std::uint64_t>> effective;
  JobSpec spec;
  spec.name = "j";
  spec.team = TeamId("t");
  spec.job_class = "batch";
  spec.task_count = kTasks;
  fold.Apply(MakeBatch(9, 1, JobSubmitted{.job = kJob, .spec = spec}), offset++);
  const int steps = 40 + Pick(120);
  for (int i = 0; i < steps; ++i) {
    const bool repeat = !sent.empty() && Pick(4) == 0;
    if (!repeat) {
      const int writer = Pick(3);
      const ShareEpoch lag = Pick(2);
      const ShareEpoch epoch = fold.state().epoch() >= lag ? fold.state().epoch() - lag : 0;
      const JobsRecord record = RandomRecord(epoch);
      sent.emplace_back(MakeBatch(writer, ++sequences[writer], record), record);
    }
    const auto& [batch, record] = repeat ? *rc::gen::elementOf(sent) : sent.back();
    const std::vector<FoldOutcome> outcomes = fold.Apply(batch, offset++);
    if (outcomes[0] != FoldOutcome::kAccepted) continue;
    if (!effective.emplace(batch.writer, batch.sequence).second) return "repeated append took effect twice";
    const std::string problem = checker.Check(record);
    if (!problem.empty()) return problem;
  }
  return "";
}

// Guards against two live attempts of a task, lost-answer repeats that count twice, and records of former owners.
TEST_CASE("jobs fold keeps its promises for every order of records", "[state][property]") {
  rc::prop("random log", [] {
    FoldUnderTest fold;
    const std::string problem = RunRandomLog(fold);
    RC_ASSERT(problem == "");
  });
}

// Guards against a snapshot that loses or changes state.
TEST_CASE("a restored jobs snapshot equals the state", "[state][property]") {
  rc::prop("round trip", [] {
    FoldUnderTest fold;
    RunRandomLog(fold);
    JobsState restored;
    RC_ASSERT(restored.Restore(fold.state().ToJson()).has_value());
    RC_ASSERT(restored.ToJson() == fold.state().ToJson());
    RC_ASSERT(restored.waiting() == fold.state().waiting());
    RC_ASSERT(restored.live() == fold.state().live());
  });
}

template <typename BrokenFold>
bool IsCaught() {
  return !rc::check("broken fold", [] {
    BrokenFold fold;
    RC_ASSERT(RunRandomLog(fold) == "");
  });
}

// Guards against a property above that cannot fail.
TEST_CASE("the property catches broken folds", "[state][property]") { CHECK(IsCaught<FoldWithoutEpochs>()); }

Batch SubmitBatch(std::uint64_t sequence) {
  JobSpec spec;
  spec.name = "j";
  spec.team = TeamId("t");
  spec.job_class = "batch";
  return MakeBatch(1, sequence, JobSubmitted{.job = JobId("job-" + std::to_string(sequence)), .spec = spec});
}

/// Submits and cancels jobs until the first is forgotten, then appends its submission again.
FoldOutcome RepeatForgottenSubmission(FoldUnderTest& fold) {
  constexpr std::uint64_t kMoreThanAreKept = 2'000;
  Offset offset = 0;
  for (std::uint64_t i = 1; i <= kMoreThanAreKept; ++i) {
    fold.Apply(SubmitBatch(i), offset++);
    fold.Apply(MakeBatch(2, i, JobCancelled{.job = JobId("job-" + std::to_string(i))}), offset++);
  }
  REQUIRE(fold.state().FindJob(JobId("job-1")) == nullptr);
  return fold.Apply(SubmitBatch(1), offset++)[0];
}

// Guards against a job that runs again because its submission was appended again, after a lost answer, when the
// finished job was forgotten already.
TEST_CASE("a repeated submission of a forgotten job has no effect", "[state]") {
  FoldUnderTest fold;
  CHECK(RepeatForgottenSubmission(fold) == FoldOutcome::kRepeat);
  FoldWithoutDeduplication broken;
  CHECK(RepeatForgottenSubmission(broken) == FoldOutcome::kAccepted);
}

}  // namespace
}  // namespace berylgauge
