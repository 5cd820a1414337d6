#pragma once

#include <vector>

#include "base/ids.h"
#include "state/job_spec.h"
#include "state/task.h"

namespace berylgauge {

/// A job and its tasks as the log tells them.
struct Job {
  JobSpec spec;
  std::int64_t submitted_unix_ms = 0;
  bool cancelled = false;
  std::string cancelled_by;
  std::vector<Task> tasks;

  /// True if no task can change any more.
  bool IsFinal() const;
};

}  // namespace berylgauge
