#include "workflow/job_codec.h"

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor_document.h"
#include "base/json_number.h"

namespace berylgauge::workflow {
namespace {

using nlohmann::json;

/// First element of each record; a reader refuses other formats.
constexpr int kFormat = 2;

/// Columns of a job's record before the time of acceptance was added.
constexpr std::size_t kOldColumns = 8;

constexpr std::int64_t kNone = 0;

json StepToJson(const StepDefinition& step) {
  return json::array({step.task_count, step.demand.cpu_millis, step.demand.memory_mb, step.demand.accelerators,
                      step.estimate_ms, step.after, step.saves_progress, step.gang, step.same_rack, step.speculative,
                      step.long_running, step.fills_idle_cpu, step.required_label, step.data_rack, step.image,
                      step.max_per_worker, step.tail_target_ms, step.may_miss});
}

/// Reads step `number` of a job; earlier steps are those with a lower number.
StepDefinition StepFromJson(const json& row, std::size_t number) {
  StepDefinition step;
  std::size_t column = 0;
  const auto read = [&](auto& field) { row.at(column++).get_to(field); };
  const auto read_integer = [&]<typename T>(T& field, T min, T max) {
    field = ReadInteger<T>(row.at(column++), min, max);
  };
  read_integer(step.task_count, 1, kMaxTasksPerStep);
  read_integer(step.demand.cpu_millis, kNone, kMaxExactInteger);
  read_integer(step.demand.memory_mb, kNone, kMaxExactInteger);
  read_integer(step.demand.accelerators, kNone, kMaxExactInteger);
  read_integer(step.estimate_ms, kNone, kMaxExactInteger);
  const int earlier_steps = static_cast<int>(number);
  for (const json& entry : row.at(column++)) step.after.push_back(ReadInteger<int>(entry, 0, earlier_steps - 1));
  read(step.saves_progress);
  read(step.gang);
  read(step.same_rack);
  read(step.speculative);
  read(step.long_running);
  read(step.fills_idle_cpu);
  read(step.required_label);
  read(step.data_rack);
  read(step.image);
  read_integer(step.max_per_worker, 0, kMaxTasksPerStep);
  read_integer(step.tail_target_ms, 0, std::numeric_limits<int>::max());
  read_integer(step.may_miss, -1, kMaxTasksPerStep);
  return step;
}

json QueueToJson(const QueuePolicy& queue) {
  return json::array({queue.name, queue.service, queue.priority, queue.max_attempts, queue.stretch,
                      queue.target_latency_ms, queue.needs_advice, queue.advice_valid_ms});
}

QueuePolicy QueueFromJson(const json& row) {
  QueuePolicy queue;
  row.at(0).get_to(queue.name);
  row.at(1).get_to(queue.service);
  queue.priority = ReadInteger<int>(row.at(2), std::numeric_limits<int>::min());
  queue.max_attempts = ReadInteger<int>(row.at(3), 0);
  queue.stretch = ReadFinite(row.at(4), 0, kMaxStretch);
  queue.target_latency_ms = ReadInteger<int>(row.at(5), 0);
  row.at(6).get_to(queue.needs_advice);
  queue.advice_valid_ms = ReadInteger<int>(row.at(7), 0);
  return queue;
}

}  // namespace

std::string EncodeJob(const JobDefinition& job) {
  json steps = json::array();
  for (const StepDefinition& step : job.steps) steps.push_back(StepToJson(step));
  return ToCbor(json::array({kFormat, job.id, QueueToJson(job.queue), job.payload, std::move(steps), job.occurrences,
                             job.first_due_unix_ms, job.interval_ms, job.accepted_unix_ms}));
}

Result<JobDefinition> DecodeJob(std::string_view bytes) {
  return ReadCbor<JobDefinition>(bytes, "job record", [](const json& document) -> Result<JobDefinition> {
    if (document.at(0) != kFormat) return NotRun(FailureCode::kCorrupt, "job record has an unknown format");
    JobDefinition job;
    document.at(1).get_to(job.id);
    job.queue = QueueFromJson(document.at(2));
    document.at(3).get_to(job.payload);
    const json& steps = document.at(4);
    if (!steps.is_array() || steps.size() > kMaxSteps) {
      return NotRun(FailureCode::kCorrupt, "job record has no list of steps, or too many");
    }
    for (const json& row : steps) job.steps.push_back(StepFromJson(row, job.steps.size()));
    job.occurrences = ReadInteger(document.at(5), kNone, kMaxExactInteger);
    job.first_due_unix_ms = ReadInteger(document.at(6), kNone, kMaxExactInteger);
    job.interval_ms = ReadInteger(document.at(7), kNone, kMaxExactInteger);
    if (document.size() > kOldColumns) {
      job.accepted_unix_ms = ReadInteger(document.at(kOldColumns), kNone, kMaxExactInteger);
    }
    return job;
  });
}

}  // namespace berylgauge::workflow
