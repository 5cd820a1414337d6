#include "state/queries/job_queries.h"

#include "state/jobs_state.h"

namespace berylgauge {
namespace {

nlohmann::json Summarize(const JobId& id, const Job& job) {
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& entry : kTaskStateNames.entries()) counts[std::string(entry.second)] = 0;
  for (const Task& task : job.tasks) {
    nlohmann::json& count = counts[std::string(kTaskStateNames.NameOf(task.state))];
    count = count.get<int>() + 1;
  }
  return {{"id", id.value()},
          {"name", job.spec.name},
          {"team", job.spec.team.value()},
          {"importance", job.spec.importance},
          {"final", job.IsFinal()},
          {"cancelled", job.cancelled},
          {"tasks", std::move(counts)}};
}

}  // namespace

nlohmann::json ListJobs(const JobsState& state) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, job] : state.jobs()) list.push_back(Summarize(id, job));
  return list;
}

Result<nlohmann::json> ShowJob(const JobsState& state, const JobId& job) {
  const Job* found = state.FindJob(job);
  if (found == nullptr) return NotRun(FailureCode::kNotFound, "there is no job " + job.value(), "job");
  nlohmann::json document = Summarize(job, *found);
  document["spec"] = found->spec.ToJson();
  nlohmann::json tasks = nlohmann::json::array();
  for (std::size_t i = 0; i < found->tasks.size(); ++i) {
    nlohmann::json task = found->tasks[i].ToJson();
    task["id"] = MakeTaskId(job, i).value();
    tasks.push_back(std::move(task));
  }
  document["task_list"] = std::move(tasks);
  return document;
}

Result<nlohmann::json> ExplainTask(const JobsState& state, const TaskId& task) {
  const Task* found = state.FindTask(task);
  if (found == nullptr) return NotRun(FailureCode::kNotFound, "there is no task " + task.value(), "task");
  nlohmann::json document = found->ToJson();
  document["id"] = task.value();
  document["owner"] = state.owner().value();
  document["share_epoch"] = state.epoch();
  return document;
}

}  // namespace berylgauge
