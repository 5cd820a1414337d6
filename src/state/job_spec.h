#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/resources.h"

namespace berylgauge {

class JsonObjectReader;

/// Importance from which a job counts as urgent and may preempt.
inline constexpr std::int64_t kUrgentImportance = 8;

/// What a team asks for: a number of equal tasks that each run once to the end.
struct JobSpec {
  std::string name;
  TeamId team;
  std::int64_t importance = 5;        ///< 0 (least) to 9
  std::int64_t deadline_unix_ms = 0;  ///< wall clock; 0 means none
  std::int64_t task_count = 1;
  std::int64_t run_estimate_s = 60;
  std::int64_t outage_grace_ms = 0;  ///< 0 means that of the settings
  Resources resources;               ///< of each task
  std::string job_class;             ///< groups jobs that behave alike
  std::string command;               ///< passed to the worker unread

  bool IsUrgent() const { return importance >= kUrgentImportance; }
  nlohmann::json ToJson() const;
};

/// Reads and checks a job; errors go to the error list of the reader.
JobSpec ReadJobSpec(JsonObjectReader reader);

}  // namespace berylgauge
