#include "state/jobs_state.h"

#include <utility>

#include "base/json_object_reader.h"
#include "state/batch.h"
#include "state/decimal_text.h"

namespace berylgauge {
namespace {

/// Finished jobs kept for queries. 13,000 jobs a day in 8 shares make this about a day.
constexpr std::size_t kMaxFinalJobs = 1'600;

/// A reader looks every 100 ms and a share folds some tens of records per second, so only the first look of a process
/// that has just read the stream can miss events, and then the oldest.
constexpr std::size_t kMaxRecentEvents = 4'096;

constexpr std::size_t kMaxJobsInSnapshot = 1'000'000;

}  // namespace

std::vector<FoldOutcome> JobsState::Apply(const Batch& batch, Offset offset) {
  std::vector<FoldOutcome> outcomes(batch.records.size(), FoldOutcome::kRepeat);
  if (offset <= m_offset) return outcomes;
  m_offset = offset;
  if (!m_writers.Accept(batch, offset)) return outcomes;
  for (std::size_t i = 0; i < batch.records.size(); ++i) {
    const Result<JobsRecord> record = DecodeJobsRecord(batch.records[i]);
    outcomes[i] = record ? ApplyRecord(*record, offset) : FoldOutcome::kMalformed;
  }
  return outcomes;
}

FoldOutcome JobsState::ApplyRecord(const JobsRecord& record, Offset offset) {
  return std::visit([&](const auto& r) { return Fold(r, offset); }, record);
}

FoldOutcome JobsState::Fold(const JobSubmitted& record, Offset offset) {
  if (m_jobs.contains(record.job)) return FoldOutcome::kRepeat;
  Job& job = m_jobs[record.job];
  job.spec = record.spec;
  job.submitted_unix_ms = record.submitted_unix_ms;
  job.tasks.resize(static_cast<std::size_t>(record.spec.task_count));
  for (std::size_t i = 0; i < job.tasks.size(); ++i) m_waiting.insert(MakeTaskId(record.job, i));
  NoteEvent({.kind = TaskEventKind::kSubmitted,
             .offset = offset,
             .task = MakeTaskId(record.job, 0),
             .worker = {},
             .detail = ""});
  return FoldOutcome::kAccepted;
}

FoldOutcome JobsState::Fold(const JobCancelled& record, Offset offset) {
  const auto it = m_jobs.find(record.job);
  if (it == m_jobs.end()) return FoldOutcome::kUnknownObject;
  Job& job = it->second;
  if (job.cancelled) return FoldOutcome::kRepeat;
  if (job.IsFinal()) return FoldOutcome::kWrongState;
  job.cancelled = true;
  job.cancelled_by = record.requested_by;
  NoteEvent({.kind = TaskEventKind::kCancelled,
             .offset = offset,
             .task = MakeTaskId(record.job, 0),
             .worker = {},
             .detail = ""});
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].state != TaskState::kWaiting) continue;
    SetState(MakeTaskId(record.job, i), job.tasks[i], TaskState::kCancelled);
  }
  if (job.IsFinal()) NoteIfFinal(MakeTaskId(record.job, 0), job);
  return FoldOutcome::kAccepted;
}

FoldOutcome JobsState::Fold(const ShareClaimed& record, Offset /*offset*/) {
  if (record.previous_epoch != m_epoch) return FoldOutcome::kStaleEpoch;
  m_epoch = record.previous_epoch + 1;
  m_owner = record.entry;
  m_owner_incarnation = record.entry_incarnation;
  m_released = false;
  return FoldOutcome::kAccepted;
}

FoldOutcome JobsState::Fold(const ShareReleased& record, Offset /*offset*/) {
  if (record.epoch != m_epoch) return FoldOutcome::kStaleEpoch;
  m_released = true;
  return FoldOutcome::kAccepted;
}

