#include "cli/command_line.h"

#include <docopt/docopt.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/intent_document.h"
#include "cli/operator_client.h"
#include "cli/render.h"
#include "settings/settings_reader.h"

namespace berylgauge {
namespace {

constexpr const char* kDefaultEntry = "127.0.0.1:7401";

std::string EnvironmentOr(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr || *value == '\0' ? fallback : value;
}

Result<std::string> ReadToken(const std::string& path) {
  if (path.empty()) {
    return NotRun(FailureCode::kInvalidArgument, "no token: give --token-file or set BERYLGAUGE_TOKEN_FILE",
                  "--token-file");
  }
  std::ifstream file(path);
  std::string token;
  if (!std::getline(file, token) || token.empty()) {
    return NotRun(FailureCode::kInvalidArgument, "cannot read a token from " + path, "--token-file");
  }
  return token;
}

ExitCode PrintFailure(const Failure& failure) {
  std::cerr << "error: " << failure.message;
  if (!failure.field.empty()) std::cerr << " (" << failure.field << ")";
  if (failure.verdict == Verdict::kMayHaveRun) std::cerr << "; it may have been carried out";
  std::cerr << "\n";
  return ExitCodeOf(failure);
}

using Renderer = std::string (*)(const nlohmann::json&);

ExitCode Print(const Result<nlohmann::json>& result, bool as_json, Renderer render) {
  if (!result) return PrintFailure(result.error());
  std::cout << (as_json ? result->dump(2) + "\n" : render(*result));
  return ExitCode::kDone;
}

std::string RenderConfirmation(const nlohmann::json& answer) {
  return "confirmed; configuration version " + std::to_string(answer.value("version", std::int64_t{0})) + "\n";
}

std::string RenderSubmission(const nlohmann::json& answer) {
  return "submitted " + answer.value("id", std::string()) + "\n";
}

ExitCode Confirm(OperatorClient& client, const std::string& plan, bool as_json) {
  return Print(client.Post("/v1/plans/" + plan + "/confirm", {{"operator", client.operator_name()}}), as_json,
               &RenderConfirmation);
}

bool AskForConfirmation() {
  std::cout << "Carry this plan out? [y/N] " << std::flush;
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "Y" || answer == "yes";
}

ExitCode PlanAndConfirm(OperatorClient& client, const nlohmann::json& intent, bool assume_yes, bool as_json) {
  const Result<nlohmann::json> plan = client.Post("/v1/plans", intent);
  if (const ExitCode printed = Print(plan, as_json, &RenderPlan); printed != ExitCode::kDone) return printed;
  const std::string id = plan->value("id", std::string());
  const bool may_ask = !as_json && isatty(STDIN_FILENO) != 0;
  if (assume_yes || (may_ask && AskForConfirmation())) return Confirm(client, id, as_json);
  if (!as_json) std::cout << "Not confirmed. To carry it out: berylgauge confirm " << id << "\n";
  return ExitCode::kDone;
}

}  // namespace

const char* const kCommandLineUsage =
    R"(berylgauge: operates a berylgauge installation. A change prints its plan and asks for confirmation.

Usage:
  berylgauge [options] (drain | restore) (zone | worker) NAME
  berylgauge [options] lost worker NAME
  berylgauge [options] service put FILE
  berylgauge [options] service remove NAME
  berylgauge [options] quota set TEAM --cpu-millis=N --memory-mb=N [--accelerators=N]
  berylgauge [options] quota remove TEAM
  berylgauge [options] limit set NAME VALUE
  berylgauge [options] confirm PLAN
  berylgauge [options] job submit FILE [--key=KEY]
  berylgauge [options] job (cancel | show) ID
  berylgauge [options] job list
  berylgauge [options] status
  berylgauge [options] explain TASK
  berylgauge [options] audit
  berylgauge check SETTINGS
  berylgauge (-h | --help)
  berylgauge --version

Options:
  --entry=ADDRESS    Operators' listener of an entry, ip:port; else BERYLGAUGE_ENTRY, else 127.0.0.1:7401.
  --token-file=FILE  File with the operators' token; else BERYLGAUGE_TOKEN_FILE.
  --operator=NAME    Name for the audit trail; else BERYLGAUGE_OPERATOR, else USER.
  --yes              Confirm the plan without asking.
  --json             Print JSON.
  --key=KEY          A repeated submission with the same key is one job.
  --cpu-millis=N     Thousandths of a processor core.
  --memory-mb=N      MB of 10^6 bytes.
  --accelerators=N   Number of accelerators [default: 0].
  -h --help          Show this text.
  --version          Show the version.

Exit codes:
  0  done
  1  failed
  2  wrong usage, input or settings
  3  refused: the plan is out of date, or not allowed
  4  no entry could be reached, or its log is down; nothing was done
  5  outcome unknown: it may have been carried out
)";

