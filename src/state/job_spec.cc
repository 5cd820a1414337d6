#include "state/job_spec.h"

#include "base/json_object_reader.h"
#include "state/resources_json.h"

namespace berylgauge {
namespace {

constexpr std::int64_t kMaxTasks = 1'000;
constexpr std::int64_t kMaxRunSeconds = std::int64_t{30} * 24 * 3600;
constexpr std::int64_t kMaxGraceMs = std::int64_t{24} * 3600 * 1000;
/// Attempts that a restarted agent took over run under this grace until their owner tells the one of the job.
constexpr std::int64_t kMinGraceMs = 60'000;
constexpr std::size_t kMaxCommandBytes = 4'096;

}  // namespace

nlohmann::json JobSpec::ToJson() const {
  return {{"name", name},
          {"team", team.value()},
          {"importance", importance},
          {"deadline_unix_ms", deadline_unix_ms},
          {"task_count", task_count},
          {"run_estimate_s", run_estimate_s},
          {"outage_grace_ms", outage_grace_ms},
          {"resources", ResourcesToJson(resources)},
          {"class", job_class},
          {"command", command}};
}

JobSpec ReadJobSpec(JsonObjectReader reader) {
  JobSpec spec;
  spec.name = reader.String("name", {.max_length = 100});
  spec.team = TeamId(reader.String("team", {.max_length = 100}));
  spec.importance = reader.Integer("importance", {.default_value = 5, .max = 9});
  spec.deadline_unix_ms = reader.Integer("deadline_unix_ms", {.default_value = 0});
  spec.task_count = reader.Integer("task_count", {.default_value = 1, .min = 1, .max = kMaxTasks});
  spec.run_estimate_s = reader.Integer("run_estimate_s", {.default_value = 60, .min = 1, .max = kMaxRunSeconds});
  spec.outage_grace_ms = reader.Integer("outage_grace_ms", {.default_value = 0, .max = kMaxGraceMs});
  if (spec.outage_grace_ms != 0 && spec.outage_grace_ms < kMinGraceMs) {
    reader.AddError("outage_grace_ms", "must be 0 or at least " + std::to_string(kMinGraceMs));
  }
  spec.resources = ReadResources(reader.Object("resources"));
  spec.job_class = reader.String("class", {.default_value = "batch", .max_length = 100});
  spec.command = reader.String("command", {.default_value = "", .min_length = 0, .max_length = kMaxCommandBytes});
  reader.Finish();
  return spec;
}

}  // namespace berylgauge
