#pragma once

#include <ostream>
#include <tuple>
#include <utility>

#include "base/ids.h"

namespace berylgauge {

/// Names one run of a task.
struct AttemptKey {
  TaskId task;
  AttemptNumber attempt = 0;

  friend bool operator==(const AttemptKey& a, const AttemptKey& b) {
    return a.attempt == b.attempt && a.task == b.task;
  }
  friend bool operator!=(const AttemptKey& a, const AttemptKey& b) { return !(a == b); }
  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return std::tie(a.task, a.attempt) < std::tie(b.task, b.attempt);
  }
  friend std::ostream& operator<<(std::ostream& out, const AttemptKey& key) {
    return out << key.task << "#" << key.attempt;
  }

  template <typename H>
  friend H AbslHashValue(H h, const AttemptKey& key) {
    return H::combine(std::move(h), key.task, key.attempt);
  }
};

}  // namespace berylgauge
