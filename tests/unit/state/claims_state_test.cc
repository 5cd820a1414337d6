#include "state/claims_state.h"

#include <catch2/catch.hpp>

#include "state/batch.h"

namespace berylgauge {
namespace {

const ClaimKey kKey{.service = ServiceId("dispatch"), .digest = std::string(32, 'a')};
const std::string kContent(32, 'b');

KeyClaimed ClaimOf(const std::string& request, const ClaimKey& key = kKey) {
  return {.key = key,
          .request_digest = kContent,
          .entry = EntryId("entry-1"),
          .entry_incarnation = 7,
          .request = RequestId(request)};
}

KeyOutcome RanOutcome(const std::string& request) {
  return {.key = kKey,
          .request = RequestId(request),
          .verdict = Verdict::kRan,
          .status = 201,
          .answer = KeptAnswer{.headers = {{"content-type", "text/plain"}}, .body = std::string("a\0\xff", 3)}};
}

/// Appends records one batch each, as one writer.
class ClaimsLog {
 public:
  FoldOutcome Append(const ClaimsRecord& record) { return AppendSeen(record, m_offset); }

  FoldOutcome AppendSeen(const ClaimsRecord& record, Offset seen) {
    const Batch batch{.writer = "entry-1",
                      .incarnation = 7,
                      .sequence = ++m_sequence,
                      .seen = seen,
                      .records = {EncodeClaimsRecord(record)}};
    return m_state.Apply(batch, ++m_offset)[0].outcome;
  }

  void Step(int times = 1) {
    for (int i = 0; i < times; ++i) Append(WindowStep{.at = m_offset});
  }

  Offset offset() const { return m_offset; }
  ClaimsState& state() { return m_state; }

 private:
  ClaimsState m_state{ClaimsState::Options{.window_steps = 4, .max_claims_per_step = 10}};
  std::uint64_t m_sequence = 0;
  Offset m_offset = kNoOffset;
};

// Guards against a record that changes between writer and reader.
TEST_CASE("claims records survive encoding and decoding", "[state][claims]") {
  for (const ClaimsRecord& record :
       {ClaimsRecord(ClaimOf("r1")), ClaimsRecord(RanOutcome("r1")),
        ClaimsRecord(KeyReleased{.key = kKey, .request = RequestId("r1")}), ClaimsRecord(WindowStep{.at = 12})}) {
    const nlohmann::json document = EncodeClaimsRecord(record);
    const nlohmann::json wire = nlohmann::json::from_cbor(nlohmann::json::to_cbor(document));
    const Result<ClaimsRecord> decoded = DecodeClaimsRecord(wire);
    REQUIRE(decoded.has_value());
    CHECK(EncodeClaimsRecord(*decoded) == document);
  }
}

// Guards against records of another version or a faulty writer that are folded in part.
TEST_CASE("malformed claims records are refused", "[state][claims]") {
  nlohmann::json unknown_key = EncodeClaimsRecord(ClaimOf("r1"));
  unknown_key["more"] = 1;
  nlohmann::json short_digest = EncodeClaimsRecord(ClaimOf("r1"));
  short_digest["digest"] = "b";
  nlohmann::json no_incarnation = EncodeClaimsRecord(ClaimOf("r1"));
  no_incarnation["incarnation"] = "0";
  nlohmann::json not_run = EncodeClaimsRecord(RanOutcome("r1"));
  not_run["verdict"] = "not-run";
  nlohmann::json text_body = EncodeClaimsRecord(RanOutcome("r1"));
  text_body["answer"]["body"] = "text";
  KeyOutcome long_outcome = RanOutcome("r1");
  long_outcome.answer->body = std::string(kMaxKeptAnswerBytes + 1, 'x');
  const nlohmann::json long_body = EncodeClaimsRecord(long_outcome);
  for (const nlohmann::json& document : {unknown_key, short_digest, no_incarnation, not_run, text_body, long_body,
                                         nlohmann::json{{"t", "other"}}, nlohmann::json::array()}) {
    CAPTURE(document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    CHECK_FALSE(DecodeClaimsRecord(document).has_value());
  }
}

// Guards against two winners of one key.
TEST_CASE("the first claim in log order holds the key", "[state][claims]") {
  ClaimsLog log;
  CHECK(log.Append(ClaimOf("r1")) == FoldOutcome::kAccepted);
  CHECK(log.Append(ClaimOf("r2")) == FoldOutcome::kWrongState);
  CHECK(log.Append(KeyReleased{.key = kKey, .request = RequestId("r2")}) == FoldOutcome::kWrongState);
  REQUIRE(log.state().Find(kKey) != nullptr);
  CHECK(log.state().Find(kKey)->claim.request == RequestId("r1"));
}

// Guards against a key that stays unusable after a request that was not run, and one that is freed after one that ran.
TEST_CASE("a release frees the key and an outcome keeps it", "[state][claims]") {
  ClaimsLog log;
  log.Append(ClaimOf("r1"));
  CHECK(log.Append(KeyReleased{.key = kKey, .request = RequestId("r1")}) == FoldOutcome::kAccepted);
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kFree);
  CHECK(log.Append(ClaimOf("r2")) == FoldOutcome::kAccepted);
  CHECK(log.Append(RanOutcome("r2")) == FoldOutcome::kAccepted);
  CHECK(log.Append(KeyReleased{.key = kKey, .request = RequestId("r2")}) == FoldOutcome::kWrongState);
  REQUIRE(log.state().Find(kKey)->outcome.has_value());
  CHECK(log.state().Find(kKey)->outcome->answer == RanOutcome("r2").answer);
}

// Guards against a claim that is forgotten early: it must outlast window_steps - 2 whole intervals.
TEST_CASE("a claim is kept for the window and no longer", "[state][claims]") {
  ClaimsLog log;
  log.Append(ClaimOf("r1"));
  log.Step(3);
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kHeld);
  log.Step(1);
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kFree);
}

