#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylgauge::workflow {

/// Identifies the tasks of one step in one occurrence of a job.
struct StepName {
  std::string job;
  std::int64_t occurrence = 0;
  int step = 0;

  /// "JOB.OCCURRENCE.STEP".
  std::string ToString() const;
  static std::optional<StepName> Parse(std::string_view text);

  friend bool operator==(const StepName&, const StepName&) = default;
};

/// Identifies one task.
struct TaskName {
  StepName step;
  int index = 0;

  /// "JOB.OCCURRENCE.STEP.INDEX".
  std::string ToString() const;
  static std::optional<TaskName> Parse(std::string_view text);

  friend bool operator==(const TaskName&, const TaskName&) = default;
};

}  // namespace berylgauge::workflow
