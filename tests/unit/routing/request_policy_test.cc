#include "routing/request_policy.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace berylgauge {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct IdempotenceCase {
  const char* method;
  std::optional<std::string> header;
  bool is_idempotent;
};

// Guards against a second run of an order, and against GETs that are not retried.
TEST_CASE("idempotence follows the method and the header", "[request-policy]") {
  const auto test = GENERATE(values<IdempotenceCase>({
      {"GET", std::nullopt, true},
      {"HEAD", std::nullopt, true},
      {"PUT", std::nullopt, true},
      {"DELETE", std::nullopt, true},
      {"POST", std::nullopt, false},
      {"PATCH", std::nullopt, false},
      {"OPTIONS", std::nullopt, false},
      {"get", std::nullopt, false},
      {"POST", "true", true},
      {"PATCH", "true", true},
      {"POST", "false", false},
      {"GET", "false", false},
      {"PUT", "false", false},
      {"GET", "true", true},
  }));
  INFO(test.method << " " << test.header.value_or("-"));
  Headers headers;
  if (test.header) headers.emplace_back("berylgauge-idempotent", *test.header);
  const Result<RequestPolicy> policy = RequestPolicyOf(test.method, headers, {});
  REQUIRE(policy.has_value());
  CHECK(policy->is_idempotent == test.is_idempotent);
}

struct ValidCase {
  Headers headers;
  absl::Duration timeout;
  Importance importance;
};

TEST_CASE("timeout and importance are read from the headers", "[request-policy]") {
  const auto test = GENERATE(values<ValidCase>({
      {{}, absl::Seconds(10), Importance::kNormal},
      {{{"berylgauge-timeout-ms", "1"}}, absl::Milliseconds(1), Importance::kNormal},
      {{{"berylgauge-timeout-ms", "300000"}}, absl::Minutes(5), Importance::kNormal},
      {{{"berylgauge-importance", "high"}}, absl::Seconds(10), Importance::kHigh},
      {{{"berylgauge-importance", "low"}}, absl::Seconds(10), Importance::kLow},
      {{{"accept", "x"}, {"accept", "y"}}, absl::Seconds(10), Importance::kNormal},
  }));
  const Result<RequestPolicy> policy = RequestPolicyOf("GET", test.headers, {});
  REQUIRE(policy.has_value());
  CHECK(policy->timeout == test.timeout);
  CHECK(policy->importance == test.importance);
}

struct InvalidCase {
  Headers headers;
  const char* field;
};

// Guards against a request that runs under a policy other than the one its caller meant.
TEST_CASE("invalid policy headers are refused by name", "[request-policy]") {
  const auto test = GENERATE(values<InvalidCase>({
      {{{"berylgauge-idempotent", "yes"}}, "berylgauge-idempotent"},
      {{{"berylgauge-idempotent", ""}}, "berylgauge-idempotent"},
      {{{"berylgauge-idempotent", "True"}}, "berylgauge-idempotent"},
      {{{"berylgauge-idempotent", "true"}, {"berylgauge-idempotent", "false"}}, "berylgauge-idempotent"},
      {{{"berylgauge-idempotent", "true"}, {"berylgauge-idempotent", "true"}}, "berylgauge-idempotent"},
      {{{"berylgauge-timeout-ms", ""}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-timeout-ms", "0"}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-timeout-ms", "-5"}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-timeout-ms", "+5"}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-timeout-ms", " 5"}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-timeout-ms", "1.5"}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-timeout-ms", "300001"}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-timeout-ms", "99999999999999999999"}}, "berylgauge-timeout-ms"},
      {{{"berylgauge-importance", "urgent"}}, "berylgauge-importance"},
  }));
  INFO(test.headers.front().second);
  const Result<RequestPolicy> policy = RequestPolicyOf("POST", test.headers, {});
  REQUIRE_FALSE(policy.has_value());
  CHECK(policy.error().code == FailureCode::kInvalidArgument);
  CHECK(policy.error().verdict == Verdict::kNotRun);
  CHECK(policy.error().field == test.field);
}

}  // namespace
}  // namespace berylgauge
