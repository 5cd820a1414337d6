#include "cli/intent_document.h"

#include <docopt/docopt.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace berylgauge {
namespace {

bool Is(const CommandLineArguments& arguments, const char* word) {
  const auto it = arguments.find(word);
  return it != arguments.end() && it->second.isBool() && it->second.asBool();
}

std::string Text(const CommandLineArguments& arguments, const char* name) {
  const auto it = arguments.find(name);
  return it != arguments.end() && it->second.isString() ? it->second.asString() : "";
}

Result<std::int64_t> Number(const CommandLineArguments& arguments, const char* name) {
  const std::string text = Text(arguments, name);
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec == std::errc() && parsed.ptr == end) return number;
  return NotRun(FailureCode::kInvalidArgument, std::string(name) + " must be an integer", name);
}

Result<nlohmann::json> QuotaDocument(const CommandLineArguments& arguments, nlohmann::json intent) {
  if (Is(arguments, "remove")) {
    intent["kind"] = "remove-quota";
    intent["target"] = Text(arguments, "TEAM");
    return intent;
  }
  nlohmann::json quota = {{"team", Text(arguments, "TEAM")}};
  for (const auto& [option, key] : {std::pair("--cpu-millis", "cpu_millis"), std::pair("--memory-mb", "memory_mb"),
                                    std::pair("--accelerators", "accelerators")}) {
    const Result<std::int64_t> number = Number(arguments, option);
    if (!number) return tl::make_unexpected(number.error());
    quota[key] = *number;
  }
  intent["kind"] = "set-quota";
  intent["quota"] = std::move(quota);
  return intent;
}

Result<nlohmann::json> ServiceDocument(const CommandLineArguments& arguments, nlohmann::json intent) {
  if (Is(arguments, "remove")) {
    intent["kind"] = "remove-service";
    intent["target"] = Text(arguments, "NAME");
    return intent;
  }
  const Result<nlohmann::json> service = ReadJsonFile(Text(arguments, "FILE"));
  if (!service) return service;
  intent["kind"] = "put-service";
  intent["service"] = *service;
  return intent;
}

Result<nlohmann::json> LimitDocument(const CommandLineArguments& arguments, nlohmann::json intent) {
  const Result<std::int64_t> value = Number(arguments, "VALUE");
  if (!value) return tl::make_unexpected(value.error());
  intent["kind"] = "set-limit";
  intent["limit"] = Text(arguments, "NAME");
  intent["value"] = *value;
  return intent;
}

}  // namespace

Result<nlohmann::json> ReadJsonFile(const std::string& path) {
  std::string text;
  if (path == "-") {
    text.assign(std::istreambuf_iterator<char>(std::cin), {});
  } else {
    std::ifstream file(path, std::ios::binary);
    if (!file) return NotRun(FailureCode::kInvalidArgument, "cannot read " + path, "FILE");
    text.assign(std::istreambuf_iterator<char>(file), {});
  }
  nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) return NotRun(FailureCode::kInvalidArgument, path + " is not valid JSON", "FILE");
  return document;
}

Result<nlohmann::json> IntentDocument(const CommandLineArguments& arguments, const std::string& operator_name) {
  nlohmann::json intent = {{"operator", operator_name}};
  if (Is(arguments, "quota")) return QuotaDocument(arguments, std::move(intent));
  if (Is(arguments, "service")) return ServiceDocument(arguments, std::move(intent));
  if (Is(arguments, "limit")) return LimitDocument(arguments, std::move(intent));
  const std::string object = Is(arguments, "zone") ? "zone" : "worker";
  for (const char* verb : {"drain", "restore", "lost"}) {
    if (!Is(arguments, verb)) continue;
    intent["kind"] = std::string(verb) + "-" + object;
    intent["target"] = Text(arguments, "NAME");
    return intent;
  }
  return nlohmann::json();
}

}  // namespace berylgauge
