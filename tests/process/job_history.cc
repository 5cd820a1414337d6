#include "process/job_history.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace berylgauge {
namespace {

using nlohmann::json;

struct RunEvent {
  std::size_t worker = 0;
  std::int64_t time_ms = 0;
  bool is_start = false;
  std::string task;
  bool done = false;
};

/// Starts and ends of runs by job, in order of time.
std::map<std::string, std::vector<RunEvent>> RunEventsByJob(const std::vector<std::vector<json>>& records) {
  std::map<std::string, std::vector<RunEvent>> by_job;
  for (std::size_t worker = 0; worker < records.size(); ++worker) {
    for (const json& event : records[worker]) {
      const bool is_start = event.at("kind") == "run-start";
      if (!is_start && event.at("kind") != "run-end") continue;
      const std::string task = event.at("task");
      by_job[task.substr(0, task.find('.'))].push_back({.worker = worker,
                                                        .time_ms = event.at("time_ms"),
                                                        .is_start = is_start,
                                                        .task = task,
                                                        .done = event.value("how", "") == "done"});
    }
  }
  for (auto& [job, events] : by_job) {
    std::stable_sort(events.begin(), events.end(),
                     [](const RunEvent& a, const RunEvent& b) { return a.time_ms < b.time_ms; });
  }
  return by_job;
}

JobHistory Follow(const AcceptedJob& job, const std::vector<RunEvent>& events, std::int64_t from_ms,
                  std::int64_t to_ms) {
  JobHistory history{.job = job, .done_ms = std::nullopt};
  std::set<std::pair<std::size_t, std::string>> running;
  std::set<std::string> done;
  std::int64_t idle_since = std::max(from_ms, job.accepted_ms);
  const auto note_wait = [&](std::int64_t until_ms) {
    if (!running.empty() || history.done_ms) return;
    history.longest_wait_ms = std::max(history.longest_wait_ms, std::min(until_ms, to_ms) - idle_since);
  };
  for (const RunEvent& event : events) {
    note_wait(event.time_ms);
    if (event.is_start) {
      running.emplace(event.worker, event.task);
      continue;
    }
    running.erase({event.worker, event.task});
    idle_since = std::max(idle_since, event.time_ms);
    if (event.done) done.insert(event.task);
    const bool is_complete = static_cast<int>(done.size()) == job.tasks;
    if (is_complete && !history.done_ms) history.done_ms = event.time_ms;
  }
  note_wait(to_ms);
  return history;
}

}  // namespace

std::vector<JobHistory> FollowJobs(const std::vector<std::vector<json>>& records, const std::vector<AcceptedJob>& jobs,
                                   std::int64_t from_ms, std::int64_t to_ms) {
  const std::map<std::string, std::vector<RunEvent>> by_job = RunEventsByJob(records);
  std::vector<JobHistory> histories;
  for (const AcceptedJob& job : jobs) {
    const auto found = by_job.find(job.id);
    histories.push_back(Follow(job, found == by_job.end() ? std::vector<RunEvent>{} : found->second, from_ms, to_ms));
  }
  return histories;
}

JobHistory LongestWait(const std::vector<JobHistory>& histories) {
  const auto longest =
      std::max_element(histories.begin(), histories.end(),
                       [](const JobHistory& a, const JobHistory& b) { return a.longest_wait_ms < b.longest_wait_ms; });
  return longest == histories.end() ? JobHistory{} : *longest;
}

}  // namespace berylgauge
