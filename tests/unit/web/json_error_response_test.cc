#include "web/json_error_response.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace berylgauge {
namespace {

struct StatusCase {
  FailureCode code;
  int status;
};

// Guards against failures that a caller takes for another class of error.
TEST_CASE("failures map to a status and a JSON body", "[web]") {
  const auto test = GENERATE(values<StatusCase>({
      {FailureCode::kInvalidArgument, 400},
      {FailureCode::kRefused, 403},
      {FailureCode::kNotFound, 404},
      {FailureCode::kConflict, 409},
      {FailureCode::kExpired, 410},
      {FailureCode::kInternal, 500},
      {FailureCode::kCorrupt, 502},
      {FailureCode::kOverloaded, 503},
      {FailureCode::kUnavailable, 503},
      {FailureCode::kDeadlineExceeded, 504},
  }));
  const auto verdict = GENERATE(Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan);
  const WebResponse response =
      JsonErrorResponse({.code = test.code, .verdict = verdict, .message = "a \"quoted\" text", .field = "$.a"});
  CHECK(response.status == test.status);
  const nlohmann::json error = nlohmann::json::parse(response.body)["error"];
  CHECK(error["code"] == kFailureCodeNames.NameOf(test.code));
  CHECK(error["message"] == "a \"quoted\" text");
  CHECK(error["field"] == "$.a");
  CHECK(error["verdict"] == kVerdictNames.NameOf(verdict));
  const std::pair<std::string, std::string> verdict_header("Berylgauge-Verdict", kVerdictNames.NameOf(verdict));
  CHECK(std::find(response.headers.begin(), response.headers.end(), verdict_header) != response.headers.end());
}

// Guards against an exception of the JSON library when a message quotes bytes that are not UTF-8.
TEST_CASE("messages that are not UTF-8 are answered", "[web]") {
  const WebResponse response =
      JsonErrorResponse({.code = FailureCode::kInvalidArgument, .message = "bad \xff byte", .field = "\xc3"}, 422);
  CHECK(response.status == 422);
  CHECK(nlohmann::json::accept(response.body));
}

}  // namespace
}  // namespace berylgauge
