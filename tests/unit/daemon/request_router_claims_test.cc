#include <catch2/catch.hpp>

#include "router_harness.h"

namespace berylgauge {
namespace {

const std::pair<std::string, std::string> kKeyHeader{"idempotency-key", "order-17"};
const std::string kVerdictName = "Berylgauge-Verdict";

ClaimAnswer AnswerOf(ClaimResult result) { return {.result = result, .reason = "for a reason", .outcome = {}}; }

// Guards against a request that is sent before its key is claimed.
TEST_CASE("a keyed request waits for its claim", "[daemon][router][claims]") {
  RouterHarness harness({4});
  const int number = harness.Send("POST", {kKeyHeader});
  REQUIRE(harness.claims.claims.size() == 1);
  CHECK(harness.AtAgents() == 0);
  harness.claims.callbacks[0](AnswerOf(ClaimResult::kGranted));
  REQUIRE(harness.AtAgents() == 1);
  harness.AnswerRan(201, "done");
  CHECK(harness.answers.at(number).status == 201);
  REQUIRE(harness.claims.outcomes.size() == 1);
  CHECK(harness.claims.outcomes[0].request == harness.claims.claims[0].request);
  CHECK(harness.claims.outcomes[0].verdict == Verdict::kRan);
  REQUIRE(harness.claims.outcomes[0].answer.has_value());
  CHECK(harness.claims.outcomes[0].answer->body == "done");
}

// Guards against appends to the log for requests that need none.
TEST_CASE("idempotent requests and those without a key claim nothing", "[daemon][router][claims]") {
  RouterHarness harness({4});
  harness.Send("GET", {kKeyHeader});
  harness.Send("POST", {kKeyHeader, {"berylgauge-idempotent", "true"}});
  harness.Send("POST");
  CHECK(harness.claims.claims.empty());
  CHECK(harness.AtAgents() == 3);
}

// Guards against a key that cannot be told apart from another one.
TEST_CASE("malformed keys are refused", "[daemon][router][claims]") {
  RouterHarness harness({4});
  const std::vector<std::vector<std::pair<std::string, std::string>>> cases = {
      {{"idempotency-key", ""}}, {{"idempotency-key", std::string(256, 'k')}}, {kKeyHeader, kKeyHeader}};
  for (const auto& headers : cases) {
    const int number = harness.Send("POST", headers);
    REQUIRE(harness.IsAnswered(number));
    CHECK(harness.answers.at(number).status == 400);
  }
  CHECK(harness.AtAgents() == 0);
}

// Guards against a request that runs although another one with its key ran or may have run.
TEST_CASE("a request that is not granted its key is answered and never sent", "[daemon][router][claims]") {
  struct Case {
    ClaimResult result;
    int status;
    std::string verdict;
  };
  for (const Case& c : {Case{ClaimResult::kMayHaveRun, 409, "may-have-run"},
                        Case{ClaimResult::kOtherRequest, 422, "not-run"}, Case{ClaimResult::kNotRun, 503, "not-run"}}) {
    CAPTURE(kClaimResultNames.NameOf(c.result));
    RouterHarness harness({4});
    const int number = harness.Send("POST", {kKeyHeader});
    harness.claims.callbacks[0](AnswerOf(c.result));
    REQUIRE(harness.IsAnswered(number));
    CHECK(harness.answers.at(number).status == c.status);
    CHECK(harness.HeaderOf(number, kVerdictName) == c.verdict);
    CHECK(harness.AtAgents() == 0);
    CHECK(harness.claims.outcomes.empty());
    CHECK(harness.claims.releases.empty());
  }
}

// Guards against a repeat that gets another answer than the first try.
TEST_CASE("a repeat receives the outcome again", "[daemon][router][claims]") {
  RouterHarness harness({4});
  ClaimAnswer answer = AnswerOf(ClaimResult::kFinished);
  answer.outcome = {.key = {},
                    .request = RequestId("r"),
                    .verdict = Verdict::kRan,
                    .status = 201,
                    .answer = KeptAnswer{.headers = {{"x-order", "17"}}, .body = "done"}};
  const int kept = harness.Send("POST", {kKeyHeader});
  harness.claims.callbacks[0](answer);
  CHECK(harness.answers.at(kept).status == 201);
  CHECK(harness.answers.at(kept).body == "done");
  CHECK(harness.HeaderOf(kept, "x-order") == "17");
  CHECK(harness.HeaderOf(kept, "Berylgauge-Replayed") == "true");
  CHECK(harness.HeaderOf(kept, kVerdictName) == "ran");

  answer.outcome.answer.reset();
  const int dropped = harness.Send("POST", {kKeyHeader});
  harness.claims.callbacks[1](answer);
  CHECK(harness.answers.at(dropped).status == 409);
  CHECK(harness.HeaderOf(dropped, "Berylgauge-Replayed") == "true");
  CHECK(harness.HeaderOf(dropped, kVerdictName) == "ran");

  answer.outcome.verdict = Verdict::kMayHaveRun;
  const int unknown = harness.Send("POST", {kKeyHeader});
  harness.claims.callbacks[2](answer);
  CHECK(harness.answers.at(unknown).status == 409);
  CHECK(harness.HeaderOf(unknown, kVerdictName) == "may-have-run");
}

// Guards against a key that stays blocked although nothing ran, and one that is freed though the request may have run.
TEST_CASE("the claim ends with the verdict of the request", "[daemon][router][claims]") {
  RouterHarness harness({4});
  const int refused = harness.Send("POST", {kKeyHeader});
  harness.claims.callbacks[0](AnswerOf(ClaimResult::kGranted));
  harness.AnswerNotRun("leaving");
  REQUIRE(harness.IsAnswered(refused));
  CHECK(harness.HeaderOf(refused, kVerdictName) == "not-run");
  REQUIRE(harness.claims.releases.size() == 1);
  CHECK(harness.claims.releases[0] == harness.claims.claims[0].request);
  CHECK(harness.claims.outcomes.empty());

  const int broken = harness.Send("POST", {kKeyHeader});
  harness.claims.callbacks[1](AnswerOf(ClaimResult::kGranted));
  harness.AnswerBroken();
  REQUIRE(harness.IsAnswered(broken));
  CHECK(harness.HeaderOf(broken, kVerdictName) == "may-have-run");
  CHECK(harness.claims.releases.size() == 1);
  REQUIRE(harness.claims.outcomes.size() == 1);
  CHECK(harness.claims.outcomes[0].verdict == Verdict::kMayHaveRun);
  CHECK_FALSE(harness.claims.outcomes[0].answer.has_value());
}

// Guards against a repeat that counts as another request because of headers that change from try to try, and against
// other content that counts as the same.
TEST_CASE("the digest of a request covers what is ordered", "[daemon][router][claims]") {
  RouterHarness harness({4});
  harness.Send("POST", {kKeyHeader, {"date", "monday"}}, "25 kg");
  harness.Send("POST", {kKeyHeader, {"date", "tuesday"}}, "25 kg");
  harness.Send("POST", {kKeyHeader}, "50 kg");
  harness.Send("POST", {kKeyHeader}, "25 kg", "/dispatch/returns");
  harness.Send("PATCH", {kKeyHeader}, "25 kg");
  const std::vector<ClaimRequest>& claims = harness.claims.claims;
  REQUIRE(claims.size() == 5);
  CHECK(claims[1].request_digest == claims[0].request_digest);
  for (std::size_t i = 2; i < claims.size(); ++i) CHECK(claims[i].request_digest != claims[0].request_digest);
  for (std::size_t i = 1; i < claims.size(); ++i) {
    CHECK(claims[i].key == claims[0].key);
    CHECK(claims[i].request != claims[0].request);
  }
}

// Guards against a long answer that makes the append of the outcome fail.
TEST_CASE("a long answer is not kept", "[daemon][router][claims]") {
  RouterHarness harness({4});
  harness.Send("POST", {kKeyHeader});
  harness.claims.callbacks[0](AnswerOf(ClaimResult::kGranted));
  harness.AnswerRan(200, std::string(kMaxKeptAnswerBytes + 1, 'x'));
  REQUIRE(harness.claims.outcomes.size() == 1);
  CHECK_FALSE(harness.claims.outcomes[0].answer.has_value());
  CHECK(harness.claims.outcomes[0].status == 200);
}

}  // namespace
}  // namespace berylgauge
