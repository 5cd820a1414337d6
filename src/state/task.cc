#include "state/task.h"

#include <charconv>

#include "base/json_object_reader.h"
#include "state/decimal_text.h"

namespace berylgauge {

nlohmann::json Task::ToJson() const {
  return {{"state", kTaskStateNames.NameOf(state)},
          {"attempt", attempt},
          {"worker", worker.value()},
          {"availability_zone", availability_zone.value()},
          {"agent_incarnation", std::to_string(agent_incarnation)},
          {"placed_at", placed_at},
          {"checkpoint", checkpoint},
          {"failures", failures},
          {"evictions", evictions},
          {"reason", reason},
          {"detail", detail}};
}

Task ReadTask(JsonObjectReader reader) {
  const StringRule optional_text{.default_value = "", .min_length = 0, .max_length = 4096};
  Task task;
  task.state = reader.Enum("state", kTaskStateNames);
  task.attempt = static_cast<AttemptNumber>(reader.Integer("attempt", {.max = UINT32_MAX}));
  task.worker = WorkerId(reader.String("worker", optional_text));
  task.availability_zone = AvailabilityZoneId(reader.String("availability_zone", optional_text));
  task.agent_incarnation = ReadDecimalText(reader, "agent_incarnation");
  task.placed_at = reader.Integer("placed_at", {.min = kNoOffset});
  task.checkpoint = reader.String("checkpoint", optional_text);
  task.failures = static_cast<std::uint32_t>(reader.Integer("failures", {.max = UINT32_MAX}));
  task.evictions = static_cast<std::uint32_t>(reader.Integer("evictions", {.max = UINT32_MAX}));
  task.reason = reader.String("reason", optional_text);
  task.detail = reader.String("detail", optional_text);
  reader.Finish();
  return task;
}

TaskId MakeTaskId(const JobId& job, std::size_t index) { return TaskId(job.value() + "/" + std::to_string(index)); }

bool ParseTaskId(const TaskId& task, JobId* job, std::size_t* index) {
  const std::string& text = task.value();
  const std::size_t slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0) return false;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + slash + 1, end, *index);
  if (parsed.ec != std::errc() || parsed.ptr != end) return false;
  *job = JobId(text.substr(0, slash));
  return true;
}

}  // namespace berylgauge