// Guards against a window that passes faster when several entries step it at the same time.
TEST_CASE("a step whose writer had not folded the former one is refused", "[state][claims]") {
  ClaimsLog log;
  log.Append(ClaimOf("r1"));
  const Offset before = log.offset();
  CHECK(log.Append(WindowStep{.at = before}) == FoldOutcome::kAccepted);
  CHECK(log.Append(WindowStep{.at = before}) == FoldOutcome::kStaleEpoch);
}

// Guards against a claim that an entry gave up long ago and that reaches the log late.
TEST_CASE("a claim from before the last two steps is refused", "[state][claims]") {
  ClaimsLog log;
  log.Step(1);
  const Offset before = log.offset() - 1;
  log.Step(2);
  CHECK(log.AppendSeen(ClaimOf("r1"), before) == FoldOutcome::kStaleEpoch);
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kFree);
}

// Guards against unbounded memory, and against room that is made by forgetting a claim.
TEST_CASE("claims beyond the limit of a step are refused", "[state][claims]") {
  ClaimsLog log;
  log.Append(ClaimOf("first"));
  for (int i = 0; i < 20; ++i) {
    ClaimKey key = kKey;
    key.digest = std::string(30, 'c') + std::to_string(10 + i);
    CHECK(log.Append(ClaimOf("r" + std::to_string(i), key)) ==
          (i < 9 ? FoldOutcome::kAccepted : FoldOutcome::kOverLimit));
  }
  CHECK(log.state().IsFull());
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kHeld);
  log.Step(1);
  CHECK_FALSE(log.state().IsFull());
}

// Guards against a reader that began in the middle and takes a key for free whose claim it has not seen.
TEST_CASE("a reader is complete only after a whole window", "[state][claims]") {
  ClaimsLog log;
  log.state().SkipTo(log.offset());
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kUnknown);
  log.Step(3);
  log.Append(ClaimOf("r1"));
  CHECK_FALSE(log.state().IsComplete());
  log.Step(1);
  CHECK(log.state().IsComplete());
  ClaimKey other = kKey;
  other.digest = std::string(32, 'd');
  CHECK(log.state().StatusOf(other) == ClaimsState::KeyStatus::kFree);
  // Whether r1 won its key depends on records before the start.
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kUnknown);
  log.Step(3);
  CHECK(log.state().StatusOf(kKey) == ClaimsState::KeyStatus::kFree);
}

// Guards against a reader that counts a step from before its start and so believes that it has seen more than it has.
TEST_CASE("a late step of a paused entry does not begin the window of a new reader", "[state][claims]") {
  ClaimsLog log;
  log.Step(3);
  const Offset start = log.offset();
  log.state().SkipTo(start);
  CHECK(log.Append(WindowStep{.at = start - 2}) == FoldOutcome::kStaleEpoch);
  log.Step(3);
  CHECK_FALSE(log.state().IsComplete());
  log.Step(1);
  CHECK(log.state().IsComplete());
}

}  // namespace
}  // namespace berylgauge
