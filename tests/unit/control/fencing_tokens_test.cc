#include "control/fencing_tokens.h"

#include <catch2/catch.hpp>

#include "workflow/owner_record.h"

namespace berylgauge::control {
namespace {

const workflow::WorkerLife kFirst{.worker = "w1", .born = 1000};
const workflow::WorkerLife kSecond{.worker = "w1", .born = 2000};

// Guards against calls for a worker's former life that its next one accepts (issue 22).
TEST_CASE("each life announced at a host gets a higher token", "[fence]") {
  FencingTokens tokens(workflow::NextOwnerEpoch(0, 7));
  CHECK(tokens.GrantFor("side-1").token == 0);
  tokens.OnAnnounced("side-1", kFirst);
  const FencingTokens::Grant first = tokens.GrantFor("side-1");
  CHECK(first.life == kFirst);
  CHECK(first.token > 0);
  tokens.OnAnnounced("side-1", {});
  tokens.OnAnnounced("side-1", kFirst);
  CHECK(tokens.GrantFor("side-1").token == first.token);
  tokens.OnAnnounced("side-1", kSecond);
  const FencingTokens::Grant second = tokens.GrantFor("side-1");
  CHECK(second.life == kSecond);
  CHECK(second.token > first.token);
  // A delayed announcement of the former life: the worker itself has seen the second token.
  tokens.OnAnnounced("side-1", kFirst);
  CHECK(tokens.GrantFor("side-1").token > second.token);
  CHECK(tokens.GrantFor("side-2").token == 0);
}

// Guards against a former owner whose calls a worker still accepts.
TEST_CASE("every token of an owner is above those of the owners before it", "[fence]") {
  const std::uint64_t salt = GENERATE(std::uint64_t{0}, std::uint64_t{5}, ~std::uint64_t{0});
  const std::int64_t former = workflow::NextOwnerEpoch(41 << 20, ~salt);
  const std::int64_t epoch = workflow::NextOwnerEpoch(former, salt);
  FencingTokens tokens(epoch);
  tokens.OnAnnounced("side-1", kFirst);
  CHECK(tokens.GrantFor("side-1").token > workflow::FencingTokenOf(former, workflow::kMaxLifeNumber));
}

}  // namespace
}  // namespace berylgauge::control
