#include "daemon/entry/claims_streams.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "clients/log_client.h"

namespace berylgauge {
namespace {

/// A log in memory with outages and lost answers.
class FakeLog final : public LogClient {
 public:
  Result<Offset> Append(const std::string& stream, const std::string& payload, absl::Duration /*timeout*/) override {
    const absl::MutexLock lock(&m_mutex);
    if (m_is_out) return NotRun(FailureCode::kUnavailable, "outage");
    std::vector<std::string>& records = m_streams[stream];
    records.push_back(payload);
    if (m_is_losing_answers) return MayHaveRun(FailureCode::kUnavailable, "no answer");
    return static_cast<Offset>(records.size()) - 1;
  }

  Result<LogPage> Read(const std::string& stream, Offset from, int max_records, absl::Duration wait,
                       absl::Duration /*timeout*/) override {
    const absl::MutexLock lock(&m_mutex);
    const auto ready = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
      return m_is_out || static_cast<Offset>(m_streams[stream].size()) > from;
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&ready), std::min(wait, absl::Milliseconds(50)));
    if (m_is_out) return NotRun(FailureCode::kUnavailable, "outage");
    const std::vector<std::string>& records = m_streams[stream];
    LogPage page{.records = {}, .first_offset = 0, .next_offset = static_cast<Offset>(records.size())};
    for (Offset i = from; i < page.next_offset && static_cast<int>(page.records.size()) < max_records; ++i) {
      page.records.push_back({.offset = i, .payload = records[static_cast<std::size_t>(i)]});
    }
    return page;
  }

  Result<LogBounds> Bounds(const std::string& stream, absl::Duration /*timeout*/) override {
    const absl::MutexLock lock(&m_mutex);
    if (m_is_out) return NotRun(FailureCode::kUnavailable, "outage");
    return LogBounds{.first_offset = 0, .next_offset = static_cast<Offset>(m_streams[stream].size())};
  }

  void SetOut(bool is_out) {
    const absl::MutexLock lock(&m_mutex);
    m_is_out = is_out;
  }
  void SetLosingAnswers(bool is_losing) {
    const absl::MutexLock lock(&m_mutex);
    m_is_losing_answers = is_losing;
  }

 private:
  absl::Mutex m_mutex;
  std::map<std::string, std::vector<std::string>> m_streams ABSL_GUARDED_BY(m_mutex);
  bool m_is_out ABSL_GUARDED_BY(m_mutex) = false;
  bool m_is_losing_answers ABSL_GUARDED_BY(m_mutex) = false;
};

const ClaimKey kKey{.service = ServiceId("dispatch"), .digest = std::string(32, 'a')};

/// The claims of two entries on one log.
class TwoEntries {
 public:
  TwoEntries() {
    for (Incarnation i = 1; i <= 2; ++i) {
      entries.push_back(std::make_unique<ClaimsStreams>());
      entries.back()->Start(
          log, m_clock,
          {.entry = EntryId("entry-" + std::to_string(i)), .incarnation = i, .claim_timeout = absl::Milliseconds(500)},
          [this](const EntryId&, Incarnation incarnation, MonotonicTime) {
            return !is_first_dead.load() || incarnation != 1;
          });
    }
  }

  std::future<ClaimAnswer> Claim(std::size_t entry, absl::Duration timeout = absl::Seconds(10)) {
    auto promise = std::make_shared<std::promise<ClaimAnswer>>();
    last = RequestId("request-" + std::to_string(++m_number));
    entries[entry]->Claim(
        {.key = kKey, .request_digest = std::string(32, 'b'), .request = last, .deadline = m_clock.Now() + timeout},
        [promise](ClaimAnswer answer) { promise->set_value(std::move(answer)); });
    return promise->get_future();
  }

  /// Claims until the entries have read the empty log for the first time.
  ClaimAnswer ClaimGranted(std::size_t entry) {
    for (int i = 0; i < 200; ++i) {
      ClaimAnswer answer = Claim(entry).get();
      if (answer.result != ClaimResult::kNotRun) return answer;
      absl::SleepFor(absl::Milliseconds(20));
    }
    return {};
  }

