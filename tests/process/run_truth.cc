#include "process/run_truth.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace berylgauge {
namespace {

using nlohmann::json;

struct WorkerEvent {
  std::size_t worker = 0;
  std::int64_t time_ms = 0;
  std::string kind;
  std::string task;  ///< empty if the event belongs to none
  int run = 0;
  bool done = false;
  bool noted = false;  ///< an end that was noted later
};

bool IsNoted(const std::vector<json>& events, std::size_t end) {
  for (std::size_t i = end + 1; i < events.size() && events[i].at("kind") != "death"; ++i) {
    const json& event = events[i];
    if (event.at("kind") != "noted") continue;
    if (event.at("task") == events[end].at("task") && event.at("run") == events[end].at("run")) return true;
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
                        .noted = event.at("kind") == "run-end" && IsNoted(events, i)});
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
    if (event.kind == "death") {
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
      if (event.done && (event.noted || !any_death)) done.insert(event.task);
    }
  }
  return "";
}

}  // namespace berylgauge