FoldOutcome JobsState::Fold(const TaskPlaced& record, Offset offset) {
  if (record.epoch != m_epoch || m_released) return FoldOutcome::kStaleEpoch;
  Job* job = nullptr;
  Task* task = MutableTask(record.task, &job);
  if (task == nullptr) return FoldOutcome::kUnknownObject;
  if (task->state != TaskState::kWaiting || record.attempt != task->attempt + 1) return FoldOutcome::kWrongState;
  task->attempt = record.attempt;
  task->worker = record.worker;
  task->availability_zone = record.availability_zone;
  task->agent_incarnation = record.agent_incarnation;
  task->placed_at = offset;
  task->reason = record.reason;
  SetState(record.task, *task, TaskState::kPlaced);
  NoteEvent({.kind = TaskEventKind::kPlaced,
             .offset = offset,
             .task = record.task,
             .attempt = record.attempt,
             .worker = record.worker,
             .detail = ""});
  return FoldOutcome::kAccepted;
}

FoldOutcome JobsState::Fold(const TaskStarted& record, Offset /*offset*/) {
  if (record.epoch != m_epoch) return FoldOutcome::kStaleEpoch;
  Job* job = nullptr;
  Task* task = MutableTask(record.task, &job);
  if (task == nullptr) return FoldOutcome::kUnknownObject;
  if (task->state != TaskState::kPlaced || record.attempt != task->attempt) return FoldOutcome::kWrongState;
  SetState(record.task, *task, TaskState::kRunning);
  return FoldOutcome::kAccepted;
}

FoldOutcome JobsState::Fold(const TaskEnded& record, Offset offset) {
  if (record.epoch != m_epoch) return FoldOutcome::kStaleEpoch;
  Job* job = nullptr;
  Task* task = MutableTask(record.task, &job);
  if (task == nullptr) return FoldOutcome::kUnknownObject;
  if (!task->HasLiveAttempt() || record.attempt != task->attempt) return FoldOutcome::kWrongState;
  if (!record.checkpoint.empty()) task->checkpoint = record.checkpoint;
  task->detail = record.detail;
  if (record.outcome == AttemptOutcome::kFailed) ++task->failures;
  if (record.outcome == AttemptOutcome::kStopped) ++task->evictions;
  if (record.outcome == AttemptOutcome::kSucceeded) {
    SetState(record.task, *task, TaskState::kSucceeded);
  } else {
    SetState(record.task, *task, job->cancelled ? TaskState::kCancelled : TaskState::kWaiting);
  }
  NoteEvent({.kind = TaskEventKind::kEnded,
             .offset = offset,
             .task = record.task,
             .attempt = record.attempt,
             .worker = task->worker,
             .outcome = record.outcome,
             .detail = record.detail});
  NoteIfFinal(record.task, *job);
  return FoldOutcome::kAccepted;
}

FoldOutcome JobsState::Fold(const TaskParked& record, Offset offset) {
  if (record.epoch != m_epoch) return FoldOutcome::kStaleEpoch;
  Job* job = nullptr;
  Task* task = MutableTask(record.task, &job);
  if (task == nullptr) return FoldOutcome::kUnknownObject;
  if (task->state != TaskState::kWaiting) return FoldOutcome::kWrongState;
  task->detail = record.detail;
  SetState(record.task, *task, TaskState::kParked);
  NoteEvent({.kind = TaskEventKind::kParked,
             .offset = offset,
             .task = record.task,
             .attempt = task->attempt,
             .worker = task->worker,
             .detail = ""});
  NoteIfFinal(record.task, *job);
  return FoldOutcome::kAccepted;
}

const Job* JobsState::FindJob(const JobId& job) const {
  const auto it = m_jobs.find(job);
  return it == m_jobs.end() ? nullptr : &it->second;
}

const Task* JobsState::FindTask(const TaskId& task) const {
  JobId job_id;
  std::size_t index = 0;
  if (!ParseTaskId(task, &job_id, &index)) return nullptr;
  const Job* job = FindJob(job_id);
  if (job == nullptr || index >= job->tasks.size()) return nullptr;
  return &job->tasks[index];
}

const Job* JobsState::FindJobOf(const TaskId& task) const {
  JobId job_id;
  std::size_t index = 0;
  return ParseTaskId(task, &job_id, &index) ? FindJob(job_id) : nullptr;
}

bool JobsState::IsEndRecorded(const TaskId& task, AttemptNumber attempt) const {
  const Task* found = FindTask(task);
  if (found == nullptr || found->attempt < attempt) return false;
  return found->attempt > attempt || !found->HasLiveAttempt();
}

