#include "process/truth.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <utility>

namespace berylgauge {
namespace {

constexpr std::int64_t kStillRunning = std::numeric_limits<std::int64_t>::max();

/// Time during which an attempt ran.
struct Run {
  int attempt = 0;
  std::int64_t from_ms = 0;
  std::int64_t until_ms = kStillRunning;
  bool succeeded = false;
};

using Runs = std::map<std::string, std::vector<Run>>;

void AddRuns(const RecordFile& worker, const std::vector<ClosedTime>& closed, Runs& runs,
             std::vector<std::string>& violations) {
  std::map<std::pair<std::string, int>, Run> open;
  for (const nlohmann::json& event : worker.Events()) {
    const std::string kind = event["kind"];
    const std::int64_t time_ms = event["time_ms"];
    if (kind == "over-capacity") violations.push_back("over capacity: " + event.dump());
    if (kind != "start" && kind != "end") continue;
    const std::pair<std::string, int> key(event["task"], event["attempt"]);
    if (kind == "start") {
      open[key] = {.attempt = key.second, .from_ms = time_ms};
      for (const ClosedTime& time : closed) {
        const bool in_zone = time.availability_zone.empty() || time.availability_zone == worker.availability_zone;
        if (in_zone && time_ms > time.from_ms && time_ms < time.until_ms) {
          violations.push_back(absl::StrCat("started ", time_ms - time.from_ms, " ms after the bound: ", event.dump()));
        }
      }
      continue;
    }
    Run run = open[key];
    run.until_ms = time_ms;
    run.succeeded = event["state"] == "succeeded";
    runs[key.first].push_back(run);
    open.erase(key);
  }
  for (auto& [key, run] : open) {
    if (worker.ended_ms > 0) run.until_ms = worker.ended_ms;
    runs[key.first].push_back(run);
  }
}

}  // namespace

std::vector<nlohmann::json> RecordFile::Events() const {
  std::vector<nlohmann::json> events;
  std::ifstream file(path);
  std::string line;
  // A line without an end is still being written.
  while (std::getline(file, line) && !file.eof()) events.push_back(nlohmann::json::parse(line));
  return events;
}

std::vector<std::string> CheckTasks(const std::vector<RecordFile>& workers, const std::vector<ClosedTime>& closed) {
  std::vector<std::string> violations;
  Runs runs;
  for (const RecordFile& worker : workers) AddRuns(worker, closed, runs, violations);
  for (auto& [task, list] : runs) {
    std::sort(list.begin(), list.end(), [](const Run& a, const Run& b) { return a.from_ms < b.from_ms; });
    if (std::count_if(list.begin(), list.end(), [](const Run& run) { return run.succeeded; }) > 1) {
      violations.push_back("succeeded more than once: " + task);
    }
    for (std::size_t i = 1; i < list.size(); ++i) {
      const Run& before = list[i - 1];
      const Run& after = list[i];
      if (after.from_ms < before.until_ms) {
        violations.push_back(absl::StrCat("in two places: ", task, " attempts ", before.attempt, " and ", after.attempt,
                                          ", from ", after.from_ms, " ms until ", before.until_ms, " ms"));
      }
      if (after.attempt <= before.attempt) {
        violations.push_back(
            absl::StrCat("attempt ", after.attempt, " of ", task, " started after attempt ", before.attempt));
      }
    }
  }
  return violations;
}

std::vector<std::string> CheckOrders(const std::vector<RecordFile>& endpoints,
                                     const std::vector<OrderOutcome>& outcomes) {
  std::map<std::string, int> runs;
  for (const RecordFile& endpoint : endpoints) {
    for (const nlohmann::json& event : endpoint.Events()) {
      if (event["kind"] == "request-start") ++runs[event["target"]];
    }
  }
  std::vector<std::string> violations;
  for (const OrderOutcome& outcome : outcomes) {
    const int count = runs[outcome.target];
    const std::string text =
        absl::StrCat(outcome.target, " ran ", count, " times, ", outcome.verdict, ": ", outcome.detail);
    if (count > 1) violations.push_back("more than once: " + text);
    if (outcome.verdict == "not-run" && count > 0) violations.push_back("reported as not run: " + text);
    if (outcome.verdict == "ran" && (count == 0 || !outcome.is_whole)) violations.push_back("wrong answer: " + text);
  }
  return violations;
}

}  // namespace berylgauge
