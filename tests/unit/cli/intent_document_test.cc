#include "cli/intent_document.h"

#include <docopt/docopt.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace berylgauge {
namespace {

struct IntentCase {
  std::vector<std::string> arguments;
  const char* expected;
};

// Guards against a command that states another intent than the one typed.
TEST_CASE("arguments become the intent that they state", "[cli]") {
  const auto test = GENERATE(values<IntentCase>({
      {{"drain", "zone", "limerick-yard"}, R"({"kind":"drain-zone","operator":"aoife","target":"limerick-yard"})"},
      {{"restore", "zone", "z"}, R"({"kind":"restore-zone","operator":"aoife","target":"z"})"},
      {{"drain", "worker", "w"}, R"({"kind":"drain-worker","operator":"aoife","target":"w"})"},
      {{"lost", "worker", "w"}, R"({"kind":"lost-worker","operator":"aoife","target":"w"})"},
      {{"limit", "set", "max-jobs", "7"}, R"({"kind":"set-limit","operator":"aoife","limit":"max-jobs","value":7})"},
      {{"quota", "remove", "t"}, R"({"kind":"remove-quota","operator":"aoife","target":"t"})"},
      {{"quota", "set", "t", "--cpu-millis=5", "--memory-mb=6"},
       R"({"kind":"set-quota","operator":"aoife",
           "quota":{"team":"t","cpu_millis":5,"memory_mb":6,"accelerators":0}})"},
      {{"service", "remove", "s"}, R"({"kind":"remove-service","operator":"aoife","target":"s"})"},
  }));
  const auto arguments = docopt::docopt_parse(kCommandLineUsage, test.arguments, true, true);
  const Result<nlohmann::json> intent = IntentDocument(arguments, "aoife");
  REQUIRE(intent.has_value());
  CHECK(*intent == nlohmann::json::parse(test.expected));
}

// Guards against a number that is read in part, so that a limit is set to something nobody typed.
TEST_CASE("numbers that are not whole are refused", "[cli]") {
  const auto value = GENERATE(values<std::string>({"7x", "x", "1.5", "99999999999999999999"}));
  const auto arguments = docopt::docopt_parse(kCommandLineUsage, {"limit", "set", "max-jobs", value}, true, true);
  const Result<nlohmann::json> intent = IntentDocument(arguments, "aoife");
  REQUIRE_FALSE(intent.has_value());
  CHECK(intent.error().field == "VALUE");
}

struct ExitCase {
  FailureCode code;
  Verdict verdict;
  ExitCode expected;
};

// Guards against a script that repeats what may have been carried out.
TEST_CASE("exit codes tell what a script may do", "[cli]") {
  const auto test = GENERATE(values<ExitCase>({
      {FailureCode::kUnavailable, Verdict::kNotRun, ExitCode::kUnreachable},
      {FailureCode::kUnavailable, Verdict::kMayHaveRun, ExitCode::kOutcomeUnknown},
      {FailureCode::kConflict, Verdict::kNotRun, ExitCode::kRefused},
      {FailureCode::kInvalidArgument, Verdict::kNotRun, ExitCode::kUsage},
      {FailureCode::kNotFound, Verdict::kNotRun, ExitCode::kFailed},
      {FailureCode::kInternal, Verdict::kMayHaveRun, ExitCode::kOutcomeUnknown},
  }));
  CHECK(ExitCodeOf({.code = test.code, .verdict = test.verdict, .message = {}, .field = {}}) == test.expected);
}

}  // namespace
}  // namespace berylgauge
