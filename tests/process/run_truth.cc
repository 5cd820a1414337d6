#include "process/run_truth.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace berylgauge {
namespace {

using nlohmann::json;

/// An end counts as noted when its worker has gone on for this long after it listed it.
constexpr std::int64_t kNotedAfterMs = 100;

struct WorkerEvent {
  std::size_t worker = 0;
  std::int64_t time_ms = 0;
  std::string kind;
  std::string task;  ///< empty if the event belongs to none
  int run = 0;
  bool done = false;
  bool noted = false;      ///< an end that was acknowledged later
  bool lost_left = false;  ///< an end that its worker, when it left, had listed too late or never
};

bool IsOf(const json& event, const char* kind, const json& end) {
  return event.at("kind") == kind && event.at("task") == end.at("task") && event.at("run") == end.at("run");
}

bool IsNoted(const std::vector<json>& events, std::size_t end) {
  for (std::size_t i = end + 1; i < events.size() && events[i].at("kind") != "death"; ++i) {
    if (IsOf(events[i], "noted", events[end])) return true;
  }
  return false;
}

bool IsLostByLeaving(const std::vector<json>& events, std::size_t end) {
  std::optional<std::int64_t> listed_ms;
  for (std::size_t i = end + 1; i < events.size(); ++i) {
    const json& event = events[i];
    if (IsOf(event, "noted", events[end])) return false;
    if (IsOf(event, "listed", events[end]) && !listed_ms) listed_ms = event.at("time_ms");
    if (event.at("kind") != "left") continue;
    return !listed_ms || event.at("time_ms").get<std::int64_t>() < *listed_ms + kNotedAfterMs;
  }
  return false;
}

std::vector<WorkerEvent> Merge(const std::vector<std::vector<json>>& records) {
  std::vector<WorkerEvent> merged;
  for (std::size_t worker = 0; worker < records.size(); ++worker) {
    const std::vector<json>& events = records[worker];
    for (std::size_t i = 0; i < events.size(); ++i) {
      const json& event = events[i];
      merged.push_back({.worker = worker,
                        .time_ms = event.at("time_ms"),
                        .kind = event.at("kind"),
                        .task = event.value("task", ""),
                        .run = event.value("run", 0),
                        .done = event.value("how", "") == "done",
                        .noted = event.at("kind") == "run-end" && IsNoted(events, i),
                        .lost_left = event.at("kind") == "run-end" && IsLostByLeaving(events, i)});
    }
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const WorkerEvent& a, const WorkerEvent& b) { return a.time_ms < b.time_ms; });
  return merged;
}

}  // namespace

std::string FindDoubleRun(const std::vector<std::vector<json>>& records) {
  const std::vector<WorkerEvent> events = Merge(records);
  const bool any_death =
      std::any_of(events.begin(), events.end(), [](const WorkerEvent& event) { return event.kind == "death"; });
  std::map<std::string, std::multiset<std::size_t>> running;  // workers, by task
  std::set<std::string> done;
  for (const WorkerEvent& event : events) {
    if (event.kind == "death" || event.kind == "left") {
      for (auto& [task, workers] : running) workers.erase(event.worker);
    } else if (event.kind == "run-start") {
      std::multiset<std::size_t>& workers = running[event.task];
      workers.insert(event.worker);
      const std::string run = event.task + " run " + std::to_string(event.run);
      if (workers.size() > 1) return run + " is started while another one runs";
      if (done.contains(event.task)) return run + " is started after the task was done";
    } else if (event.kind == "run-end") {
      std::multiset<std::size_t>& workers = running[event.task];
      const auto found = workers.find(event.worker);
      if (found != workers.end()) workers.erase(found);
      if (event.done && (event.noted || (!any_death && !event.lost_left))) done.insert(event.task);
    }
  }
  return "";
}

}  // namespace berylgauge