Task* JobsState::MutableTask(const TaskId& task, Job** job) {
  JobId job_id;
  std::size_t index = 0;
  if (!ParseTaskId(task, &job_id, &index)) return nullptr;
  const auto it = m_jobs.find(job_id);
  if (it == m_jobs.end() || index >= it->second.tasks.size()) return nullptr;
  *job = &it->second;
  return &it->second.tasks[index];
}

void JobsState::SetState(const TaskId& id, Task& task, TaskState state) {
  task.state = state;
  m_waiting.erase(id);
  m_live.erase(id);
  if (state == TaskState::kWaiting) m_waiting.insert(id);
  if (task.HasLiveAttempt()) m_live.insert(id);
}

void JobsState::NoteIfFinal(const TaskId& task, const Job& job) {
  if (!job.IsFinal()) return;
  JobId job_id;
  std::size_t index = 0;
  if (!ParseTaskId(task, &job_id, &index)) return;
  NoteEvent({.kind = TaskEventKind::kJobFinal, .offset = m_offset, .task = task, .worker = {}, .detail = ""});
  m_final_jobs.push_back(job_id);
  while (m_final_jobs.size() > kMaxFinalJobs) {
    m_jobs.erase(m_final_jobs.front());
    m_final_jobs.pop_front();
  }
}

void JobsState::NoteEvent(TaskEvent event) {
  if (m_recent_events.size() >= kMaxRecentEvents) {
    m_events_lost_until = m_recent_events.front().offset;
    m_recent_events.pop_front();
  }
  m_recent_events.push_back(std::move(event));
}

nlohmann::json JobsState::ToJson() const {
  nlohmann::json jobs = nlohmann::json::array();
  for (const auto& [id, job] : m_jobs) {
    nlohmann::json tasks = nlohmann::json::array();
    for (const Task& task : job.tasks) tasks.push_back(task.ToJson());
    jobs.push_back({{"id", id.value()},
                    {"spec", job.spec.ToJson()},
                    {"at", job.submitted_unix_ms},
                    {"cancelled", job.cancelled},
                    {"by", job.cancelled_by},
                    {"tasks", std::move(tasks)}});
  }
  nlohmann::json final_jobs = nlohmann::json::array();
  for (const JobId& id : m_final_jobs) final_jobs.push_back(id.value());
  return {{"offset", m_offset},       {"epoch", m_epoch},
          {"owner", m_owner.value()}, {"owner_incarnation", std::to_string(m_owner_incarnation)},
          {"released", m_released},   {"writers", m_writers.ToJson()},
          {"jobs", std::move(jobs)},  {"final", std::move(final_jobs)}};
}

Result<void> JobsState::Restore(const nlohmann::json& document) {
  const StringRule optional_text{.default_value = "", .min_length = 0, .max_length = 4096};
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  JobsState next;
  next.m_offset = reader.Integer("offset", {.min = kNoOffset});
  next.m_epoch = static_cast<ShareEpoch>(reader.Integer("epoch"));
  next.m_owner = EntryId(reader.String("owner", optional_text));
  next.m_owner_incarnation = ReadDecimalText(reader, "owner_incarnation");
  next.m_released = reader.Boolean("released");
  next.m_writers.Restore(reader);
  for (JsonObjectReader& item : reader.Objects("jobs", kMaxJobsInSnapshot)) {
    const JobId id(item.String("id"));
    Job& job = next.m_jobs[id];
    job.spec = ReadJobSpec(item.Object("spec"));
    job.submitted_unix_ms = item.Integer("at");
    job.cancelled = item.Boolean("cancelled");
    job.cancelled_by = item.String("by", optional_text);
    for (JsonObjectReader& task : item.Objects("tasks", kMaxJobsInSnapshot)) job.tasks.push_back(ReadTask(task));
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      next.SetState(MakeTaskId(id, i), job.tasks[i], job.tasks[i].state);
    }
    item.Finish();
  }
  for (const std::string& id : reader.Strings("final", kMaxFinalJobs)) next.m_final_jobs.emplace_back(id);
  reader.Finish();
  if (!errors.empty()) {
    Failure failure = errors.ToFailure();
    failure.code = FailureCode::kCorrupt;
    return tl::make_unexpected(failure);
  }
  next.m_events_lost_until = next.m_offset;
  *this = std::move(next);
  return {};
}

}  // namespace berylgauge