CommandLine::CommandLine(const CommandLineArguments& arguments) : m_arguments(arguments) {}

bool CommandLine::Is(const char* word) const {
  const auto it = m_arguments.find(word);
  return it != m_arguments.end() && it->second.isBool() && it->second.asBool();
}

std::string CommandLine::Text(const char* name) const {
  const auto it = m_arguments.find(name);
  return it != m_arguments.end() && it->second.isString() ? it->second.asString() : "";
}

ExitCode CommandLine::Run() {
  if (Is("check")) return CheckSettingsFile();
  return RunRemote();
}

ExitCode CommandLine::CheckSettingsFile() const {
  const std::vector<JsonError> errors = CheckSettings(Text("SETTINGS"));
  for (const JsonError& error : errors) std::cerr << error.path << ": " << error.message << "\n";
  if (!errors.empty()) return ExitCode::kUsage;
  std::cout << "settings are correct\n";
  return ExitCode::kDone;
}

ExitCode CommandLine::RunRemote() {
  const auto option = [this](const char* name, const char* variable, const std::string& fallback) {
    const std::string given = Text(name);
    return given.empty() ? EnvironmentOr(variable, fallback) : given;
  };
  const Result<std::string> token = ReadToken(option("--token-file", "BERYLGAUGE_TOKEN_FILE", ""));
  if (!token) return PrintFailure(token.error());
  OperatorClient client(
      {.entry = option("--entry", "BERYLGAUGE_ENTRY", kDefaultEntry),
       .token = *token,
       .operator_name = option("--operator", "BERYLGAUGE_OPERATOR", EnvironmentOr("USER", "operator"))});
  const bool as_json = Is("--json");
  if (Is("confirm")) return Confirm(client, Text("PLAN"), as_json);
  if (Is("status")) return Print(client.Get("/v1/status"), as_json, &RenderStatus);
  if (Is("audit")) return Print(client.Get("/v1/audit"), as_json, &RenderAudit);
  if (Is("explain")) return Print(client.Get("/v1/tasks/" + Text("TASK") + "/explain"), as_json, &RenderExplanation);
  if (Is("job")) {
    if (Is("list")) return Print(client.Get("/v1/jobs"), as_json, &RenderJobs);
    if (Is("show")) return Print(client.Get("/v1/jobs/" + Text("ID")), as_json, &RenderJob);
    if (Is("cancel")) return Print(client.Delete("/v1/jobs/" + Text("ID")), as_json, &RenderJob);
    const Result<nlohmann::json> job = ReadJsonFile(Text("FILE"));
    if (!job) return PrintFailure(job.error());
    HeaderList headers;
    if (!Text("--key").empty()) headers.emplace_back("idempotency-key", Text("--key"));
    return Print(client.Post("/v1/jobs", *job, headers), as_json, &RenderSubmission);
  }
  const Result<nlohmann::json> intent = IntentDocument(m_arguments, client.operator_name());
  if (!intent) return PrintFailure(intent.error());
  return PlanAndConfirm(client, *intent, Is("--yes"), as_json);
}

}  // namespace berylgauge
