#include "state/job.h"

#include <algorithm>

namespace berylgauge {

bool Job::IsFinal() const {
  return std::all_of(tasks.begin(), tasks.end(), [](const Task& task) { return task.IsFinal(); });
}

}  // namespace berylgauge
