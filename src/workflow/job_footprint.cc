#include "workflow/job_footprint.h"

#include "workflow/workflow_job.h"

namespace berylgauge::workflow {
namespace {

/// The record is in the index, and once more while all records are read again after a gap in the history.
constexpr std::size_t kRecordCopies = 2;

/// Keys, entries of tables and allocation of a job, of a step and of a task: the names of its worker and agent, and its
/// part of the step's record.
constexpr std::size_t kJobOverhead = 512;
constexpr std::size_t kStepOverhead = 256;
constexpr std::size_t kTaskOverhead = 160;

std::size_t FootprintOf(const StepDefinition& step) {
  const std::size_t texts = step.required_label.size() + step.data_rack.size() + step.image.size();
  return sizeof(StepDefinition) + sizeof(WorkflowStep) + kStepOverhead + texts + sizeof(int) * step.after.size() +
         TaskFootprint() * static_cast<std::size_t>(step.task_count);
}

}  // namespace

std::size_t TaskFootprint() { return sizeof(TaskProgress) + sizeof(TaskRuntime) + kTaskOverhead; }

JobFootprint FootprintOf(const JobDefinition& job, std::size_t record_bytes) {
  JobFootprint footprint{.record = kRecordCopies * record_bytes + kJobOverhead,
                         .scheduled = sizeof(WorkflowJob) + job.payload.size()};
  for (const StepDefinition& step : job.steps) footprint.scheduled += FootprintOf(step);
  return footprint;
}

}  // namespace berylgauge::workflow