  FakeLog log;
  std::vector<std::unique_ptr<ClaimsStreams>> entries;
  std::atomic<bool> is_first_dead{false};
  RequestId last;

 private:
  SystemClock m_clock;
  int m_number = 0;
};

bool IsWaiting(const std::future<ClaimAnswer>& answer) {
  return answer.wait_for(std::chrono::milliseconds(200)) == std::future_status::timeout;
}

// Guards against a repeat through another entry that runs, or does not learn the outcome.
TEST_CASE("a repeat through another entry waits for the outcome", "[daemon][claims]") {
  TwoEntries two;
  REQUIRE(two.ClaimGranted(0).result == ClaimResult::kGranted);
  const RequestId request = two.last;
  std::future<ClaimAnswer> repeat = two.Claim(1);
  CHECK(IsWaiting(repeat));
  two.entries[0]->Finish({.key = kKey,
                          .request = request,
                          .verdict = Verdict::kRan,
                          .status = 201,
                          .answer = KeptAnswer{.headers = {}, .body = "done"}});
  const ClaimAnswer answer = repeat.get();
  CHECK(answer.result == ClaimResult::kFinished);
  CHECK(answer.outcome.answer->body == "done");
}

// Guards against a key that stays blocked after a request that was not run.
TEST_CASE("a release lets the waiting repeat run", "[daemon][claims]") {
  TwoEntries two;
  REQUIRE(two.ClaimGranted(0).result == ClaimResult::kGranted);
  const RequestId request = two.last;
  std::future<ClaimAnswer> repeat = two.Claim(1);
  CHECK(IsWaiting(repeat));
  two.entries[0]->Release(kKey, request);
  CHECK(repeat.get().result == ClaimResult::kGranted);
}

// Guards against a repeat that runs although the entry that held the key may have sent the request before its end.
TEST_CASE("a key of a crashed entry may have run", "[daemon][claims]") {
  TwoEntries two;
  REQUIRE(two.ClaimGranted(0).result == ClaimResult::kGranted);
  std::future<ClaimAnswer> repeat = two.Claim(1);
  CHECK(IsWaiting(repeat));
  two.entries[0]->Stop();
  two.is_first_dead.store(true);
  CHECK(repeat.get().result == ClaimResult::kMayHaveRun);
}

// Guards against a repeat that waits for ever.
TEST_CASE("a repeat waits no longer than its deadline", "[daemon][claims]") {
  TwoEntries two;
  REQUIRE(two.ClaimGranted(0).result == ClaimResult::kGranted);
  CHECK(two.Claim(1, absl::Milliseconds(300)).get().result == ClaimResult::kMayHaveRun);
}

// Guards against a claim that takes effect after its caller was told that the request was not run, and so blocks the
// caller's next try.
TEST_CASE("a claim that failed in an outage of the log does not block the key", "[daemon][claims]") {
  TwoEntries two;
  REQUIRE(two.ClaimGranted(0).result == ClaimResult::kGranted);
  two.entries[0]->Release(kKey, two.last);
  for (int i = 0; i < 100 && !two.entries[0]->IsIdle(); ++i) absl::SleepFor(absl::Milliseconds(20));
  const bool is_losing = GENERATE(false, true);
  CAPTURE(is_losing);
  if (is_losing) {
    two.log.SetLosingAnswers(true);
  } else {
    two.log.SetOut(true);
  }
  const ClaimAnswer during = two.Claim(0).get();
  // With a lost answer the claim itself can be read back; then the request runs.
  if (is_losing) {
    CHECK(during.result == ClaimResult::kGranted);
    two.entries[0]->Release(kKey, two.last);
  } else {
    CHECK(during.result == ClaimResult::kNotRun);
  }
  two.log.SetLosingAnswers(false);
  two.log.SetOut(false);
  CHECK(two.ClaimGranted(1).result == ClaimResult::kGranted);
}

}  // namespace
}  // namespace berylgauge
